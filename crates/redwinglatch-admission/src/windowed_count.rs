//! Counts over one-second windows.

const WINDOW_MS: u64 = 1_000;

/// A count per one-second window; reads as the larger of the current and the previous window.
#[derive(Debug, Clone, Default)]
pub(crate) struct WindowedCount {
    window: u64,
    current: u64,
    previous: u64,
}

impl WindowedCount {
    pub(crate) fn add(&mut self, now_ms: u64, count: u64) {
        self.rotate(now_ms);
        self.current = self.current.saturating_add(count);
    }

    pub(crate) fn raise_to(&mut self, now_ms: u64, value: u64) {
        self.rotate(now_ms);
        self.current = self.current.max(value);
    }

    pub(crate) fn recent(&mut self, now_ms: u64) -> u64 {
        self.rotate(now_ms);
        self.current.max(self.previous)
    }

    fn rotate(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window <= self.window {
            return;
        }
        self.previous = if window == self.window + 1 { self.current } else { 0 };
        self.current = 0;
        self.window = window;
    }
}
