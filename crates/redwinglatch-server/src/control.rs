//! The task of a log replica and, while it is the leader, of the control leader's soft state.

mod handlers;
mod member_choice;
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
    Effects, Entry, EntryKind, Index, ProposeError, Replica, Storage, Term, WriteId,
};
use redwinglatch_metrics::{Counter, Gauge, Metrics};
use tokio::sync::oneshot;
use xtra::prelude::*;

pub(crate) use messages::{
    ControlStatus, FindIdempotencyKey, Propose, ReadContracts, ReadControlStatus, Renew,
    StepReplica, TransferLeadership,
};

use self::member_choice::next_change;
use self::messages::{LogWritten, Tick};
use crate::clock::{Clock, wall_clock_s};

/// Interval of the replica's ticks; well below the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between removals of expired idempotency records.
const EXPIRY_INTERVAL_MS: u64 = 60_000;
/// Time after which the leader repeats a proposal of its own that has not been applied.
const LEADER_PROPOSAL_TIMEOUT_MS: u64 = 2_000;

pub(crate) type ProposalResult = Result<CommandOutcome, ControlRefusal>;

/// Settings and dependencies of the task of a log replica.
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

/// The task that owns the log replica, its storage and the control state.
pub(crate) struct ControlActor {
    parts: ControlParts,
    /// `None` while a write is in progress; proposals that arrive meanwhile share the next sync.
    storage: Option<Storage>,
    state: ControlState,
    last_snapshot_bytes: usize,
    /// Bytes of log entries applied since the last snapshot.
    applied_bytes: usize,
    /// The term of the last applied log entry. A leader's state is current once it has applied an
    /// entry of its own term.
    applied_term: Term,
    leader: Option<LeaderState>,
    /// Proposals whose log entries are not yet applied.
    proposals: BTreeMap<Index, Proposal>,
    /// Replies to accepted contract changes that are not yet in force everywhere, by ticket.
    tickets: HashMap<u64, (Revision, oneshot::Sender<ProposalResult>)>,
    next_ticket: u64,
    /// Commands that this leader proposed itself, with the time after which to propose them again.
    leader_proposals: HashMap<LeaderProposal, u64>,
    next_expiry_at_ms: u64,
}

struct Proposal {
    term: Term,
    reply: oneshot::Sender<ProposalResult>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LeaderProposal {
    AssignCoordinator(CellId),
    EndClaims(LeaseHolder),
}

impl ControlActor {
    /// Starts the task and its ticks; `state` is that of the last snapshot.
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
            leader_proposals: HashMap::new(),
            next_expiry_at_ms: 0,
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

    /// Carries out the replica's effects unless a write is in progress.
    fn process_effects(&mut self, ctx: &Context<Self>) {
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
        self.update_leadership();
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
                LogWritten { storage, write, result }
            });
            match written.await {
                // Sending fails only when the process ends, which also ends the actor.
                Ok(written) => drop(address.send(written).await),
                Err(error) => log::error!("control: the task that writes the log failed: {error}"),
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
                    // All replicas run the same code on the same bytes, so all of them halt here.
                    log::error!("control: log entry {} can't be decoded: {error}", entry.index);
                    self.parts.replica.halt();
                    None
                }
            },
            EntryKind::Empty | EntryKind::Membership(_) => None,
        };
        let Some(proposal) = self.proposals.remove(&entry.index) else { return };
        match outcome {
            Some(outcome) if proposal.term == entry.term => self.respond(outcome, proposal.reply),
            _ => drop(proposal.reply.send(Err(ControlRefusal::OutcomeUnknown))),
        }
    }

    fn apply_command(&mut self, index: Index, command: &ControlCommand) -> CommandOutcome {
        match command {
            ControlCommand::AssignCoordinator { cell, .. } => {
                self.leader_proposals.remove(&LeaderProposal::AssignCoordinator(*cell));
            }
            ControlCommand::EndClaims { instance, incarnation } => {
                let holder = LeaseHolder { instance: *instance, incarnation: *incarnation };
                self.leader_proposals.remove(&LeaderProposal::EndClaims(holder));
            }
            _ => {}
        }
        let outcome = self.state.apply(index, command);
        if matches!(outcome, CommandOutcome::Accepted { .. }) {
            self.parts.metrics.increment(Counter::ChangesCommitted);
        }
        outcome
    }

    /// Replies to a proposal; the reply to an accepted contract change waits until the change is in
    /// force on all instances.
    fn respond(&mut self, outcome: CommandOutcome, reply: oneshot::Sender<ProposalResult>) {
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

    /// Creates or drops the leader's soft state when leadership starts or ends.
    fn update_leadership(&mut self) {
        let term = self.parts.replica.term();
        let is_leader = self.parts.replica.is_leader() && self.applied_term == term;
        let known_term = self.leader.as_ref().map(|leader| leader.leases().term());
        if is_leader && known_term != Some(term) {
            log::info!("control: this instance is the leader in term {term}");
            self.end_leadership();
            let now_ms = self.now_ms();
            self.leader = Some(LeaderState::new(self.parts.lease_settings, term, now_ms));
        } else if !is_leader && self.leader.is_some() {
            log::info!("control: this instance is no longer the leader");
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
        self.leader_proposals.clear();
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

    /// Takes a snapshot when one is due and the applied log entries amount to at least half of the
    /// last snapshot's size, so that a large state is not written again for every thousand small
    /// entries.
    fn compact(&mut self) {
        let has_grown_enough = self.last_snapshot_bytes <= 2 * self.applied_bytes;
        if self.parts.replica.snapshot_due() && has_grown_enough {
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

    /// The leader's soft state, if this instance's leader lease is valid.
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
                log::warn!("control: a proposed command was refused: {error}");
                Err(ControlRefusal::Busy)
            }
        }
    }

    /// Proposes the leader's own commands: ending the claims of instances whose lease expired,
    /// assigning coordinators, changing the log's members and removing expired records.
    fn propose_leader_commands(&mut self, now_ms: u64) {
        if self.current_leader(now_ms).is_err() {
            return;
        }
        let Some(leader) = &self.leader else { return };
        let mut commands = Vec::new();
        for holder in leader.expired_claimants(now_ms, &self.state) {
            let LeaseHolder { instance, incarnation } = holder;
            let command = ControlCommand::EndClaims { instance, incarnation };
            commands.push((LeaderProposal::EndClaims(holder), command));
        }
        for cell in &self.parts.cells {
            if let Some(command) = self.coordinator_assignment(now_ms, leader, *cell) {
                commands.push((LeaderProposal::AssignCoordinator(*cell), command));
            }
        }
        for (key, command) in commands {
            if self.leader_proposals.get(&key).is_some_and(|retry_at_ms| now_ms < *retry_at_ms) {
                continue;
            }
            if self.propose(&command).is_ok() {
                self.leader_proposals.insert(key, now_ms + LEADER_PROPOSAL_TIMEOUT_MS);
            }
        }
        let configured: Vec<ReplicaId> = self.parts.replica_instances.keys().copied().collect();
        let replica = &self.parts.replica;
        let is_caught_up = |learner| replica.is_caught_up(learner);
        if let Some(change) = next_change(replica.membership(), &configured, is_caught_up) {
            // A refused change, such as one beside another that isn't committed yet, is proposed
            // again at the next tick.
            if self.parts.replica.propose_membership(change, now_ms).is_ok() {
                log::info!("control: proposed a membership change of the log: {change:?}");
            }
        }
        if self.next_expiry_at_ms <= now_ms {
            self.next_expiry_at_ms = now_ms + EXPIRY_INTERVAL_MS;
            // A failed proposal is repeated after the next interval.
            let _ = self.propose(&ControlCommand::ExpireOnce { now_wall_s: wall_clock_s() });
        }
    }

    /// The command that assigns a new coordinator to `cell`, if it has none or its current one is
    /// draining or has an expired lease.
    fn coordinator_assignment(
        &self,
        now_ms: u64,
        leader: &LeaderState,
        cell: CellId,
    ) -> Option<ControlCommand> {
        let current = self.state.coordinator(cell);
        let find_record = |instance, incarnation| {
            leader
                .leases()
                .instances()
                .find(|record| record.instance == instance && record.incarnation == incarnation)
        };
        if let Some(current) = current {
            let holder =
                LeaseHolder { instance: current.instance, incarnation: current.incarnation };
            let record = find_record(current.instance, current.incarnation);
            let is_kept = match record {
                Some(record) => !record.draining,
                None => !leader.leases().has_expired(now_ms, holder),
            };
            if is_kept {
                return None;
            }
        }
        // The instance with the fewest cells; ties go to the lowest id, so that the choice is
        // stable.
        let count_cells =
            |instance| self.state.coordinators().filter(|known| known.instance == instance).count();
        let chosen = leader
            .leases()
            .instances()
            .filter(|record| !record.draining)
            .filter(|record| {
                let (instance, incarnation) = (record.instance, record.incarnation);
                leader.leases().is_current(now_ms, LeaseHolder { instance, incarnation })
            })
            .min_by_key(|record| (count_cells(record.instance), record.instance))?;
        Some(ControlCommand::AssignCoordinator {
            cell,
            instance: chosen.instance,
            incarnation: chosen.incarnation,
            expected_epoch: current.map_or(Epoch(0), |current| current.epoch),
        })
    }
}
