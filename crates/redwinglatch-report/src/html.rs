//! The HTML page of a run.

use std::fmt::Write as _;

use crate::escape::escape;
use crate::{Comparison, Report, ReportSection, Table, format_number, render_svg};

const STYLE: &str = "body{font:15px/1.4 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;font-size:13px;margin:1em 0}td,th{border:1px solid #ccc;\
padding:.2em .5em;text-align:left}.bad{color:#a00;font-weight:bold}svg{width:100%;margin:.5em 0}";

/// Renders the HTML page of a run: verdict, bounds, comparison with an earlier run, and sections.
#[must_use]
pub fn render_html(
    report: &Report,
    sections: &[ReportSection],
    comparison: Option<&Comparison>,
) -> String {
    let mut html = String::new();
    // Writing to a string does not fail.
    let _ = write_page(&mut html, report, sections, comparison);
    html
}

fn write_page(
    html: &mut String,
    report: &Report,
    sections: &[ReportSection],
    comparison: Option<&Comparison>,
) -> std::fmt::Result {
    writeln!(html, "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">")?;
    writeln!(html, "<title>redwinglatch benchmarks</title>\n<style>{STYLE}</style>")?;
    writeln!(html, "<h1>redwinglatch benchmarks</h1>")?;
    let length = if report.short { "shortened run" } else { "full run" };
    let violated_bounds = report.bounds.iter().filter(|it| it.fails()).count();
    let regressions = comparison.map_or(0, |it| it.regressions().count());
    writeln!(
        html,
        "<p>Seed {}, {length}. Violations: {}. Missed bounds that count: {violated_bounds}. \
         Regressions: {regressions}.</p>",
        report.seed,
        report.violations.len()
    )?;
    if !report.violations.is_empty() {
        writeln!(html, "<h2>Violations</h2>\n<ul>")?;
        for violation in &report.violations {
            writeln!(html, "<li class=\"bad\">{}</li>", escape(violation))?;
        }
        writeln!(html, "</ul>")?;
    }
    write_bounds(html, report)?;
    if let Some(comparison) = comparison {
        write_comparison(html, comparison)?;
    }
    for section in sections {
        writeln!(html, "<h2>{}</h2>\n<p>{}</p>", escape(&section.title), escape(&section.note))?;
        for chart in &section.charts {
            html.push_str(&render_svg(chart));
        }
        write_table(html, &section.table)?;
    }
    writeln!(html, "</html>")
}

fn write_bounds(html: &mut String, report: &Report) -> std::fmt::Result {
    if report.bounds.is_empty() {
        return Ok(());
    }
    writeln!(html, "<h2>Bounds</h2>\n<table>")?;
    writeln!(html, "<tr><th>bound<th>measured<th>relation<th>limit<th>result</tr>")?;
    for bound in &report.bounds {
        let (class, result) = match (bound.held, bound.counts) {
            (true, _) => ("", "held"),
            (false, true) => (" class=\"bad\"", "missed"),
            (false, false) => ("", "missed, does not count in this run"),
        };
        writeln!(
            html,
            "<tr><td>{}<td>{}<td>{}<td>{}<td{class}>{result}</tr>",
            escape(&bound.name),
            format_number(bound.measured),
            escape(&bound.relation),
            format_number(bound.limit)
        )?;
    }
    writeln!(html, "</table>")
}

fn write_comparison(html: &mut String, comparison: &Comparison) -> std::fmt::Result {
    writeln!(html, "<h2>Comparison with the earlier run</h2>\n<table>")?;
    writeln!(html, "<tr><th>figure<th>before<th>now<th>unit<th>ratio</tr>")?;
    for change in &comparison.changes {
        let class = if change.is_regression { " class=\"bad\"" } else { "" };
        writeln!(
            html,
            "<tr><td>{}<td>{}<td>{}<td>{}<td{class}>{:.3}</tr>",
            escape(&change.measurement.name),
            format_number(change.before),
            format_number(change.measurement.value),
            escape(&change.measurement.unit),
            change.ratio
        )?;
    }
    writeln!(html, "</table>")?;
    for (title, names) in
        [("Only in the earlier run", &comparison.missing), ("Only in this run", &comparison.added)]
    {
        if !names.is_empty() {
            writeln!(html, "<p>{title}: {}</p>", escape(&names.join(", ")))?;
        }
    }
    Ok(())
}

fn write_table(html: &mut String, table: &Table) -> std::fmt::Result {
    if table.rows.is_empty() {
        return Ok(());
    }
    write!(html, "<table>\n<tr>")?;
    table.heading.iter().try_for_each(|cell| write!(html, "<th>{}", escape(cell)))?;
    writeln!(html, "</tr>")?;
    for row in &table.rows {
        write!(html, "<tr>")?;
        row.iter().try_for_each(|cell| write!(html, "<td>{}", escape(cell)))?;
        writeln!(html, "</tr>")?;
    }
    writeln!(html, "</table>")
}
