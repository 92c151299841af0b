//! The times that answers have taken lately.

use std::collections::HashMap;

/// Time after which the longest answer of a service is forgotten, at the earliest.
const WINDOW_MS: u64 = 5_000;

/// The longest answer of a service in the present window, and in the one before.
#[derive(Debug, Clone, Copy)]
struct LongestAnswers {
    window: u64,
    present_ms: u64,
    former_ms: u64,
}

impl LongestAnswers {
    /// Moves on to the window of `now_ms`.
    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window == self.window {
            return;
        }
        let is_next = window == self.window + 1;
        self.former_ms = if is_next { self.present_ms } else { 0 };
        (self.window, self.present_ms) = (window, 0);
    }
}

/// The times that answers of each service without streams have taken lately.
///
/// Answers a planned stop: a request that comes late in the grace period is taken only if its server will most likely
/// have answered before the process ends.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    services: HashMap<Box<str>, LongestAnswers>,
}

impl AnswerTimes {
    /// Records an answer, or an attempt that ended without one.
    pub(super) fn record(&mut self, now_ms: u64, service: &str, took_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if let Some(longest) = self.services.get_mut(service) {
            longest.advance(now_ms);
            longest.present_ms = longest.present_ms.max(took_ms);
            return;
        }
        // The services that are no longer asked for are dropped, so that their number stays bounded.
        self.services.retain(|_, longest| longest.window + 1 >= window);
        let longest = LongestAnswers { window, present_ms: took_ms, former_ms: 0 };
        self.services.insert(service.into(), longest);
    }

    /// Returns the time that the longest answer of a service has taken lately, if there was one.
    pub(super) fn longest_ms(&mut self, now_ms: u64, service: &str) -> Option<u64> {
        let longest = self.services.get_mut(service)?;
        longest.advance(now_ms);
        let longest_ms = longest.present_ms.max(longest.former_ms);
        (longest_ms > 0).then_some(longest_ms)
    }
}

#[cfg(test)]
mod tests;
