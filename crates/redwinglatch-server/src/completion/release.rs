//! The end of a pin, sent until a coordinator takes it.

use std::time::Duration;

use redwinglatch_core::prelude::*;
use redwinglatch_instances::PeerMessage;
use redwinglatch_placement::{Placement, Release};
use tokio::time::sleep;

use crate::callers::Caller;
use crate::coordinator::EndPin;
use crate::entry::{DropPin, find_coordinator};
use crate::shared::Shared;

/// How often the end of a pin is sent until the coordinator takes it.
const RELEASE_ATTEMPTS: usize = 100;
const RELEASE_PAUSE: Duration = Duration::from_millis(300);
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

/// Ends a pin at whichever instance coordinates the cell; the pin stays noted until that is done.
pub(super) fn release_pin(caller: &Caller, cell: CellId, placed: Placement, release: Release) {
    let shared = caller.shared.clone();
    let pin = placed.pin;
    tokio::spawn(async move {
        for _ in 0..RELEASE_ATTEMPTS {
            if let Some((coordinator, epoch)) = find_coordinator(&shared, cell).await
                // A later epoch learnt of the pin, an earlier one never did.
                && placed.epoch <= epoch
                && send_release(&shared, coordinator, cell, pin, release).await
            {
                break;
            }
            sleep(RELEASE_PAUSE).await;
        }
        let _ = shared.entry.send(DropPin { cell, pin }).await;
    });
}

async fn send_release(
    shared: &Shared,
    coordinator: InstanceId,
    cell: CellId,
    pin: PinId,
    release: Release,
) -> bool {
    if coordinator == shared.instance() {
        let Some(actor) = shared.coordinators.get(&cell) else { return true };
        return actor.send(EndPin { pin, release }).await.unwrap_or(true);
    }
    let message = PeerMessage::Release { cell, pin, release };
    let released = shared.transport.call(coordinator, message, RELEASE_LIMIT).await;
    matches!(released, Ok(PeerMessage::Released(true)))
}
