//! Requests the coordinator's grant for a request to a limited or brittle backend server.

use std::sync::Arc;

use tokio::{sync::oneshot, time::timeout};

use crate::ids::BackendKey;

use super::{
    EntryContext,
    placement::{COORDINATOR_SUSPECT_MS, FIRST_REPLY_TIMEOUT, PlacementGuard},
};

/// Longest time for which a server isn't selected again after a denial. A new coordinator may grant requests
/// long before the next turn of this process.
const MAX_DENIAL_MS: u64 = 500;

/// Takes a request to a backend server, and returns what keeps its room, or `None` if it must not be sent.
pub(super) async fn take(context: &Arc<EntryContext>, server: BackendKey) -> Option<Grant> {
    if !context.fleet_view().needs_grant(server) {
        return Some(None);
    }
    let taken = match request(context, server).await {
        Some(reply) => reply,
        None => {
            let taken = context.fleet_view().try_take_turn(context.now_ms(), server);
            taken.map(|()| None)
        }
    };
    match taken {
        Ok(grant) => Some(grant),
        Err(wait_ms) => {
            let denial_ms = wait_ms.clamp(1, MAX_DENIAL_MS);
            context.fleet_view().deny_until(server, context.now_ms() + denial_ms);
            None
        }
    }
}

/// Keeps the room for a request at a brittle server.
pub(super) type Grant = Option<PlacementGuard>;

/// Requests a grant from the coordinator; `None` if there is no reply.
async fn request(context: &Arc<EntryContext>, server: BackendKey) -> Option<Result<Grant, u64>> {
    let (sender, reply) = oneshot::channel();
    let is_brittle = context.fleet_view().is_brittle_server(server);
    let id = context.fleet_view().start_grant(context.now_ms(), sender, server)?;
    // Made before the reply, so that a grant whose reply is late is given back.
    let guard = is_brittle.then(|| PlacementGuard::of_grant(context, id));
    match timeout(FIRST_REPLY_TIMEOUT, reply).await {
        // An error means that the link to the coordinator was lost.
        Ok(reply) => reply.ok().map(|granted| granted.map(|()| guard)),
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
