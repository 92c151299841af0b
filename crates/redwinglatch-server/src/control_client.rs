//! Calls to the control leader, wherever it is.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use redwinglatch_control::{
    CommandOutcome, ContractHistoryEntry, ControlCommand, Renewal, RenewalReply,
};
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{ContractQuery, ControlRefusal, PeerMessage};
use redwinglatch_metrics::Timing;
use tokio::time::{Instant, sleep, timeout};

use crate::control::{FindKey, Propose, Proposed, ReadContracts, Renew};
use crate::shared::Shared;

/// Time for a renewal; a lost one is repeated with the next interval.
const RENEW_LIMIT: Duration = Duration::from_millis(700);
/// Time for a renewal over UDP; a lost datagram costs less of the lease than over TCP.
const DATAGRAM_LIMIT: Duration = Duration::from_millis(300);
/// Time for the leader to commit a command before another replica is asked.
const COMMIT_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before the next replica is asked, while no leader is known.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Committed {
    /// The command was committed with this outcome.
    Outcome(CommandOutcome),
    /// The command may be committed, now or later.
    Unknown,
    /// The command surely was not and will not be committed.
    NotDone,
}

enum Attempt {
    Answered(Proposed),
    NotSent,
    Lost,
}

/// Finds the control leader and sends it calls; all clones share the last known leader.
#[derive(Clone)]
pub(crate) struct ControlClient {
    shared: Arc<Shared>,
    leader: Arc<AtomicU32>,
    /// Whether the next renewal goes over TCP, because the last one failed over UDP or its reply
    /// was too large.
    renew_over_tcp: Arc<AtomicBool>,
}

impl ControlClient {
    pub(crate) fn new(shared: Arc<Shared>) -> ControlClient {
        let first = shared.settings.replicas.first().map_or(0, |replica| replica.instance.0);
        let leader = Arc::new(AtomicU32::new(first));
        ControlClient { shared, leader, renew_over_tcp: Arc::new(AtomicBool::new(true)) }
    }

    /// Sends one renewal to the presumed leader.
    pub(crate) async fn renew(&self, renewal: Renewal) -> Option<RenewalReply> {
        let leader = self.leader();
        let sent_at = Instant::now();
        let reply = match self.local(leader) {
            Some(control) => control.send(Renew(renewal)).await.ok(),
            None => self.renew_remotely(leader, renewal).await,
        };
        match reply {
            Some(Ok(reply)) => {
                self.shared.metrics.record(Timing::ControlRoundTrip, sent_at.elapsed());
                reply
            }
            Some(Err(refusal)) => {
                self.follow(leader, &refusal);
                None
            }
            None => {
                self.try_next(leader);
                None
            }
        }
    }

    /// Sends a renewal over UDP, which a silent TCP connection does not hold up, or over TCP after
    /// UDP has failed. A failed renewal is not repeated but followed by a newer one.
    async fn renew_remotely(
        &self,
        leader: InstanceId,
        renewal: Renewal,
    ) -> Option<Result<Option<RenewalReply>, ControlRefusal>> {
        let message = PeerMessage::Renew(renewal);
        if self.renew_over_tcp.swap(false, Ordering::Relaxed) {
            return match self.call(leader, message, RENEW_LIMIT).await {
                Some(PeerMessage::Renewed(reply)) => Some(reply),
                _ => None,
            };
        }
        match self.shared.datagrams.call(leader, message, DATAGRAM_LIMIT).await {
            Ok(PeerMessage::Renewed(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                log::debug!("control: {error}");
                self.renew_over_tcp.store(true, Ordering::Relaxed);
                // The leader is asked again before another replica is.
                Some(Err(ControlRefusal::Busy))
            }
        }
    }

    /// Commits an idempotent command, at another leader if need be, until `until`.
    pub(crate) async fn commit(&self, command: &ControlCommand, until: Instant) -> Committed {
        self.commit_within(command, COMMIT_LIMIT, until).await
    }

    /// Commits a contract change and waits until it is in force everywhere.
    pub(crate) async fn commit_in_force(
        &self,
        command: &ControlCommand,
        until: Instant,
    ) -> Committed {
        let limit = until.saturating_duration_since(Instant::now());
        self.commit_within(command, limit, until).await
    }

    async fn commit_within(
        &self,
        command: &ControlCommand,
        limit: Duration,
        until: Instant,
    ) -> Committed {
        let mut given_up = Committed::NotDone;
        loop {
            let leader = self.leader();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return given_up;
            }
            match self.propose(leader, command, limit.min(left)).await {
                Attempt::Answered(Ok(outcome)) => return Committed::Outcome(outcome),
                Attempt::Answered(Err(refusal)) => {
                    if refusal == ControlRefusal::OutcomeUnknown {
                        given_up = Committed::Unknown;
                    }
                    self.follow(leader, &refusal);
                }
                Attempt::NotSent => self.try_next(leader),
                Attempt::Lost => {
                    given_up = Committed::Unknown;
                    self.try_next(leader);
                }
            }
            self.shared.metrics.retried(RetryReason::LeaderChanged);
            sleep(SEARCH_PAUSE.min(left)).await;
        }
    }

    async fn propose(
        &self,
        leader: InstanceId,
        command: &ControlCommand,
        limit: Duration,
    ) -> Attempt {
        if let Some(control) = self.local(leader) {
            let Ok(outcome) = control.send(Propose(command.clone())).await else {
                return Attempt::NotSent;
            };
            return match timeout(limit, outcome).await {
                Ok(Ok(proposed)) => Attempt::Answered(proposed),
                Ok(Err(_)) | Err(_) => Attempt::Lost,
            };
        }
        let message = PeerMessage::Propose(command.clone());
        match self.shared.transport.call(leader, message, limit).await {
            Ok(PeerMessage::Proposed(proposed)) => Attempt::Answered(proposed),
            Err(error) if error.kind.is_not_sent() => Attempt::NotSent,
            Ok(_) | Err(_) => Attempt::Lost,
        }
    }

    /// Reads contracts at the leader until `until`.
    pub(crate) async fn read_contracts(
        &self,
        query: &ContractQuery,
        until: Instant,
    ) -> Option<Vec<ContractHistoryEntry>> {
        let read = |leader, limit| async move {
            if let Some(control) = self.local(leader) {
                return control.send(ReadContracts(query.clone())).await.ok();
            }
            match self.call(leader, PeerMessage::ReadContracts(query.clone()), limit).await {
                Some(PeerMessage::Contracts(reply)) => Some(reply),
                _ => None,
            }
        };
        self.read(until, read).await
    }

    /// Whether the leader has a record of an idempotency key; `None` when no leader answered.
    pub(crate) async fn find_key(&self, find: &FindKey, until: Instant) -> Option<bool> {
        let read = |leader, limit| async move {
            if let Some(control) = self.local(leader) {
                return control.send(find.clone()).await.ok();
            }
            let FindKey { customer, key } = find.clone();
            match self.call(leader, PeerMessage::FindKey { customer, key }, limit).await {
                Some(PeerMessage::KeyFound(reply)) => Some(reply),
                _ => None,
            }
        };
        self.read(until, read).await
    }

    /// Repeats a read at one presumed leader after the other until `until`.
    async fn read<T, F: Future<Output = Option<Result<T, ControlRefusal>>>>(
        &self,
        until: Instant,
        read: impl Fn(InstanceId, Duration) -> F,
    ) -> Option<T> {
        loop {
            let leader = self.leader();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            match read(leader, COMMIT_LIMIT.min(left)).await {
                Some(Ok(value)) => return Some(value),
                Some(Err(refusal)) => self.follow(leader, &refusal),
                None => self.try_next(leader),
            }
            sleep(SEARCH_PAUSE.min(left)).await;
        }
    }

    /// The presumed leader.
    pub(crate) fn leader(&self) -> InstanceId {
        InstanceId(self.leader.load(Ordering::Relaxed))
    }

    fn local(&self, leader: InstanceId) -> Option<&xtra::Address<crate::control::ControlActor>> {
        self.shared.control.as_ref().filter(|_| leader == self.shared.instance())
    }

    async fn call(
        &self,
        to: InstanceId,
        message: PeerMessage,
        limit: Duration,
    ) -> Option<PeerMessage> {
        match self.shared.transport.call(to, message, limit).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!("control: {error}");
                None
            }
        }
    }

    fn follow(&self, asked: InstanceId, refusal: &ControlRefusal) {
        match refusal {
            ControlRefusal::NotLeader(Some(leader)) if *leader != asked => {
                self.leader.store(leader.0, Ordering::Relaxed);
            }
            ControlRefusal::NotLeader(_) => self.try_next(asked),
            ControlRefusal::Busy | ControlRefusal::OutcomeUnknown => {}
        }
    }

    /// Turns to the replica after `asked`, unless another task already found a leader.
    fn try_next(&self, asked: InstanceId) {
        let replicas = &self.shared.settings.replicas;
        let position = replicas.iter().position(|replica| replica.instance == asked);
        let next = position.map_or(0, |position| (position + 1) % replicas.len());
        if let Some(next) = replicas.get(next) {
            let _ = self.leader.compare_exchange(
                asked.0,
                next.instance.0,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
    }
}
