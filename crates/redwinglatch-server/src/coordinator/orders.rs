//! Load orders to engines, and the mapping of their errors to load failures.

use redwinglatch_backends::{BackendClient, BackendError, BackendErrorKind};
use redwinglatch_placement::{LoadFailure, LoadOrder};

/// Unloads the adapter to evict, if any, then loads the ordered one.
pub(super) async fn load_adapter(
    backends: &BackendClient,
    order: &LoadOrder,
    timeout_ms: u64,
) -> Result<(), LoadFailure> {
    if let Some(evict) = &order.evict {
        match backends.unload(order.address, evict, order.epoch).await {
            Ok(()) => {}
            // The adapter is already unloaded, which is the desired state.
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
