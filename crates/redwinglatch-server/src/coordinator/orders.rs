//! Orders to engines and what their errors mean for the placement decisions.

use redwinglatch_backends::{BackendClient, BackendError, BackendErrorKind};
use redwinglatch_placement::{LoadFailure, LoadOrder};

pub(super) async fn load_adapter(
    backends: &BackendClient,
    order: &LoadOrder,
    timeout_ms: u64,
) -> Result<(), LoadFailure> {
    if let Some(evict) = &order.evict {
        match backends.unload(order.address, evict, order.epoch).await {
            Ok(()) => {}
            // The engine no longer holds it, which is what was wanted.
            Err(error) if error.kind == BackendErrorKind::AdapterMissing => {}
            Err(error) => return Err(load_failure(&error)),
        }
    }
    backends
        .load(order.address, &order.adapter, order.epoch, timeout_ms)
        .await
        .map_err(|error| load_failure(&error))
}

fn load_failure(error: &BackendError) -> LoadFailure {
    match error.kind {
        BackendErrorKind::StaleToken => LoadFailure::StaleToken,
        BackendErrorKind::NoSlot => LoadFailure::NoSlot,
        BackendErrorKind::AdapterInUse => LoadFailure::AdapterInUse,
        BackendErrorKind::UnknownAdapter => LoadFailure::UnknownAdapter,
        BackendErrorKind::Leaving => LoadFailure::Leaving,
        BackendErrorKind::Unresponsive
        | BackendErrorKind::ConnectionLost
        | BackendErrorKind::DeadlinePassed => LoadFailure::TimedOut,
        BackendErrorKind::ConnectRefused
        | BackendErrorKind::ConnectFailed
        | BackendErrorKind::NotSent => LoadFailure::Unreachable,
        _ if error.is_leaving => LoadFailure::Leaving,
        _ => LoadFailure::Failed,
    }
}
