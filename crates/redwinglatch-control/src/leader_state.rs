//! State of the control leader that is not replicated.

use redwinglatch_core::Revision;

use crate::{
    CellGrants, ConfigurationCursor, ControlState, CoordinatorUpdate, LeaseHolder, LeaseSettings,
    LeaseVerdict, Leases, PendingChanges, Renewal, RenewalReply, Shares, leases::RenewalDecision,
};

/// State that a control leader keeps in memory besides the log. Each new leader starts with a new
/// one.
///
/// Create it once the leader has applied the first entry of its own term, and call
/// [`LeaderState::renew`] only while the log's `leader_lease_valid` holds. Otherwise a deposed
/// leader could grant leases without knowing of committed changes.
#[derive(Debug)]
pub struct LeaderState {
    leases: Leases,
    shares: Shares,
    cells: CellGrants,
    pending: PendingChanges,
}

impl LeaderState {
    /// Creates the state of the leader of `term`, elected at `elected_at_ms`.
    #[must_use]
    pub fn new(settings: LeaseSettings, term: u64, elected_at_ms: u64) -> LeaderState {
        let leases = Leases::new(settings, term, elected_at_ms);
        let waiting_period_end_ms = leases.waiting_period_end_ms();
        LeaderState {
            leases,
            shares: Shares::new(waiting_period_end_ms),
            cells: CellGrants::new(settings, waiting_period_end_ms),
            pending: PendingChanges::default(),
        }
    }

    /// Handles a renewal and returns the reply, or `None` if the renewal must be ignored, for
    /// example because it is older than one handled before.
    pub fn renew(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        renewal: &Renewal,
    ) -> Option<RenewalReply> {
        self.advance(now_ms);
        let holder = LeaseHolder { instance: renewal.instance, incarnation: renewal.incarnation };
        let cursor = ConfigurationCursor::complete(renewal.revision);
        let configuration = state.update_since(renewal.staged.unwrap_or(cursor));
        let latest_revision = state.revision();
        let has_caught_up =
            configuration.as_ref().is_none_or(|update| update.to == latest_revision);
        let (is_new, verdict) = match self.leases.renew(now_ms, renewal, has_caught_up) {
            RenewalDecision::Ignored => return None,
            RenewalDecision::Rejected(verdict) => {
                return Some(self.empty_reply(renewal, latest_revision, verdict));
            }
            RenewalDecision::Accepted { is_new, verdict } => (is_new, verdict),
        };
        let mut reply = self.empty_reply(renewal, latest_revision, verdict);
        let applied_sequence = self.leases.applied_sequence(holder);
        if is_new {
            self.cells.record_reported_grants(holder, renewal);
            self.shares.admit(holder, renewal);
        }
        reply.configuration = configuration;
        reply.coordinators = coordinator_update(state, renewal);
        reply.cells = self.cells.renew(now_ms, state, holder, renewal, applied_sequence);
        let in_force_everywhere = self.leases.revision_in_force_everywhere(now_ms);
        self.shares.observe_contracts(state, in_force_everywhere);
        reply.shares = self.shares.renew(now_ms, holder, renewal, applied_sequence, has_caught_up);
        let known_version = if renewal.term == reply.term { renewal.instances_version } else { 0 };
        reply.instances = self.leases.instance_list_update(now_ms, known_version);
        Some(reply)
    }

    /// Returns a reply that contains only the verdict.
    fn empty_reply(
        &mut self,
        renewal: &Renewal,
        latest_revision: Revision,
        verdict: LeaseVerdict,
    ) -> RenewalReply {
        let holder = LeaseHolder { instance: renewal.instance, incarnation: renewal.incarnation };
        RenewalReply {
            term: self.leases.term(),
            incarnation: renewal.incarnation,
            session: self.leases.session(holder),
            sequence: renewal.sequence,
            verdict,
            latest_revision,
            configuration: None,
            coordinators: None,
            cells: Vec::new(),
            shares: Vec::new(),
            instances: None,
        }
    }

    /// Removes the expired leases with their shares and grants.
    pub fn advance(&mut self, now_ms: u64) {
        for holder in self.leases.expire(now_ms) {
            self.shares.remove_holder(holder);
            self.cells.remove_holder(now_ms, holder);
        }
    }

    /// Removes and returns the changes that may now be reported as accepted, with their tickets.
    pub fn take_reportable(&mut self, now_ms: u64) -> Vec<(Revision, u64)> {
        self.advance(now_ms);
        self.pending.take_reportable(self.leases.revision_in_force_everywhere(now_ms))
    }

    /// Returns the processes with running claims whose lease has expired. The leader proposes
    /// [`ControlCommand::EndClaims`](crate::ControlCommand::EndClaims) for each.
    #[must_use]
    pub fn expired_claimants(&self, now_ms: u64, state: &ControlState) -> Vec<LeaseHolder> {
        let claimants = state.claimants();
        claimants
            .map(|(instance, incarnation)| LeaseHolder { instance, incarnation })
            .filter(|holder| self.leases.has_expired(now_ms, *holder))
            .collect()
    }

    /// Returns the leases.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the shares.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the coordination grants.
    #[must_use]
    pub fn cells(&self) -> &CellGrants {
        &self.cells
    }

    /// Returns the changes that are not yet in force everywhere.
    #[must_use]
    pub fn pending(&self) -> &PendingChanges {
        &self.pending
    }

    /// Returns the changes that are not yet in force everywhere, to add or cancel one.
    pub fn pending_mut(&mut self) -> &mut PendingChanges {
        &mut self.pending
    }
}

fn coordinator_update(state: &ControlState, renewal: &Renewal) -> Option<CoordinatorUpdate> {
    let version = state.coordinators_version();
    (version != renewal.coordinators_version).then(|| CoordinatorUpdate {
        version,
        coordinators: state.coordinators().copied().collect(),
    })
}
