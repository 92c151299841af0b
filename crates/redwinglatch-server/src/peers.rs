//! Dispatches messages from other instances to the tasks that handle them.

use std::sync::Arc;

use redwinglatch_core::prelude::*;
use redwinglatch_instances::{ControlRefusal, IncomingMessage, PeerMessage};
use tokio::sync::mpsc;

use crate::control::{FindIdempotencyKey, Propose, ReadContracts, Renew, StepReplica};
use crate::coordinator::{PlaceCompletion, ReleasePin, WithdrawRequest};
use crate::entry::ListPins;
use crate::instance_context::InstanceContext;

/// Handles messages from other instances until the transport ends.
pub(crate) async fn serve_peers(
    context: Arc<InstanceContext>,
    mut incoming: mpsc::Receiver<IncomingMessage<PeerMessage>>,
) {
    while let Some(message) = incoming.recv().await {
        let context = context.clone();
        // Log messages are handled in order: a replica accepts any order but batches better in
        // order.
        if let PeerMessage::Log { from, to, message } = message.message {
            if let Some(control) = &context.control {
                let _ = control.send(StepReplica { from, to, message }).await;
            }
            continue;
        }
        tokio::spawn(async move {
            let reply = handle_message(&context, message.message).await;
            if let (Some(channel), Some(reply)) = (message.reply, reply) {
                // The requester may have timed out.
                let _ = channel.send(reply);
            }
        });
    }
}

async fn handle_message(context: &InstanceContext, message: PeerMessage) -> Option<PeerMessage> {
    let not_leader = Err(ControlRefusal::NotLeader(None));
    Some(match message {
        PeerMessage::Renew(renewal) => PeerMessage::Renewed(match &context.control {
            Some(control) => control.send(Renew(renewal)).await.ok()?,
            None => Err(ControlRefusal::NotLeader(None)),
        }),
        PeerMessage::Propose(command) => PeerMessage::Proposed(match &context.control {
            Some(control) => {
                let outcome = control.send(Propose(command)).await.ok()?;
                outcome.await.unwrap_or(Err(ControlRefusal::OutcomeUnknown))
            }
            None => not_leader,
        }),
        PeerMessage::ReadContracts(query) => PeerMessage::Contracts(match &context.control {
            Some(control) => control.send(ReadContracts(query)).await.ok()?,
            None => Err(ControlRefusal::NotLeader(None)),
        }),
        PeerMessage::FindIdempotencyKey { customer, key } => {
            PeerMessage::IdempotencyKeyFound(match &context.control {
                Some(control) => control.send(FindIdempotencyKey { customer, key }).await.ok()?,
                None => Err(ControlRefusal::NotLeader(None)),
            })
        }
        PeerMessage::Place { cell, request } => {
            let Some(coordinator) = context.coordinators.get(&cell) else {
                let refusal =
                    Refusal::not_run(RefusalReason::NoCoordinator, format!("no cell {cell}"));
                return Some(PeerMessage::Placed(Err(refusal)));
            };
            let result = coordinator.send(PlaceCompletion(request)).await.ok()?;
            PeerMessage::Placed(result.await.ok()?)
        }
        PeerMessage::Withdraw { cell, request } => {
            if let Some(coordinator) = context.coordinators.get(&cell) {
                let _ = coordinator.send(WithdrawRequest(request)).await;
            }
            return None;
        }
        PeerMessage::Release { cell, pin, release } => {
            let coordinator = context.coordinators.get(&cell)?;
            PeerMessage::Released(coordinator.send(ReleasePin { pin, release }).await.ok()?)
        }
        PeerMessage::ReportPins { cell, epoch } => {
            let pins = context.entry.send(ListPins { cell, epoch }).await.ok()?;
            PeerMessage::Pins { incarnation: context.incarnation, pins }
        }
        PeerMessage::Stop => {
            context.draining.send_replace(true);
            PeerMessage::Stopping
        }
        _ => return None,
    })
}
