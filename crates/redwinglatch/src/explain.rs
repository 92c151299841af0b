//! `redwinglatch explain`.

use std::path::PathBuf;

use redwinglatch_explain::{Explanation, LogLine};
use serde_json::{Value, json};

use crate::command_error::CommandError;
use crate::output::Output;

pub(crate) fn explain(request_id: &str, paths: &[PathBuf]) -> miette::Result<Output> {
    let logs = paths.iter().map(read_log).collect::<Result<Vec<_>, CommandError>>()?;
    let Some(explanation) = Explanation::of(request_id, &logs) else {
        let message =
            format!("no line of {} log(s) contains the id of request {request_id:?}", paths.len());
        let remedy = "pass the logs of all entry processes; a request that completed in time may \
                      have no line in them";
        return Err(CommandError::new(message, remedy).into());
    };
    let lines = |lines: &[LogLine]| lines.iter().map(line_json).collect::<Vec<Value>>();
    let json = json!({
        "request_id": request_id,
        "lines": lines(explanation.lines()),
        "deciding_line": explanation.deciding_line().map(line_json),
        "meaning": explanation.meaning(),
        "nearby": lines(explanation.nearby()),
    });
    Ok(Output::new(explanation.to_string(), json))
}

fn read_log(path: &PathBuf) -> Result<(Box<str>, String), CommandError> {
    let name = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
    match std::fs::read(path) {
        // A log may be cut off in the middle of a character; the rest of it is still readable.
        Ok(bytes) => Ok((name.into(), String::from_utf8_lossy(&bytes).into_owned())),
        Err(error) => Err(CommandError::new(
            format!("{} can't be read: {error}", path.display()),
            "pass files with the standard output of redwinglatch processes",
        )),
    }
}

fn line_json(line: &LogLine) -> Value {
    json!({
        "time": line.time,
        "process": line.process,
        "level": line.level,
        "message": line.message,
    })
}
