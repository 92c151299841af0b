//! The explanation of one request.

use std::fmt;

use crate::{
    LogLine,
    cause::{self, Cause},
};

/// Time before the deciding line in which other events of the fleet may explain it.
const NEARBY_WINDOW_MS: u64 = 2_000;
/// Maximum number of these events; the latest are kept.
const MAX_NEARBY_LINES: usize = 10;

/// The lines of one request sorted by time, and the line that decided its outcome.
///
/// The text form lists the lines, marks the deciding one with `>`, and states its meaning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    lines: Vec<LogLine>,
    cause: Option<Cause>,
    nearby: Vec<LogLine>,
}

impl Explanation {
    /// Explains the request with this id from logs, which are pairs of a name and a text. Returns
    /// `None` if no line contains the id.
    #[must_use]
    pub fn of(request_id: &str, logs: &[(Box<str>, String)]) -> Option<Explanation> {
        let all_lines = || {
            let lines = logs.iter();
            lines.flat_map(|(name, text)| {
                text.lines().filter_map(move |line| LogLine::parse(name, line))
            })
        };
        let mut lines: Vec<LogLine> =
            all_lines().filter(|line| line.value("id") == Some(request_id)).collect();
        if lines.is_empty() {
            return None;
        }
        // The sort is stable, so lines of one process and millisecond keep their order.
        lines.sort_by(|left, right| left.time.cmp(&right.time));
        let cause = cause::find(&lines);
        let mut nearby = Vec::new();
        let deciding = cause.map(|cause| &lines[cause.line]);
        if let Some(deciding) = deciding
            && let Some(deciding_ms) = deciding.time_of_day_ms()
        {
            nearby = all_lines()
                .filter(|line| {
                    let time_ms = line.time_of_day_ms();
                    !line.is_about_request()
                        && line.date() == deciding.date()
                        && time_ms.is_some_and(|time_ms| {
                            (deciding_ms.saturating_sub(NEARBY_WINDOW_MS)..=deciding_ms)
                                .contains(&time_ms)
                        })
                })
                .collect();
            nearby.sort_by(|left, right| left.time.cmp(&right.time));
            nearby.drain(..nearby.len().saturating_sub(MAX_NEARBY_LINES));
        }
        Some(Explanation { lines, cause, nearby })
    }

    /// Returns the lines of the request, sorted by time.
    #[must_use]
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Returns the line that decided the outcome of the request, if it failed or was late.
    #[must_use]
    pub fn deciding_line(&self) -> Option<&LogLine> {
        self.cause.map(|cause| &self.lines[cause.line])
    }

    /// Returns the meaning of the deciding line.
    #[must_use]
    pub fn meaning(&self) -> Option<&'static str> {
        self.cause.map(|cause| cause.meaning)
    }

    /// Returns the last ten lines, not about requests, that any process logged in the 2 s before
    /// the deciding line.
    ///
    /// Lines of the previous day are left out, even shortly after midnight.
    #[must_use]
    pub fn nearby(&self) -> &[LogLine] {
        &self.nearby
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, line) in self.lines.iter().enumerate() {
            let is_deciding = self.cause.is_some_and(|cause| cause.line == index);
            write_line(f, if is_deciding { ">" } else { " " }, line)?;
        }
        match self.meaning() {
            Some(meaning) => writeln!(f, "Decided by the line marked >: {meaning}.")?,
            None => writeln!(
                f,
                "No line reports a failure: the request was answered in time or is in progress."
            )?,
        }
        if !self.nearby.is_empty() {
            writeln!(f, "Other events in the 2 s before that line:")?;
            for line in &self.nearby {
                write_line(f, " ", line)?;
            }
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, marker: &str, line: &LogLine) -> fmt::Result {
    writeln!(f, "{marker} {} {} {} {}", line.time, line.process, line.level, line.message)
}
