//! The former coordinator, whose orders those of its successor must not meet.

/// A former leader that was unresponsive for this long has stopped or is partitioned.
const FORMER_LEADER_TIMEOUT_MS: u64 = 500;

/// What this process knows of the last coordinator besides itself.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FormerCoordinator {
    /// Time at which it was last known to be the leader; `None` if there was none.
    pub(super) last_heard_ms: Option<u64>,
    /// Whether that is known from messages, and not only assumed at the start.
    pub(super) was_heard: bool,
    /// Time at which it announced that it stops sending orders.
    pub(super) stopped_ms: Option<u64>,
}

impl FormerCoordinator {
    /// Records a message of another leader.
    pub(super) fn heard(&mut self, at_ms: u64) {
        self.last_heard_ms = Some(at_ms);
        self.was_heard = true;
    }

    /// Returns the time from which this process may send orders after its election, so that it doesn't send them
    /// concurrently with the former coordinator.
    ///
    /// There is no wait for one whose orders engines would reject by their old fencing token, and which has announced
    /// that it stops or has become unresponsive.
    ///
    /// Otherwise the wait begins with the election. The former coordinator may have ordered for longer than this process
    /// has heard of it, because it reached the others, but not beyond the election: its lease as a leader ends before.
    pub(super) fn earliest_order_ms(
        &self,
        elected_ms: u64,
        lease_ms: u64,
        engines_check_fencing: bool,
    ) -> u64 {
        let Some(last_heard_ms) = self.last_heard_ms else { return 0 };
        let has_stopped = self
            .stopped_ms
            .is_some_and(|stopped_ms| elected_ms < stopped_ms.saturating_add(lease_ms));
        let is_unresponsive = last_heard_ms.saturating_add(FORMER_LEADER_TIMEOUT_MS) <= elected_ms;
        if engines_check_fencing && (has_stopped || is_unresponsive) {
            return elected_ms;
        }
        // After the loss of all core processes the first one that leads again has heard of no other. Engines that
        // check fencing tokens need not wait for the lease of one that is gone.
        if engines_check_fencing && !self.was_heard {
            return last_heard_ms.saturating_add(FORMER_LEADER_TIMEOUT_MS);
        }
        // After a start nothing was heard yet; most likely all processes have started.
        let last_order_ms = if self.was_heard { elected_ms } else { last_heard_ms };
        last_order_ms.saturating_add(lease_ms)
    }
}

#[cfg(test)]
mod tests;
