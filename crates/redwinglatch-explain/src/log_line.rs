//! One line of a process's log.

/// The length of a time without a fraction.
const MIN_TIME_CHARS: usize = "2026-01-01T00:00:00Z".len();

/// A line as a process writes it, `[TIME LEVEL TARGET] MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// The time, as the process wrote it: UTC, RFC 3339 with milliseconds.
    pub time: Box<str>,
    /// The process: what stands before the line, or the name of the log.
    pub process: Box<str>,
    /// The level, for example `WARN`.
    pub level: Box<str>,
    /// The sentence, which begins with its part of the process.
    pub message: Box<str>,
}

impl LogLine {
    /// Reads a line; other text is no line.
    ///
    /// Logs that were gathered from several processes may name the process before the line.
    #[must_use]
    pub fn read(log_name: &str, text: &str) -> Option<LogLine> {
        let (before, rest) = text.split_once('[')?;
        let (head, message) = rest.split_once("] ")?;
        let mut head = head.split_whitespace();
        let (time, level) = (head.next()?, head.next()?);
        let is_time = time.len() >= MIN_TIME_CHARS && time.ends_with('Z') && time.contains('T');
        if !is_time || head.next().is_none() {
            return None;
        }
        let process = before.split_whitespace().next_back().unwrap_or(log_name);
        Some(LogLine {
            time: time.into(),
            process: process.into(),
            level: level.into(),
            message: message.trim_end().into(),
        })
    }

    /// The value of `key=value` in the sentence.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        let mut words = self.message.split_whitespace();
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.value(key)?.parse().ok()
    }

    pub(crate) fn is_about_a_request(&self) -> bool {
        self.message.starts_with("request:")
    }

    pub(crate) fn date(&self) -> Option<&str> {
        self.time.split_once('T').map(|(date, _)| date)
    }

    /// The time of day in milliseconds.
    pub(crate) fn time_of_day_ms(&self) -> Option<u64> {
        let (_, time) = self.time.split_once('T')?;
        let mut parts = time.trim_end_matches('Z').split([':', '.']);
        let mut part = || parts.next()?.parse::<u64>().ok();
        let (hours, minutes, seconds) = (part()?, part()?, part()?);
        Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + part().unwrap_or_default())
    }
}
