//! Keeps the quarantined requests in the replicated log and announces them.

use crate::{
    message::FleetMessage,
    quarantine::{QUARANTINE_MS, QuarantinedKey},
    state::StateCommand,
};

use super::Driver;

/// Interval between proposals to end a quarantine whose time has passed.
const END_INTERVAL_MS: u64 = 5_000;
/// Shortest interval between the questions for complete answers.
const MIN_WATCH_INTERVAL_MS: u64 = 20;
/// Interval between these questions for each entry process, where that is longer.
const WATCH_INTERVAL_MS_PER_LINK: u64 = 1;

impl Driver {
    /// Quarantines the requests and prompt parts that the coordinator has found fatal, and records the ends
    /// of servers that it learned of. All processes learn of a quarantine at once; the log keeps it for
    /// processes that start later, and the ends for the next coordinator.
    pub(super) fn quarantine_fatal_requests(&mut self, now_ms: u64) {
        let Some((_, planner)) = &mut self.planner else { return };
        let (ends, fatal) = (planner.take_new_ends(), planner.take_fatal());
        let exonerated = planner.take_exonerated();
        for end in ends {
            log::info!(
                "coordinator: server {:x} has ended while {} requests were in progress",
                end.server.0,
                end.suspects.len()
            );
            self.propose(&StateCommand::ServerEnd(end), None);
        }
        for key in exonerated {
            if self.state.has_suspect(key) {
                self.propose(&StateCommand::Exonerate { key }, None);
            }
        }
        for key in fatal {
            log::warn!(
                "coordinator: requests with the prompt part or digest {key:x} are quarantined for \
                 {} s; servers have ended whenever they ran one",
                QUARANTINE_MS / 1_000
            );
            self.metrics.record_quarantine();
            self.quarantine.add(now_ms, QuarantinedKey { key, remaining_ms: QUARANTINE_MS });
            self.announce_quarantine(now_ms);
            self.propose(&StateCommand::Quarantine { key }, None);
        }
    }

    /// Asks entry processes for complete answers to the requests under which servers have ended.
    pub(super) fn ask_for_completions(&mut self, now_ms: u64) {
        if now_ms < self.watch_due_ms {
            return;
        }
        let Some((_, planner)) = &mut self.planner else { return };
        if let Some(watched) = planner.take_watched_change() {
            let interval_ms = self.entries.len() as u64 * WATCH_INTERVAL_MS_PER_LINK;
            self.watch_due_ms = now_ms + interval_ms.max(MIN_WATCH_INTERVAL_MS);
            self.entries.broadcast(&FleetMessage::WatchedRequests(watched));
        }
    }

    /// Takes over the quarantined keys of the replicated state. Times aren't replicated: a process measures
    /// them from the moment at which it learns of a key.
    pub(super) fn update_quarantine(&mut self) {
        let now_ms = self.now_ms();
        let quarantined = &self.state.quarantined;
        self.quarantine.retain(|key| quarantined.contains(&key));
        for key in quarantined {
            if !self.quarantine.contains(*key) {
                let key = QuarantinedKey { key: *key, remaining_ms: QUARANTINE_MS };
                self.quarantine.add(now_ms, key);
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
        for key in self.quarantine.ended(now_ms) {
            log::info!("core: the quarantine of {key:x} ends");
            self.propose(&StateCommand::EndQuarantine { key }, None);
        }
    }

    pub(super) fn quarantine_message(&self) -> FleetMessage {
        FleetMessage::Quarantine(self.quarantine.remaining(self.now_ms()))
    }

    fn announce_quarantine(&mut self, now_ms: u64) {
        self.entries.broadcast(&self.quarantine_message());
        if let Some((_, planner)) = &mut self.planner {
            planner.set_quarantine(now_ms, &self.quarantine);
        }
    }
}
