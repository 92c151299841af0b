//! Client for the control leader, which may be this or another instance.

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

use crate::control::{FindIdempotencyKey, ProposalResult, Propose, ReadContracts, Renew};
use crate::instance_context::InstanceContext;

/// Timeout of a renewal over TCP; a lost one is followed by a new one after the next interval.
const RENEW_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a renewal over UDP; shorter, so that a lost datagram costs less of the lease.
const RENEW_UDP_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a proposal or read at the presumed leader before the next replica is tried.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the next replica is tried while the leader is unknown.
const LEADER_SEARCH_DELAY: Duration = Duration::from_millis(50);

/// The result of committing a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CommitResult {
    /// The command was committed with this outcome.
    Outcome(CommandOutcome),
    /// The command may have been committed or may be committed later.
    Unknown,
    /// The command was not committed and never will be.
    NotCommitted,
}

enum ProposalAttempt {
    Replied(ProposalResult),
    NotSent,
    ResponseLost,
}

/// Finds the control leader and sends it requests; all clones share the last known leader.
#[derive(Clone)]
pub(crate) struct ControlClient {
    context: Arc<InstanceContext>,
    leader: Arc<AtomicU32>,
    /// Whether the next renewal uses TCP, because it is the first one or the last one over UDP
    /// failed or had a reply too large for a datagram.
    renew_over_tcp: Arc<AtomicBool>,
}

impl ControlClient {
    pub(crate) fn new(context: Arc<InstanceContext>) -> ControlClient {
        let first = context.settings.replicas.first().map_or(0, |replica| replica.instance.0);
        let leader = Arc::new(AtomicU32::new(first));
        ControlClient { context, leader, renew_over_tcp: Arc::new(AtomicBool::new(true)) }
    }

    /// Sends one renewal to the presumed leader; `None` if it failed.
    pub(crate) async fn renew(&self, renewal: Renewal) -> Option<RenewalReply> {
        let leader = self.leader();
        let sent_at = Instant::now();
        let reply = match self.local(leader) {
            Some(control) => control.send(Renew(renewal)).await.ok(),
            None => self.renew_at_peer(leader, renewal).await,
        };
        match reply {
            Some(Ok(reply)) => {
                self.context.metrics.record(Timing::ControlRoundTrip, sent_at.elapsed());
                reply
            }
            Some(Err(refusal)) => {
                self.follow_refusal(leader, &refusal);
                None
            }
            None => {
                self.try_next(leader);
                None
            }
        }
    }

    /// Sends a renewal over UDP, which an unresponsive TCP connection can't delay, or over TCP
    /// after UDP has failed. A failed renewal is not sent again; a newer one follows.
    async fn renew_at_peer(
        &self,
        leader: InstanceId,
        renewal: Renewal,
    ) -> Option<Result<Option<RenewalReply>, ControlRefusal>> {
        let message = PeerMessage::Renew(renewal);
        if self.renew_over_tcp.swap(false, Ordering::Relaxed) {
            return match self.call(leader, message, RENEW_TIMEOUT).await {
                Some(PeerMessage::Renewed(reply)) => Some(reply),
                _ => None,
            };
        }
        match self.context.datagrams.call(leader, message, RENEW_UDP_TIMEOUT).await {
            Ok(PeerMessage::Renewed(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                log::debug!("control: {error}");
                self.renew_over_tcp.store(true, Ordering::Relaxed);
                // `Busy` keeps the presumed leader, so that the renewal over TCP goes to it before
                // another replica is tried.
                Some(Err(ControlRefusal::Busy))
            }
        }
    }

    /// Commits an idempotent command; retries until `deadline`, at a new leader if it changes.
    pub(crate) async fn commit(&self, command: &ControlCommand, deadline: Instant) -> CommitResult {
        self.commit_with_timeout(command, LEADER_TIMEOUT, deadline).await
    }

    /// Commits a contract change and waits until it is in force on all instances.
    pub(crate) async fn commit_in_force(
        &self,
        command: &ControlCommand,
        deadline: Instant,
    ) -> CommitResult {
        let call_timeout = deadline.saturating_duration_since(Instant::now());
        self.commit_with_timeout(command, call_timeout, deadline).await
    }

    async fn commit_with_timeout(
        &self,
        command: &ControlCommand,
        call_timeout: Duration,
        deadline: Instant,
    ) -> CommitResult {
        let mut result_at_deadline = CommitResult::NotCommitted;
        loop {
            let leader = self.leader();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return result_at_deadline;
            }
            match self.propose(leader, command, call_timeout.min(remaining)).await {
                ProposalAttempt::Replied(Ok(outcome)) => return CommitResult::Outcome(outcome),
                ProposalAttempt::Replied(Err(refusal)) => {
                    if refusal == ControlRefusal::OutcomeUnknown {
                        result_at_deadline = CommitResult::Unknown;
                    }
                    self.follow_refusal(leader, &refusal);
                }
                ProposalAttempt::NotSent => self.try_next(leader),
                ProposalAttempt::ResponseLost => {
                    result_at_deadline = CommitResult::Unknown;
                    self.try_next(leader);
                }
            }
            self.context.metrics.retried(RetryReason::LeaderChanged);
            sleep(LEADER_SEARCH_DELAY.min(remaining)).await;
        }
    }

    async fn propose(
        &self,
        leader: InstanceId,
        command: &ControlCommand,
        call_timeout: Duration,
    ) -> ProposalAttempt {
        if let Some(control) = self.local(leader) {
            let Ok(outcome) = control.send(Propose(command.clone())).await else {
                return ProposalAttempt::NotSent;
            };
            return match timeout(call_timeout, outcome).await {
                Ok(Ok(proposed)) => ProposalAttempt::Replied(proposed),
                Ok(Err(_)) | Err(_) => ProposalAttempt::ResponseLost,
            };
        }
        let message = PeerMessage::Propose(command.clone());
        match self.context.transport.call(leader, message, call_timeout).await {
            Ok(PeerMessage::Proposed(proposed)) => ProposalAttempt::Replied(proposed),
            Err(error) if error.kind.is_not_sent() => ProposalAttempt::NotSent,
            Ok(_) | Err(_) => ProposalAttempt::ResponseLost,
        }
    }

    /// Reads contracts at the leader; retries until `deadline`.
    pub(crate) async fn read_contracts(
        &self,
        query: &ContractQuery,
        deadline: Instant,
    ) -> Option<Vec<ContractHistoryEntry>> {
        let read = |leader, call_timeout| async move {
            if let Some(control) = self.local(leader) {
                return control.send(ReadContracts(query.clone())).await.ok();
            }
            match self.call(leader, PeerMessage::ReadContracts(query.clone()), call_timeout).await {
                Some(PeerMessage::Contracts(reply)) => Some(reply),
                _ => None,
            }
        };
        self.read(deadline, read).await
    }

    /// Whether the leader has a record of an idempotency key; `None` when no leader replied by
    /// `deadline`.
    pub(crate) async fn find_key(
        &self,
        find: &FindIdempotencyKey,
        deadline: Instant,
    ) -> Option<bool> {
        let read = |leader, call_timeout| async move {
            if let Some(control) = self.local(leader) {
                return control.send(find.clone()).await.ok();
            }
            let FindIdempotencyKey { customer, key } = find.clone();
            match self
                .call(leader, PeerMessage::FindIdempotencyKey { customer, key }, call_timeout)
                .await
            {
                Some(PeerMessage::IdempotencyKeyFound(reply)) => Some(reply),
                _ => None,
            }
        };
        self.read(deadline, read).await
    }

    /// Retries a read at one presumed leader after the other until `deadline`.
    async fn read<T, F: Future<Output = Option<Result<T, ControlRefusal>>>>(
        &self,
        deadline: Instant,
        read: impl Fn(InstanceId, Duration) -> F,
    ) -> Option<T> {
        loop {
            let leader = self.leader();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            match read(leader, LEADER_TIMEOUT.min(remaining)).await {
                Some(Ok(value)) => return Some(value),
                Some(Err(refusal)) => self.follow_refusal(leader, &refusal),
                None => self.try_next(leader),
            }
            sleep(LEADER_SEARCH_DELAY.min(remaining)).await;
        }
    }

    /// The presumed leader.
    pub(crate) fn leader(&self) -> InstanceId {
        InstanceId(self.leader.load(Ordering::Relaxed))
    }

    /// The local log replica's task, if `leader` is this instance.
    fn local(&self, leader: InstanceId) -> Option<&xtra::Address<crate::control::ControlActor>> {
        self.context.control.as_ref().filter(|_| leader == self.context.instance())
    }

    async fn call(
        &self,
        to: InstanceId,
        message: PeerMessage,
        call_timeout: Duration,
    ) -> Option<PeerMessage> {
        match self.context.transport.call(to, message, call_timeout).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!("control: {error}");
                None
            }
        }
    }

    /// Updates the presumed leader after a refusal by `tried`.
    fn follow_refusal(&self, tried: InstanceId, refusal: &ControlRefusal) {
        match refusal {
            ControlRefusal::NotLeader(Some(leader)) if *leader != tried => {
                self.leader.store(leader.0, Ordering::Relaxed);
            }
            ControlRefusal::NotLeader(_) => self.try_next(tried),
            ControlRefusal::Busy | ControlRefusal::OutcomeUnknown => {}
        }
    }

    /// Presumes the replica after `tried` to be the leader, unless another task has already changed
    /// the presumed leader.
    fn try_next(&self, tried: InstanceId) {
        let replicas = &self.context.settings.replicas;
        let position = replicas.iter().position(|replica| replica.instance == tried);
        let next = position.map_or(0, |position| (position + 1) % replicas.len());
        if let Some(next) = replicas.get(next) {
            let _ = self.leader.compare_exchange(
                tried.0,
                next.instance.0,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
    }
}
