//! The output of commands, as text and as JSON.

use std::fmt;
use std::io::{ErrorKind, Write};
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::Bpaf;
use serde_json::{Value, json};

/// The format of output and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs: one JSON value.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("{text:?} is not a format; write json or text")),
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Format::Text => "text",
            Format::Json => "json",
        })
    }
}

#[derive(Bpaf)]
#[bpaf(generate(format_option))]
struct FormatOption {
    /// Print text for people or one JSON value for programs
    #[bpaf(
        long("format"),
        argument("json|text"),
        complete(complete_format),
        fallback(Format::Text),
        display_fallback
    )]
    format: Format,
}

pub(crate) fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser;
    format_option().map(|option| option.format)
}

fn complete_format(input: &Format) -> Vec<(&'static str, Option<&'static str>)> {
    let _ = input;
    vec![("json", Some("one JSON value")), ("text", Some("text for people"))]
}

/// The output of a command, in both formats.
pub(crate) struct Output {
    text: String,
    json: Value,
}

impl Output {
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Output {
        Output { text: text.into(), json }
    }

    /// Empty output, for commands that print their own output.
    pub(crate) fn none() -> Output {
        Output::new("", Value::Null)
    }
}

/// Prints the output of a successful command.
pub(crate) fn print(output: &Output, format: Format) -> ExitCode {
    let mut text = match format {
        Format::Json if output.json.is_null() => String::new(),
        Format::Json => format!("{:#}", output.json),
        Format::Text => output.text.clone(),
    };
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader closed the pipe, as `head` does.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("can't write the output: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the error of a failed command to standard error.
pub(crate) fn print_error(report: &miette::Report, format: Format) {
    match format {
        Format::Text => eprintln!("{report:?}"),
        Format::Json => {
            let problems: Vec<Value> =
                report.related().into_iter().flatten().map(diagnostic_json).collect();
            let mut error = diagnostic_json(report.as_ref());
            if !problems.is_empty() {
                error["faults"] = problems.into();
            }
            eprintln!("{:#}", json!({ "error": error }));
        }
    }
}

fn diagnostic_json(diagnostic: &dyn miette::Diagnostic) -> Value {
    json!({
        "message": diagnostic.to_string(),
        "remedy": diagnostic.help().map(|help| help.to_string()),
    })
}

/// Renders `rows` in aligned columns below `heading`.
pub(crate) fn table<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
    let width = |text: &str| text.chars().count();
    let mut widths = heading.map(width);
    for row in rows {
        for (column, cell) in row.iter().enumerate() {
            widths[column] = widths[column].max(width(cell));
        }
    }
    let mut text = String::new();
    let mut add_row = |cells: [&str; N]| {
        let mut line = String::new();
        for (cell, width) in cells.into_iter().zip(widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    };
    add_row(heading);
    rows.iter().for_each(|row| add_row(std::array::from_fn(|column| row[column].as_str())));
    text
}
