//! Releases a pin at the coordinator, with retries until it is acknowledged.

use std::time::Duration;

use redwinglatch_core::prelude::*;
use redwinglatch_instances::PeerMessage;
use redwinglatch_placement::{Placement, Release};
use tokio::time::sleep;

use crate::callers::RequestHandles;
use crate::coordinator::ReleasePin;
use crate::entry::{UnregisterPin, find_coordinator};
use crate::instance_context::InstanceContext;

/// Maximum number of attempts to release a pin until the coordinator acknowledges it.
const RELEASE_ATTEMPTS: usize = 100;
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(300);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Releases a pin at the cell's current coordinator; the pin stays registered until that succeeds
/// or the attempts are used up.
pub(super) fn release_pin(
    handles: &RequestHandles,
    cell: CellId,
    placed: Placement,
    release: Release,
) {
    let context = handles.context.clone();
    let pin = placed.pin;
    tokio::spawn(async move {
        for _ in 0..RELEASE_ATTEMPTS {
            if let Some((coordinator, epoch)) = find_coordinator(&context, cell).await
                // A coordinator of a later epoch received the pin in a report; one of an earlier
                // epoch can't know it.
                && placed.epoch <= epoch
                && send_release(&context, coordinator, cell, pin, release).await
            {
                break;
            }
            sleep(RELEASE_RETRY_DELAY).await;
        }
        let _ = context.entry.send(UnregisterPin { cell, pin }).await;
    });
}

async fn send_release(
    context: &InstanceContext,
    coordinator: InstanceId,
    cell: CellId,
    pin: PinId,
    release: Release,
) -> bool {
    if coordinator == context.instance() {
        let Some(actor) = context.coordinators.get(&cell) else { return true };
        return actor.send(ReleasePin { pin, release }).await.unwrap_or(true);
    }
    let message = PeerMessage::Release { cell, pin, release };
    let released = context.transport.call(coordinator, message, RELEASE_TIMEOUT).await;
    matches!(released, Ok(PeerMessage::Released(true)))
}
