//! Requests the coordinator's grant for a request to a limited backend server.

use tokio::{sync::oneshot, time::timeout};

use crate::ids::BackendKey;

use super::{
    EntryContext,
    placement::{COORDINATOR_SUSPECT_MS, FIRST_REPLY_TIMEOUT},
};

/// Longest time for which a server isn't selected again after a denial. A new coordinator may grant requests
/// long before the next turn of this process.
const MAX_DENIAL_MS: u64 = 500;

/// Takes a request to a backend server; returns whether it may be sent.
pub(super) async fn take(context: &EntryContext, server: BackendKey) -> bool {
    if !context.fleet_view().is_limited(server) {
        return true;
    }
    let taken = match request(context, server).await {
        Some(reply) => reply,
        None => context.fleet_view().try_take_turn(context.now_ms(), server),
    };
    let Err(wait_ms) = taken else { return true };
    let denial_ms = wait_ms.clamp(1, MAX_DENIAL_MS);
    context.fleet_view().deny_until(server, context.now_ms() + denial_ms);
    false
}

/// Requests a grant from the coordinator; `None` if there is no reply.
async fn request(context: &EntryContext, server: BackendKey) -> Option<Result<(), u64>> {
    let (sender, reply) = oneshot::channel();
    let id = context.fleet_view().start_grant(context.now_ms(), sender, server)?;
    match timeout(FIRST_REPLY_TIMEOUT, reply).await {
        // An error means that the link to the coordinator was lost.
        Ok(reply) => reply.ok(),
        Err(_) => {
            let now_ms = context.now_ms();
            log::info!("entry: the coordinator grants nothing; limits are shared without it");
            let mut view = context.fleet_view();
            view.end_grant(id);
            view.suspect_coordinator_until(now_ms + COORDINATOR_SUSPECT_MS);
            None
        }
    }
}
