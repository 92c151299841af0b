//! Messages of other instances, handed to the tasks that answer them.

use std::sync::Arc;

use redwinglatch_core::prelude::*;
use redwinglatch_instances::{ControlRefusal, IncomingMessage, PeerMessage};
use tokio::sync::mpsc;

use crate::control::{FindKey, Propose, ReadContracts, Renew, Step};
use crate::coordinator::{EndPin, Place, Withdraw};
use crate::entry::ListPins;
use crate::shared::Shared;

/// Answers the other instances until the transport ends.
pub(crate) async fn serve_peers(
    shared: Arc<Shared>,
    mut incoming: mpsc::Receiver<IncomingMessage<PeerMessage>>,
) {
    while let Some(message) = incoming.recv().await {
        let shared = shared.clone();
        // Log messages keep their order; a replica handles any order, but batches better in order.
        if let PeerMessage::Log { from, to, message } = message.message {
            if let Some(control) = &shared.control {
                let _ = control.send(Step { from, to, message }).await;
            }
            continue;
        }
        tokio::spawn(async move {
            let reply = answer(&shared, message.message).await;
            if let (Some(channel), Some(reply)) = (message.reply, reply) {
                // The caller may have given up.
                let _ = channel.send(reply);
            }
        });
    }
}

async fn answer(shared: &Shared, message: PeerMessage) -> Option<PeerMessage> {
    let not_leader = Err(ControlRefusal::NotLeader(None));
    Some(match message {
        PeerMessage::Renew(renewal) => PeerMessage::Renewed(match &shared.control {
            Some(control) => control.send(Renew(renewal)).await.ok()?,
            None => Err(ControlRefusal::NotLeader(None)),
        }),
        PeerMessage::Propose(command) => PeerMessage::Proposed(match &shared.control {
            Some(control) => {
                let outcome = control.send(Propose(command)).await.ok()?;
                outcome.await.unwrap_or(Err(ControlRefusal::OutcomeUnknown))
            }
            None => not_leader,
        }),
        PeerMessage::ReadContracts(query) => PeerMessage::Contracts(match &shared.control {
            Some(control) => control.send(ReadContracts(query)).await.ok()?,
            None => Err(ControlRefusal::NotLeader(None)),
        }),
        PeerMessage::FindKey { customer, key } => PeerMessage::KeyFound(match &shared.control {
            Some(control) => control.send(FindKey { customer, key }).await.ok()?,
            None => Err(ControlRefusal::NotLeader(None)),
        }),
        PeerMessage::Place { cell, request } => {
            let Some(coordinator) = shared.coordinators.get(&cell) else {
                let refusal =
                    Refusal::not_run(RefusalReason::NoCoordinator, format!("no cell {cell}"));
                return Some(PeerMessage::Placed(Err(refusal)));
            };
            let answer = coordinator.send(Place(request)).await.ok()?;
            PeerMessage::Placed(answer.await.ok()?)
        }
        PeerMessage::Withdraw { cell, request } => {
            if let Some(coordinator) = shared.coordinators.get(&cell) {
                let _ = coordinator.send(Withdraw(request)).await;
            }
            return None;
        }
        PeerMessage::Release { cell, pin, release } => {
            let coordinator = shared.coordinators.get(&cell)?;
            PeerMessage::Released(coordinator.send(EndPin { pin, release }).await.ok()?)
        }
        PeerMessage::ReportPins { cell, epoch } => {
            let pins = shared.entry.send(ListPins { cell, epoch }).await.ok()?;
            PeerMessage::Pins { incarnation: shared.incarnation, pins }
        }
        PeerMessage::Stop => {
            shared.draining.send_replace(true);
            PeerMessage::Stopping
        }
        _ => return None,
    })
}
