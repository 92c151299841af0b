//! Parsing of log lines.

/// The length of a time without fractions of a second.
const MIN_TIME_LEN: usize = "2026-01-01T00:00:00Z".len();

/// A log line of a process, `[TIME LEVEL TARGET] MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// The time as the process wrote it: UTC, RFC 3339 with milliseconds.
    pub time: Box<str>,
    /// The process: the last word before the bracket, or the name of the log if there is none.
    pub process: Box<str>,
    /// The level, for example `WARN`.
    pub level: Box<str>,
    /// The message, which begins with the component of the process, for example `entry:`.
    pub message: Box<str>,
}

impl LogLine {
    /// Parses a log line. Returns `None` for other text.
    ///
    /// Logs that were collected from several processes may contain the process before the line.
    #[must_use]
    pub fn parse(log_name: &str, text: &str) -> Option<LogLine> {
        let (prefix, rest) = text.split_once('[')?;
        let (header, message) = rest.split_once("] ")?;
        let mut header = header.split_whitespace();
        let (time, level) = (header.next()?, header.next()?);
        let is_time = time.len() >= MIN_TIME_LEN && time.ends_with('Z') && time.contains('T');
        if !is_time || header.next().is_none() {
            return None;
        }
        let process = prefix.split_whitespace().next_back().unwrap_or(log_name);
        Some(LogLine {
            time: time.into(),
            process: process.into(),
            level: level.into(),
            message: message.trim_end().into(),
        })
    }

    /// Returns the value of `key=value` in the message.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        let mut words = self.message.split_whitespace();
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.value(key)?.parse().ok()
    }

    pub(crate) fn is_about_request(&self) -> bool {
        self.message.starts_with("request:")
    }

    pub(crate) fn date(&self) -> Option<&str> {
        self.time.split_once('T').map(|(date, _)| date)
    }

    /// Returns the time of day in milliseconds.
    pub(crate) fn time_of_day_ms(&self) -> Option<u64> {
        let (_, time) = self.time.split_once('T')?;
        let mut parts = time.trim_end_matches('Z').split([':', '.']);
        let mut part = || parts.next()?.parse::<u64>().ok();
        let (hours, minutes, seconds) = (part()?, part()?, part()?);
        Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + part().unwrap_or_default())
    }
}
