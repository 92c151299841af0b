//! Keeps the quarantined prompt parts in the replicated log and announces them.

use crate::{
    message::FleetMessage,
    quarantine::{QUARANTINE_MS, QuarantinedPart},
    state::StateCommand,
};

use super::Driver;

/// Interval between proposals to end a quarantine whose time has passed.
const END_INTERVAL_MS: u64 = 5_000;

impl Driver {
    /// Quarantines the parts that the coordinator has found fatal. All processes learn of it at once; the
    /// log keeps it for processes that start later.
    pub(super) fn quarantine_fatal_parts(&mut self, now_ms: u64) {
        let fatal = match &mut self.planner {
            Some((_, planner)) => planner.take_fatal_parts(),
            None => return,
        };
        for part in fatal {
            log::warn!(
                "coordinator: prompt part {part:x} is quarantined for {} s; engines have ended \
                 whenever they began to answer a request with it",
                QUARANTINE_MS / 1_000
            );
            self.metrics.record_quarantine();
            self.quarantine.add(now_ms, QuarantinedPart { part, remaining_ms: QUARANTINE_MS });
            self.announce_quarantine(now_ms);
            self.propose(&StateCommand::Quarantine { part }, None);
        }
    }

    /// Takes over the quarantined parts of the replicated state. Times aren't replicated: a process
    /// measures them from the moment at which it learns of a part.
    pub(super) fn update_quarantine(&mut self) {
        let now_ms = self.now_ms();
        let quarantined = &self.state.quarantined;
        self.quarantine.retain(|part| quarantined.contains(&part));
        for part in quarantined {
            if !self.quarantine.contains(*part) {
                let part = QuarantinedPart { part: *part, remaining_ms: QUARANTINE_MS };
                self.quarantine.add(now_ms, part);
            }
        }
        self.announce_quarantine(now_ms);
    }

    /// Ends the quarantines whose time has passed, as the leader.
    pub(super) fn end_quarantines(&mut self, now_ms: u64) {
        if !self.is_current_leader() || now_ms < self.quarantine_ends_due_ms {
            return;
        }
        self.quarantine_ends_due_ms = now_ms + END_INTERVAL_MS;
        for part in self.quarantine.ended(now_ms) {
            log::info!("core: the quarantine of prompt part {part:x} ends");
            self.propose(&StateCommand::EndQuarantine { part }, None);
        }
    }

    pub(super) fn quarantine_message(&self) -> FleetMessage {
        FleetMessage::Quarantine(self.quarantine.parts(self.now_ms()))
    }

    fn announce_quarantine(&mut self, now_ms: u64) {
        self.entries.broadcast(&self.quarantine_message());
        if let Some((_, planner)) = &mut self.planner {
            planner.set_quarantine(now_ms, &self.quarantine);
        }
    }
}
