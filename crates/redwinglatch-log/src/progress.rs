//! What a leader knows about another replica.

use std::{collections::VecDeque, sync::Arc};

use crate::{Index, Snapshot, Stamp};

/// How entries are sent to a replica.
#[derive(Debug)]
pub(crate) enum SendState {
    /// One message at a time until the replica's log is known.
    Probe {
        /// Whether a message awaits its answer.
        waiting: bool,
    },
    /// Several messages at a time.
    Pipeline {
        /// The last index of each message that awaits its answer.
        in_flight: VecDeque<Index>,
    },
    /// The replica needs entries that only the snapshot contains.
    Snapshot {
        /// The snapshot being sent.
        snapshot: Arc<Snapshot>,
        /// Where the next chunk begins.
        offset: u64,
        /// Whether a chunk awaits its answer.
        waiting: bool,
    },
}

/// What a leader knows about another replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index that the replica is known to have synced.
    pub(crate) match_index: Index,
    /// The next index to send.
    pub(crate) next_index: Index,
    /// How entries are sent.
    pub(crate) state: SendState,
    /// When the newest acknowledged message was sent, on the leader's clock.
    pub(crate) acked_sent_ms: Option<u64>,
    /// The newest read confirmation that the replica has acknowledged.
    pub(crate) acked_round: u64,
    /// Whether a message must be sent even without entries.
    pub(crate) contact_due: bool,
    /// The commit index when the promotion of this learner was first asked for.
    pub(crate) promotion_index: Option<Index>,
}

impl Progress {
    pub(crate) fn new(next_index: Index) -> Progress {
        Progress {
            match_index: 0,
            next_index,
            state: SendState::Probe { waiting: false },
            acked_sent_ms: None,
            acked_round: 0,
            contact_due: true,
            promotion_index: None,
        }
    }

    /// Records an answer to a message with `stamp`; `newest` is the stamp of a message sent now.
    pub(crate) fn acknowledged(&mut self, stamp: Stamp, newest: Stamp) {
        // Such a stamp was never sent and would extend the lease.
        if stamp.sent_ms > newest.sent_ms || stamp.round > newest.round {
            return;
        }
        self.acked_sent_ms = self.acked_sent_ms.max(Some(stamp.sent_ms));
        self.acked_round = self.acked_round.max(stamp.round);
    }

    /// Records that the replica has synced the log up to `index`.
    pub(crate) fn matched(&mut self, index: Index) {
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

    /// Records that the replica refused entries after `prev_index` and may accept them from
    /// `next_index` on.
    pub(crate) fn conflicted(&mut self, prev_index: Index, next_index: Index) {
        let outdated = match self.state {
            SendState::Probe { .. } => prev_index != self.next_index - 1,
            SendState::Pipeline { .. } => prev_index >= self.next_index,
            SendState::Snapshot { .. } => true,
        };
        // A replica never loses what it has acknowledged, so such an answer is outdated as well.
        if outdated || prev_index <= self.match_index {
            return;
        }
        self.next_index = next_index.min(prev_index).max(self.match_index + 1);
        self.state = SendState::Probe { waiting: false };
    }
}
