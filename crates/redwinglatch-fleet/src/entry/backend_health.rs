//! Health of a backend server, as its answers and failures show it.

/// Time for which a backend server is avoided after its first failure; doubled with each further one.
const INITIAL_AVOID_MS: u64 = 300;
/// Longest time for which a backend server is avoided.
const MAX_AVOID_MS: u64 = 4_000;
/// Number of consecutive failures after which the time no longer doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Whether a backend server should get requests.
#[derive(Debug, Default)]
pub(super) struct BackendHealth {
    failures: u32,
    avoid_until_ms: u64,
    hold_until_ms: u64,
    is_leaving: bool,
}

impl BackendHealth {
    /// Records that the server responded.
    pub(super) fn record_response(&mut self) {
        self.failures = 0;
        self.avoid_until_ms = 0;
    }

    /// Records that the server did not respond; it is avoided for some time.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        let avoid_ms = INITIAL_AVOID_MS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.avoid_until_ms = now_ms + avoid_ms.min(MAX_AVOID_MS);
    }

    /// Records that another server has taken over the address.
    pub(super) fn record_replacement(&mut self, now_ms: u64) {
        self.avoid_until_ms = now_ms + MAX_AVOID_MS;
    }

    /// Records that the server wants no requests before `until_ms`. Other responses don't end that time.
    pub(super) fn record_hold(&mut self, until_ms: u64) {
        self.hold_until_ms = self.hold_until_ms.max(until_ms);
    }

    /// Returns until when the server wants no requests.
    pub(super) fn hold_end_ms(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.hold_until_ms).then_some(self.hold_until_ms)
    }

    /// Records that the server announced its stop; returns whether that is new.
    ///
    /// A server doesn't take this back: one that starts again has another key.
    pub(super) fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Returns whether the server announced its stop in an answer; the backend list tells it later.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the server ever announced its stop or asked for no requests.
    pub(super) fn has_announcement(&self) -> bool {
        self.is_leaving || self.hold_until_ms > 0
    }

    /// Returns whether the server should get requests only if there is no other.
    pub(super) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }
}
