//! What the logs tell of one request.

use std::fmt;

use crate::{
    LogLine,
    cause::{self, Cause},
};

/// How long before the deciding line other events of the fleet may explain it.
const NEARBY_MS: u64 = 2_000;
/// How many of these are shown, the latest.
const MAX_NEARBY: usize = 10;

/// The lines of one request in order, and the one that decided its end.
///
/// Its text form lists the lines, marks the deciding one with `>`, and says what it means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    lines: Vec<LogLine>,
    cause: Option<Cause>,
    nearby: Vec<LogLine>,
}

impl Explanation {
    /// Explains the request with this id from logs, given by name and text; `None` if no line
    /// names it.
    #[must_use]
    pub fn of(request_id: &str, logs: &[(Box<str>, String)]) -> Option<Explanation> {
        let all = || {
            let lines = logs.iter();
            lines.flat_map(|(name, text)| {
                text.lines().filter_map(move |line| LogLine::read(name, line))
            })
        };
        let mut lines: Vec<LogLine> =
            all().filter(|line| line.value("id") == Some(request_id)).collect();
        if lines.is_empty() {
            return None;
        }
        // The sort is stable, so lines of one process and millisecond keep their order.
        lines.sort_by(|left, right| left.time.cmp(&right.time));
        let cause = cause::find(&lines);
        let mut nearby = Vec::new();
        let deciding = cause.map(|cause| &lines[cause.line]);
        if let Some(deciding) = deciding
            && let Some(decided_ms) = deciding.time_of_day_ms()
        {
            nearby = all()
                .filter(|line| {
                    let time_ms = line.time_of_day_ms();
                    !line.is_about_a_request()
                        && line.date() == deciding.date()
                        && time_ms.is_some_and(|time_ms| {
                            (decided_ms.saturating_sub(NEARBY_MS)..=decided_ms).contains(&time_ms)
                        })
                })
                .collect();
            nearby.sort_by(|left, right| left.time.cmp(&right.time));
            nearby.drain(..nearby.len().saturating_sub(MAX_NEARBY));
        }
        Some(Explanation { lines, cause, nearby })
    }

    /// The lines of the request, in order.
    #[must_use]
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// The line that decided the end of the request, if it failed or was late.
    #[must_use]
    pub fn deciding_line(&self) -> Option<&LogLine> {
        self.cause.map(|cause| &self.lines[cause.line])
    }

    /// What the deciding line means.
    #[must_use]
    pub fn meaning(&self) -> Option<&'static str> {
        self.cause.map(|cause| cause.meaning)
    }

    /// What processes reported beside requests in the 2 s before the deciding line, the last ten.
    ///
    /// Lines of the day before are left out, also shortly after midnight.
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
                "No line tells of a failure: the request was answered in time, or it is under way."
            )?,
        }
        if !self.nearby.is_empty() {
            writeln!(f, "In the 2 s before:")?;
            for line in &self.nearby {
                write_line(f, " ", line)?;
            }
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, mark: &str, line: &LogLine) -> fmt::Result {
    writeln!(f, "{mark} {} {} {} {}", line.time, line.process, line.level, line.message)
}
