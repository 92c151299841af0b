//! Clocks, processes and events of a schedule.

use std::collections::VecDeque;

use redwinglatch_control::{CommandOutcome, ControlCommand, Renewal, RenewalClient, RenewalReply};
use redwinglatch_core::prelude::*;

use crate::once::Attempts;

pub(crate) const CUSTOMERS: [&str; 3] = ["lakeshore", "prirucka", "third"];

/// A clock that runs up to 1 % fast or slow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    pub(crate) offset_ms: u64,
    pub(crate) drift_permille: i64,
}

impl Clock {
    pub(crate) fn random(rng: &mut fastrand::Rng) -> Clock {
        Clock { offset_ms: rng.u64(0..100_000), drift_permille: rng.i64(-10..=10) }
    }

    pub(crate) fn at(&self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms * (1_000 + self.drift_permille) as u64 / 1_000
    }
}

#[derive(Debug)]
pub(crate) enum Event {
    /// The regular renewal of a process.
    Renew(usize),
    /// An immediate renewal, for example one that a reply requested.
    RenewNow(usize),
    ToLeader(Renewal),
    ToProcess(usize, RenewalReply),
    /// A process proposes a command for an attempt.
    Propose(usize, u64, ControlCommand),
    Outcome(usize, u64, CommandOutcome),
    /// Proposes the claim or finish of an attempt again if it has no outcome yet.
    RetryProposal(usize, u64),
    FinishRun(usize, u64),
    CallerRequest,
    /// An operator sends the contract change with this number, or resends it.
    SendChange(usize),
    NewChange,
    LeaderTick,
    LeaderChange,
    Elected,
    Fault,
    /// A new process of this instance starts.
    Start(InstanceId),
}

pub(crate) struct Process {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) client: RenewalClient,
    pub(crate) clock: Clock,
    pub(crate) alive: bool,
    pub(crate) paused_until_ms: u64,
    pub(crate) partitioned_until_ms: u64,
    /// Events that arrived while the process was paused.
    pub(crate) inbox: VecDeque<Event>,
    pub(crate) in_use: [u64; CUSTOMERS.len()],
    pub(crate) demand: [u64; CUSTOMERS.len()],
    pub(crate) last_revision: Revision,
    pub(crate) last_contracts: [Revision; CUSTOMERS.len()],
    pub(crate) attempts: Attempts,
}
