//! The leader's replication state for another replica.

use std::{collections::VecDeque, sync::Arc};

use crate::{Index, LeaderStamp, Snapshot};

/// The mode in which entries are sent to a replica.
#[derive(Debug)]
pub(crate) enum SendState {
    /// Sends one message at a time until the index at which the logs match is known.
    Probe {
        /// Whether a message awaits its reply.
        is_awaiting_reply: bool,
    },
    /// Sends several messages without waiting for their replies.
    Pipeline {
        /// The last index of each message that awaits its reply.
        in_flight: VecDeque<Index>,
    },
    /// Sends the snapshot, because the replica needs entries that only the snapshot contains.
    Snapshot {
        /// The snapshot being sent.
        snapshot: Arc<Snapshot>,
        /// The offset of the next chunk.
        offset: u64,
        /// Whether a chunk awaits its reply.
        is_awaiting_reply: bool,
    },
}

/// The leader's replication state for another replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index that the replica is known to have synced.
    pub(crate) match_index: Index,
    /// The next index to send.
    pub(crate) next_index: Index,
    /// The mode in which entries are sent.
    pub(crate) state: SendState,
    /// The send time of the latest acknowledged message, on the leader's clock.
    pub(crate) acked_sent_ms: Option<u64>,
    /// The latest round of read confirmations that the replica has acknowledged.
    pub(crate) acked_read_round: u64,
    /// Whether a message must be sent even if there are no entries to send.
    pub(crate) is_heartbeat_due: bool,
    /// The commit index when the promotion of this learner was first requested.
    pub(crate) promotion_index: Option<Index>,
    /// The commit index that the replica has to reach next, and the time at which it was that.
    next_round: Option<(Index, u64)>,
    /// The latest time of which the replica is known to have synced everything that was committed then.
    caught_up_ms: Option<u64>,
}

impl Progress {
    pub(crate) fn new(next_index: Index) -> Progress {
        Progress {
            match_index: 0,
            next_index,
            state: SendState::Probe { is_awaiting_reply: false },
            acked_sent_ms: None,
            acked_read_round: 0,
            is_heartbeat_due: true,
            promotion_index: None,
            next_round: None,
            caught_up_ms: None,
        }
    }

    /// Records a reply to a message with `stamp`; `newest` is the stamp of a message sent now.
    pub(crate) fn record_ack(&mut self, stamp: LeaderStamp, newest: LeaderStamp) {
        // A stamp newer than `newest` was never sent and would extend the lease.
        if stamp.sent_ms > newest.sent_ms || stamp.read_round > newest.read_round {
            return;
        }
        self.acked_sent_ms = self.acked_sent_ms.max(Some(stamp.sent_ms));
        self.acked_read_round = self.acked_read_round.max(stamp.read_round);
    }

    /// Records that the replica has synced the log up to `index`.
    pub(crate) fn record_match(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        let matched = self.match_index;
        match &mut self.state {
            SendState::Probe { .. } => {
                self.next_index = matched + 1;
                self.state = SendState::Pipeline { in_flight: VecDeque::new() };
            }
            SendState::Pipeline { in_flight } => {
                self.next_index = self.next_index.max(matched + 1);
                in_flight.retain(|&last| last > matched);
            }
            SendState::Snapshot { snapshot, .. } => {
                if matched >= snapshot.index {
                    self.next_index = matched + 1;
                    self.state = SendState::Pipeline { in_flight: VecDeque::new() };
                }
            }
        }
    }

    /// Records a reply: once the replica has reached the commit index of the round, the next one begins.
    pub(crate) fn record_round(&mut self, commit_index: Index, now_ms: u64) {
        match self.next_round {
            Some((required_index, _)) if self.match_index < required_index => return,
            Some((_, started_ms)) => self.caught_up_ms = Some(started_ms),
            None => {}
        }
        self.next_round = Some((commit_index, now_ms));
    }

    /// Returns whether the replica has synced everything that was committed at some time after `since_ms`.
    pub(crate) fn is_caught_up_since(&self, since_ms: u64) -> bool {
        self.caught_up_ms.is_some_and(|caught_up_ms| since_ms <= caught_up_ms)
    }

    /// Records that the replica rejected entries after `prev_index` and may accept them from
    /// `next_index` on.
    pub(crate) fn record_conflict(&mut self, prev_index: Index, next_index: Index) {
        let is_outdated = match self.state {
            SendState::Probe { .. } => prev_index != self.next_index - 1,
            SendState::Pipeline { .. } => prev_index >= self.next_index,
            SendState::Snapshot { .. } => true,
        };
        // A replica never loses entries that it has acknowledged, so a reply that rejects them is
        // outdated as well.
        if is_outdated || prev_index <= self.match_index {
            return;
        }
        self.next_index = next_index.min(prev_index).max(self.match_index + 1);
        self.state = SendState::Probe { is_awaiting_reply: false };
    }
}
