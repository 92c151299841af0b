//! The log replica and, while it leads, the control leader's soft state.

mod handlers;
mod messages;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_control::{
    CommandOutcome, ControlCommand, ControlState, LeaderState, LeaseHolder, LeaseSettings,
};
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{ControlRefusal, PeerMessage, Transport};
use redwinglatch_log::{
    Effects, Entry, EntryKind, Index, MembershipChange, ProposeError, Replica, Storage, Term,
    WriteId,
};
use redwinglatch_metrics::{Counter, Gauge, Metrics};
use tokio::sync::oneshot;
use xtra::prelude::*;

pub(crate) use messages::{
    ControlStatus, FindKey, Propose, ReadContracts, ReadControlStatus, Renew, Step,
    TransferLeadership,
};

use self::messages::{Tick, Written};
use crate::clock::{Clock, wall_clock_s};

/// How often the replica's clock advances; well below the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often expired records are removed.
const EXPIRE_INTERVAL_MS: u64 = 60_000;
/// How long a proposal that the leader makes by itself may take before it is made again.
const OWN_PROPOSAL_TIMEOUT_MS: u64 = 2_000;

pub(crate) type Proposed = Result<CommandOutcome, ControlRefusal>;

/// What a log replica is started with.
pub(crate) struct ControlParts {
    pub(crate) replica: Replica,
    pub(crate) lease_settings: LeaseSettings,
    /// The instance of each log replica.
    pub(crate) replica_instances: HashMap<ReplicaId, InstanceId>,
    pub(crate) cells: Vec<CellId>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) transport: Transport<PeerMessage>,
}

/// Owns the log replica, its storage and the control state.
pub(crate) struct ControlActor {
    parts: ControlParts,
    /// `None` while a write is under way; the proposals that arrive meanwhile share the next sync.
    storage: Option<Storage>,
    state: ControlState,
    last_snapshot_bytes: usize,
    /// Bytes of entries applied since the last snapshot.
    applied_bytes: usize,
    /// The term of the last applied entry. A leader is current once it applied one of its own term.
    applied_term: Term,
    leader: Option<LeaderState>,
    proposals: BTreeMap<Index, Proposal>,
    tickets: HashMap<u64, (Revision, oneshot::Sender<Proposed>)>,
    next_ticket: u64,
    /// Assignments and losses proposed by this leader, with the time after which to try again.
    own_proposals: HashMap<OwnProposal, u64>,
    expire_at_ms: u64,
}

struct Proposal {
    term: Term,
    reply: oneshot::Sender<Proposed>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum OwnProposal {
    Assign(CellId),
    Lost(LeaseHolder),
}

impl ControlActor {
    /// Starts the actor and its ticks on the state of the last snapshot.
    pub(crate) fn spawn(
        mut parts: ControlParts,
        storage: Storage,
        state: ControlState,
    ) -> Address<ControlActor> {
        parts.replica.tick(parts.clock.now_ms());
        let actor = ControlActor {
            parts,
            storage: Some(storage),
            state,
            last_snapshot_bytes: 0,
            applied_bytes: 0,
            applied_term: 0,
            leader: None,
            proposals: BTreeMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            own_proposals: HashMap::new(),
            expire_at_ms: 0,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let weak = address.downgrade();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(TICK_INTERVAL);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                if weak.send(Tick).await.is_err() {
                    return;
                }
            }
        });
        address
    }

    fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    /// Performs what the replica asks for, unless a write is under way.
    fn drive(&mut self, ctx: &Context<Self>) {
        while self.storage.is_some() {
            let mut effects = self.parts.replica.take_effects();
            if effects.is_empty() {
                break;
            }
            self.send_messages(&mut effects);
            let committed = std::mem::take(&mut effects.committed);
            if let Some(snapshot) = effects.restore.take() {
                self.restore(&snapshot.data);
            }
            if let Some(write) = effects.write {
                self.start_write(write, effects, ctx);
            }
            for entry in &committed {
                self.apply(entry);
            }
        }
        self.follow_role();
        self.report_changes_in_force();
        self.compact();
    }

    fn send_messages(&self, effects: &mut Effects) {
        let from = self.parts.replica.id();
        for outgoing in effects.messages.drain(..) {
            let to = outgoing.to;
            if let Some(instance) = self.parts.replica_instances.get(&to) {
                let message = PeerMessage::Log { from, to, message: outgoing.message };
                self.parts.transport.send(*instance, message);
            }
        }
    }

    fn start_write(&mut self, write: WriteId, effects: Effects, ctx: &Context<Self>) {
        let Some(mut storage) = self.storage.take() else { return };
        self.parts.metrics.add(Counter::LogEntries, effects.append.len() as u64);
        self.parts.metrics.increment(Counter::LogSyncs);
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            let written = tokio::task::spawn_blocking(move || {
                let result = storage.save(&effects);
                Written { storage, write, result }
            });
            match written.await {
                // The actor ends only with the process.
                Ok(written) => drop(address.send(written).await),
                Err(error) => log::error!("control: the write of the log ended: {error}"),
            }
        });
    }

    fn restore(&mut self, snapshot: &[u8]) {
        match ControlState::restore(snapshot) {
            Ok(state) => self.state = state,
            Err(error) => {
                log::error!("control: the snapshot can't be restored: {error}");
                self.parts.replica.halt();
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied_term = entry.term;
        self.applied_bytes += entry.size_bytes();
        let outcome = match &entry.kind {
            EntryKind::Data(data) => match postcard::from_bytes::<ControlCommand>(data) {
                Ok(command) => Some(self.apply_command(entry.index, &command)),
                Err(error) => {
                    // All replicas run the same code on the same bytes, so all stop here alike.
                    log::error!("control: entry {} does not decode: {error}", entry.index);
                    self.parts.replica.halt();
                    None
                }
            },
            EntryKind::Empty | EntryKind::Membership(_) => None,
        };
        let Some(proposal) = self.proposals.remove(&entry.index) else { return };
        match outcome {
            Some(outcome) if proposal.term == entry.term => self.answer(outcome, proposal.reply),
            _ => drop(proposal.reply.send(Err(ControlRefusal::OutcomeUnknown))),
        }
    }

    fn apply_command(&mut self, index: Index, command: &ControlCommand) -> CommandOutcome {
        match command {
            ControlCommand::AssignCoordinator { cell, .. } => {
                self.own_proposals.remove(&OwnProposal::Assign(*cell));
            }
            ControlCommand::EndClaims { instance, incarnation } => {
                let holder = LeaseHolder { instance: *instance, incarnation: *incarnation };
                self.own_proposals.remove(&OwnProposal::Lost(holder));
            }
            _ => {}
        }
        let outcome = self.state.apply(index, command);
        if matches!(outcome, CommandOutcome::Accepted { .. }) {
            self.parts.metrics.increment(Counter::ChangesCommitted);
        }
        outcome
    }

    /// Answers a proposal; an accepted contract change waits until it is in force everywhere.
    fn answer(&mut self, outcome: CommandOutcome, reply: oneshot::Sender<Proposed>) {
        match (&outcome, &mut self.leader) {
            (CommandOutcome::Accepted { revision }, Some(leader)) => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                leader.pending_mut().add(*revision, ticket);
                self.tickets.insert(ticket, (*revision, reply));
            }
            (CommandOutcome::Accepted { .. }, None) => {
                let _ = reply.send(Err(ControlRefusal::OutcomeUnknown));
            }
            _ => drop(reply.send(Ok(outcome))),
        }
    }

    /// Starts and ends the leader's soft state with leadership.
    fn follow_role(&mut self) {
        let term = self.parts.replica.term();
        let leads = self.parts.replica.is_leader() && self.applied_term == term;
        let known_term = self.leader.as_ref().map(|leader| leader.leases().term());
        if leads && known_term != Some(term) {
            log::info!("control: this instance leads in term {term}");
            self.end_leadership();
            let now_ms = self.now_ms();
            self.leader = Some(LeaderState::new(self.parts.lease_settings, term, now_ms));
        } else if !leads && self.leader.is_some() {
            log::info!("control: this instance no longer leads");
            self.end_leadership();
        }
        if !self.parts.replica.is_leader() && !self.proposals.is_empty() {
            self.fail_proposals();
        }
        let metrics = &self.parts.metrics;
        metrics.set(Gauge::ControlLeader, i64::from(self.leader.is_some()));
        metrics.set(Gauge::LogTerm, i64::try_from(term).unwrap_or(i64::MAX));
        let commit_index = self.parts.replica.commit_index();
        metrics.set(Gauge::CommitIndex, i64::try_from(commit_index).unwrap_or(i64::MAX));
    }

    fn end_leadership(&mut self) {
        self.leader = None;
        self.own_proposals.clear();
        for (_, (_, reply)) in self.tickets.drain() {
            let _ = reply.send(Err(ControlRefusal::OutcomeUnknown));
        }
    }

    fn fail_proposals(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let _ = proposal.reply.send(Err(ControlRefusal::OutcomeUnknown));
        }
    }

    fn report_changes_in_force(&mut self) {
        let now_ms = self.now_ms();
        let Some(leader) = &mut self.leader else { return };
        if leader.pending().is_empty() || !self.parts.replica.leader_lease_valid(now_ms) {
            return;
        }
        for (revision, ticket) in leader.take_reportable(now_ms) {
            if let Some((_, reply)) = self.tickets.remove(&ticket) {
                let _ = reply.send(Ok(CommandOutcome::Accepted { revision }));
            }
        }
    }

    /// Takes a snapshot when one is due and the log has grown by half of the last snapshot, so that
    /// a large state is not written again for each thousand small entries.
    fn compact(&mut self) {
        let grown = self.last_snapshot_bytes <= 2 * self.applied_bytes;
        if self.parts.replica.snapshot_due() && grown {
            let index = self.parts.replica.applied_index();
            let snapshot = self.state.snapshot();
            let size_bytes = snapshot.len();
            if self.parts.replica.compact(index, snapshot) {
                self.last_snapshot_bytes = size_bytes;
                self.applied_bytes = 0;
                self.parts.metrics.increment(Counter::Snapshots);
            }
        }
    }

    /// The leader's soft state, if this instance surely leads now.
    fn current_leader(&mut self, now_ms: u64) -> Result<&mut LeaderState, ControlRefusal> {
        let leader_instance = self.leader_instance();
        match &mut self.leader {
            Some(leader) if self.parts.replica.leader_lease_valid(now_ms) => Ok(leader),
            _ => Err(ControlRefusal::NotLeader(leader_instance)),
        }
    }

    fn leader_instance(&self) -> Option<InstanceId> {
        let leader = self.parts.replica.leader()?;
        self.parts.replica_instances.get(&leader).copied()
    }

    fn propose(&mut self, command: &ControlCommand) -> Result<(Index, Term), ControlRefusal> {
        let data = postcard::to_allocvec(command).expect("commands encode into memory");
        let now_ms = self.now_ms();
        match self.parts.replica.propose(data, now_ms) {
            Ok(index) => Ok((index, self.parts.replica.term())),
            Err(ProposeError::NotLeader(_)) => {
                Err(ControlRefusal::NotLeader(self.leader_instance()))
            }
            Err(error) => {
                log::warn!("control: a command is refused: {error}");
                Err(ControlRefusal::Busy)
            }
        }
    }

    /// Proposes what follows from the leases: lost instances, coordinators, expired records.
    fn propose_own(&mut self, now_ms: u64) {
        if self.current_leader(now_ms).is_err() {
            return;
        }
        let Some(leader) = &self.leader else { return };
        let mut commands = Vec::new();
        for holder in leader.expired_claimants(now_ms, &self.state) {
            let LeaseHolder { instance, incarnation } = holder;
            let command = ControlCommand::EndClaims { instance, incarnation };
            commands.push((OwnProposal::Lost(holder), command));
        }
        for cell in &self.parts.cells {
            if let Some(command) = self.assignment(now_ms, leader, *cell) {
                commands.push((OwnProposal::Assign(*cell), command));
            }
        }
        for (key, command) in commands {
            if self.own_proposals.get(&key).is_some_and(|retry_at_ms| now_ms < *retry_at_ms) {
                continue;
            }
            if self.propose(&command).is_ok() {
                self.own_proposals.insert(key, now_ms + OWN_PROPOSAL_TIMEOUT_MS);
            }
        }
        if let Some(change) = self.membership_change() {
            // A refused change, such as the promotion of a learner that still catches up, is asked
            // for again with the next tick.
            if self.parts.replica.propose_membership(change, now_ms).is_ok() {
                log::info!("control: the members of the log change: {change:?}");
            }
        }
        if self.expire_at_ms <= now_ms {
            self.expire_at_ms = now_ms + EXPIRE_INTERVAL_MS;
            // A failed proposal is made again after the next interval.
            let _ = self.propose(&ControlCommand::ExpireOnce { now_wall_s: wall_clock_s() });
        }
    }

    /// The next step from the members of the log towards the replicas in the settings.
    ///
    /// Replica ids only grow, so a leader with old settings neither removes a newer replica nor
    /// brings back an older one while new settings are rolled out.
    fn membership_change(&self) -> Option<MembershipChange> {
        let membership = self.parts.replica.membership();
        if let Some(learner) = membership.learners().first() {
            return Some(MembershipChange::Promote(*learner));
        }
        let listed = &self.parts.replica_instances;
        let newest = membership.members().max()?;
        if listed.len() < membership.voters().len() {
            let replaced = membership.voters().iter().find(|id| !listed.contains_key(id))?;
            let replacement = listed.keys().any(|id| replaced < id && membership.is_voter(*id));
            return replacement.then_some(MembershipChange::Remove(*replaced));
        }
        listed.keys().filter(|id| newest < **id).min().copied().map(MembershipChange::AddLearner)
    }

    /// A new coordinator for `cell`, if its current one is gone or draining.
    fn assignment(
        &self,
        now_ms: u64,
        leader: &LeaderState,
        cell: CellId,
    ) -> Option<ControlCommand> {
        let current = self.state.coordinator(cell);
        let record_of = |instance, incarnation| {
            leader
                .leases()
                .instances()
                .find(|record| record.instance == instance && record.incarnation == incarnation)
        };
        if let Some(current) = current {
            let holder =
                LeaseHolder { instance: current.instance, incarnation: current.incarnation };
            let record = record_of(current.instance, current.incarnation);
            let stays = match record {
                Some(record) => !record.draining,
                None => !leader.leases().has_expired(now_ms, holder),
            };
            if stays {
                return None;
            }
        }
        // The instance with the fewest cells; among equals the lowest id, for a stable choice.
        let cells_of =
            |instance| self.state.coordinators().filter(|known| known.instance == instance).count();
        let chosen = leader
            .leases()
            .instances()
            .filter(|record| !record.draining)
            .filter(|record| {
                let (instance, incarnation) = (record.instance, record.incarnation);
                leader.leases().is_current(now_ms, LeaseHolder { instance, incarnation })
            })
            .min_by_key(|record| (cells_of(record.instance), record.instance))?;
        Some(ControlCommand::AssignCoordinator {
            cell,
            instance: chosen.instance,
            incarnation: chosen.incarnation,
            expected_epoch: current.map_or(Epoch(0), |current| current.epoch),
        })
    }
}
