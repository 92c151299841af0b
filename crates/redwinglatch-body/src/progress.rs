//! Time limits by the progress of a connection.

/// Longest time that counts between two looks at a connection. A process that was suspended, or gets too little
/// processor time, has not given its peers the time that has passed.
const MAX_STEP_MS: u64 = 1_000;
/// Time after which a connection that is idle after a response may be closed for lack of memory.
const IDLE_STALL_MS: u64 = 1_000;

/// Rate below which a body may be ended for lack of room even though it makes progress. A body of single-byte chunks costs
/// hundreds of times the processor time of its payload.
const CROWDED_BODY_BYTES_PER_S: u64 = 256 << 10;

/// What a connection does; byte counts are totals since it was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// No part of a request has arrived since the last response.
    Idle,
    /// The head of a request is arriving.
    Head {
        /// Bytes received on the connection.
        received: u64,
    },
    /// The body of a request is arriving.
    Body {
        /// Bytes received on the connection.
        received: u64,
    },
    /// A request is being served.
    Serving,
    /// The peer doesn't take the bytes of a response.
    Sending {
        /// Bytes sent on the connection.
        sent: u64,
    },
}

/// Time that an activity may take without progress, and the rate that counts as progress.
///
/// Bytes that arrive extend the time, up to the full time: at the rate or above, the time never ends, and a peer that
/// sends a byte now and then has hardly more time than one that sends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressLimit {
    /// The full time.
    pub time_ms: u64,
    /// The rate.
    pub bytes_per_s: u64,
}

/// The limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Time between requests.
    pub idle_ms: u64,
    /// For heads.
    pub head: ProgressLimit,
    /// For bodies.
    pub body: ProgressLimit,
    /// For responses that the peer doesn't take.
    pub sending: ProgressLimit,
    /// Time without progress after which a connection may be closed for lack of memory, unless it is idle after a
    /// response.
    pub stall_ms: u64,
    /// The same for a body. The process itself may be the one that is slow to take it.
    pub body_stall_ms: u64,
    /// The same for a response that the peer doesn't take.
    pub sending_stall_ms: u64,
}

/// How urgently a connection without progress should be closed for lack of memory; the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StallRank {
    /// Stopped within a request or a response.
    WithinRequest,
    /// Has not sent a request yet.
    Unused,
    /// Sends a body slowly.
    SlowBody,
    /// Idle after a response; its peer may be about to use it again.
    Idle,
}

/// The progress of one connection.
#[derive(Debug)]
pub(crate) struct ProgressRecord {
    limits: ProgressLimits,
    activity: Activity,
    /// Start of the activity, and its bytes then.
    since_ms: u64,
    since_bytes: u64,
    /// Time of the last look.
    seen_ms: u64,
    /// Remaining time without progress, in microseconds so that single bytes count.
    remaining_us: u64,
    has_served: bool,
}

impl ProgressRecord {
    pub(crate) fn new(now_ms: u64, limits: ProgressLimits) -> ProgressRecord {
        ProgressRecord {
            limits,
            activity: Activity::Idle,
            since_ms: now_ms,
            since_bytes: 0,
            seen_ms: now_ms,
            remaining_us: limits.idle_ms * 1_000,
            has_served: false,
        }
    }

    /// Returns the limit of an activity and its bytes; serving a request has none.
    fn limit(&self, activity: Activity) -> Option<(ProgressLimit, u64)> {
        match activity {
            Activity::Idle => {
                Some((ProgressLimit { time_ms: self.limits.idle_ms, bytes_per_s: 1 }, 0))
            }
            Activity::Head { received } => Some((self.limits.head, received)),
            Activity::Body { received } => Some((self.limits.body, received)),
            Activity::Sending { sent } => Some((self.limits.sending, sent)),
            Activity::Serving => None,
        }
    }

    /// Records what the connection does, and returns whether its time is over.
    pub(crate) fn record(&mut self, now_ms: u64, activity: Activity) -> bool {
        let step_ms = now_ms.saturating_sub(self.seen_ms).min(MAX_STEP_MS);
        self.seen_ms = now_ms;
        self.has_served |= matches!(activity, Activity::Serving | Activity::Sending { .. });
        let is_same = std::mem::discriminant(&activity) == std::mem::discriminant(&self.activity);
        let before = std::mem::replace(&mut self.activity, activity);
        let Some((limit, bytes)) = self.limit(activity) else {
            self.since_ms = now_ms;
            return false;
        };
        let full_us = limit.time_ms * 1_000;
        if !is_same {
            self.since_ms = now_ms;
            self.since_bytes = bytes;
            self.remaining_us = full_us;
            return false;
        }
        let progress = bytes.saturating_sub(self.limit(before).map_or(0, |(_, bytes)| bytes));
        let earned_us = progress.saturating_mul(1_000_000) / limit.bytes_per_s.max(1);
        let left_us = self.remaining_us.saturating_add(earned_us);
        self.remaining_us = left_us.saturating_sub(step_ms * 1_000).min(full_us);
        self.remaining_us == 0
    }

    /// Returns how long the connection has made no progress, if that is long enough to close it for lack of memory.
    pub(crate) fn stalled(&self, now_ms: u64) -> Option<(StallRank, u64)> {
        let (limit, _) = self.limit(self.activity)?;
        let unseen_ms = now_ms.saturating_sub(self.seen_ms).min(MAX_STEP_MS);
        if self.activity == Activity::Idle {
            let (rank, stall_ms) = match self.has_served {
                true => (StallRank::Idle, IDLE_STALL_MS),
                false => (StallRank::Unused, self.limits.stall_ms),
            };
            let stalled_ms = now_ms.saturating_sub(self.since_ms);
            return (stalled_ms >= stall_ms).then_some((rank, stalled_ms));
        }
        let stalled_ms = limit.time_ms.saturating_sub(self.remaining_us / 1_000) + unseen_ms;
        let stall_ms = match self.activity {
            Activity::Sending { .. } => self.limits.sending_stall_ms,
            Activity::Body { .. } => self.limits.body_stall_ms,
            _ => self.limits.stall_ms,
        };
        if stalled_ms >= stall_ms {
            return Some((StallRank::WithinRequest, stalled_ms));
        }
        let Activity::Body { received } = self.activity else { return None };
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let expected_bytes = age_ms.saturating_mul(CROWDED_BODY_BYTES_PER_S) / 1_000;
        let is_slow = received.saturating_sub(self.since_bytes) < expected_bytes;
        (is_slow && age_ms >= stall_ms).then_some((StallRank::SlowBody, age_ms))
    }
}

#[cfg(test)]
mod tests;
