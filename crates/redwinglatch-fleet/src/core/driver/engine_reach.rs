//! Leadership is handed over to a core process that reaches the engines, when this one doesn't.

use std::sync::Arc;

use redwinglatch_core::ReplicaId;
use tokio::task::JoinSet;

use crate::{core::orders, ids::BackendKey, link::LinkSender, message::FleetMessage};

use super::{Driver, LEADERSHIP_TRANSFER_INTERVAL_MS, coordinator::engine_address};

/// Most engines that are asked for their report to answer one question.
const MAX_ASKED_ENGINES: usize = 64;

impl Driver {
    /// Asks the other core processes which engines answer them, while this coordinator doesn't reach those of a
    /// service.
    pub(super) fn ask_for_engine_reach(&mut self, now_ms: u64) {
        let Some((_, planner)) = &mut self.planner else { return };
        if let Some(engines) = planner.take_due_reach_question(now_ms) {
            self.cores.send_reach(&FleetMessage::ReachRequest { engines });
        }
    }

    /// Asks engines for their reports, and answers which of them have replied.
    pub(super) fn answer_reach(&self, sender: LinkSender, engines: &[BackendKey]) {
        let listed = self.backends.list().iter().filter(|backend| engines.contains(&backend.key));
        let mut reports = JoinSet::new();
        for backend in listed.take(MAX_ASKED_ENGINES) {
            let (client, dialect) = (Arc::clone(&self.client), self.dialect);
            let (engine, address) = (backend.key, engine_address(backend));
            reports.spawn(async move {
                let answer = orders::fetch_report(&client, &address, dialect).await;
                answer.result.is_some().then_some(engine)
            });
        }
        let replica = self.replica.id();
        tokio::spawn(async move {
            let reached = reports.join_all().await.into_iter().flatten().collect();
            sender.send(&FleetMessage::ReachReply { replica, reached });
        });
    }

    /// Transfers leadership to a replica that reaches the engines of the last question, unless this process does
    /// again.
    pub(super) fn hand_over_to(&mut self, replica: ReplicaId, reached: &[BackendKey]) {
        let now_ms = self.now_ms();
        let Some((_, planner)) = &self.planner else { return };
        if !planner.is_reached_better(reached) || now_ms < self.leadership_transfer_due_ms {
            return;
        }
        self.leadership_transfer_due_ms = now_ms + LEADERSHIP_TRANSFER_INTERVAL_MS;
        match self.replica.transfer_leadership(Some(replica), now_ms) {
            Ok(to) => {
                log::warn!(
                    "core: this process doesn't reach the engines; transferring leadership to replica {to}"
                );
                // The lease ends with the transfer, so no orders follow.
                self.cores.send_all(&FleetMessage::CoordinatorStopping);
            }
            Err(error) => log::warn!(
                "core: leadership cannot be transferred to replica {replica}, which reaches the \
                 engines: {error}"
            ),
        }
    }
}
