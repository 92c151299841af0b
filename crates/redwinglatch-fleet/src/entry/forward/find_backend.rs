//! Finds a backend server for a request.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    entry::{
        EntryContext,
        fleet_view::{BackendSelection, SelectedBackend},
        grant, hold,
        placement::{self, PlacementDecision, PlacementGuard},
        refusal::RefusalReason,
    },
    ids::BackendKey,
};

use super::PreparedRequest;

/// Shortest time that a request waits for a new coordinator if its adapter is loaded on no engine.
const MIN_COORDINATOR_WAIT: Duration = Duration::from_millis(400);
/// Time that remains after this wait until the caller leaves: a load, a prompt and the first event.
const COORDINATOR_WAIT_MARGIN: Duration = Duration::from_millis(900);
/// Time for which a request waits for room at a brittle server.
const ROOM_WAIT: Duration = Duration::from_millis(400);
/// Interval between placement requests during that time.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Range of the random time that a request waits beyond the end of a server's hold.
const HOLD_JITTER_MS: std::ops::Range<u64> = 1..40;

/// Finds a backend server for a request. If its adapter is loaded on no engine, waits for a coordinator
/// or the load as long as the caller would still get its first event.
pub(crate) async fn find_backend(
    context: &Arc<EntryContext>,
    prepared: &PreparedRequest,
    attempted: &[BackendKey],
    received_at: Instant,
) -> Result<(SelectedBackend, Option<PlacementGuard>), RefusalReason> {
    let patience = Duration::from_millis(prepared.patience_ms);
    let wait_until = (received_at + patience)
        .checked_sub(COORDINATOR_WAIT_MARGIN)
        .unwrap_or(received_at)
        .max(Instant::now() + MIN_COORDINATOR_WAIT);
    let mut room_wait_ends_at = None;
    loop {
        check_quarantine(context, prepared)?;
        check_version(context, prepared)?;
        let excluded = &excluded_backends(context, prepared, attempted);
        if prepared.model.is_some() {
            let now_ms = context.now_ms();
            let hold_end_ms = context.fleet_view().service_hold_end_ms(now_ms, &prepared.service);
            if let Some(until_ms) = hold_end_ms {
                wait_for_hold(context, prepared, until_ms, received_at).await?;
                continue;
            }
            let mut unusable = context.fleet_view().unusable_engines(now_ms, &prepared.service);
            unusable.extend_from_slice(excluded);
            let request = prepared.place_request(&unusable, received_at);
            let placed =
                placement::request_placement(context, request, prepared.software_version).await;
            match placed {
                PlacementDecision::Placed { engine, version, placement } => {
                    let select =
                        || context.fleet_view().placed_engine(context.now_ms(), engine, version);
                    let mut selection = select();
                    if let BackendSelection::OnHold { until_ms } = selection
                        && wait_for_hold(context, prepared, until_ms, received_at).await.is_ok()
                    {
                        selection = select();
                    }
                    if let BackendSelection::Selected(selected) = selection
                        && prepared.allows_version(selected.software)
                    {
                        check_quarantine(context, prepared)?;
                        return Ok((selected, Some(placement)));
                    }
                }
                PlacementDecision::Refused { retry_after_ms, cause } => {
                    check_quarantine(context, prepared)?;
                    return Err(RefusalReason::Overloaded { retry_after_ms, cause });
                }
                PlacementDecision::NoCoordinator => {}
            }
        }
        match select_backend(context, prepared, attempted) {
            // A server that denies the request isn't selected again before it may take one.
            BackendSelection::Selected(selected) => {
                if let Some(granted) = grant::take(context, selected.key).await {
                    return Ok((selected, granted));
                }
            }
            BackendSelection::OnHold { until_ms } => {
                wait_for_hold(context, prepared, until_ms, received_at).await?;
            }
            BackendSelection::Unavailable => {
                let reason = unavailable_reason(context, prepared);
                let wait_ends_at = *room_wait_ends_at.get_or_insert(Instant::now() + ROOM_WAIT);
                let RefusalReason::BackendsLimited { retry_after_ms } = reason else {
                    return Err(reason);
                };
                let is_brittle = context.fleet_view().is_brittle(&prepared.service);
                if !is_brittle || Instant::now() >= wait_ends_at {
                    return Err(reason);
                }
                let wait = Duration::from_millis(retry_after_ms.max(1));
                sleep_until((Instant::now() + wait).min(wait_ends_at)).await;
            }
            BackendSelection::AwaitLoad(loaded) => {
                if Instant::now() >= wait_until {
                    return Err(RefusalReason::NotLoaded);
                }
                if timeout(PLACEMENT_RETRY_INTERVAL, loaded.notified()).await.is_err() {
                    log::debug!("request: still waiting for the adapter to be loaded");
                }
            }
        }
    }
}

/// Checks that a server has the software version at which the stream goes on, if it is bound to one.
fn check_version(context: &EntryContext, prepared: &PreparedRequest) -> Result<(), RefusalReason> {
    match prepared.software_version {
        Some(version)
            if !context.fleet_view().has_server_of_version(&prepared.service, version) =>
        {
            Err(RefusalReason::StreamVersionGone)
        }
        _ => Ok(()),
    }
}

/// Returns the servers that must not get the request: those of earlier attempts, and those of other software
/// versions if the stream is bound to one.
fn excluded_backends(
    context: &EntryContext,
    prepared: &PreparedRequest,
    attempted: &[BackendKey],
) -> SmallVec<[BackendKey; 4]> {
    let mut excluded = SmallVec::from_slice(attempted);
    if let Some(version) = prepared.software_version {
        context.fleet_view().exclude_other_versions(&prepared.service, version, &mut excluded);
    }
    excluded
}

/// Checks that neither the request nor those with one of its prompt parts are quarantined.
fn check_quarantine(
    context: &EntryContext,
    prepared: &PreparedRequest,
) -> Result<(), RefusalReason> {
    let now_ms = context.now_ms();
    let quarantine_ms =
        context.fleet_view().quarantine_ms(now_ms, prepared.shared_parts(), || prepared.digests());
    match quarantine_ms {
        Some(retry_after_ms) => Err(RefusalReason::Quarantined { retry_after_ms }),
        None => Ok(()),
    }
}

/// Waits until a server takes requests again.
///
/// # Errors
///
/// Fails at once if that takes too long for the request.
async fn wait_for_hold(
    context: &EntryContext,
    prepared: &PreparedRequest,
    until_ms: u64,
    received_at: Instant,
) -> Result<(), RefusalReason> {
    let hold_ms = until_ms.saturating_sub(context.now_ms());
    let leaves_at = if prepared.route().kind.is_stream() {
        received_at + Duration::from_millis(prepared.patience_ms)
    } else {
        prepared.deadline
    };
    let patience = leaves_at.saturating_duration_since(Instant::now());
    let patience_ms = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
    let wait_ms = hold::wait_ms(hold_ms, patience_ms)?;
    let jitter_ms = fastrand::u64(HOLD_JITTER_MS);
    tokio::time::sleep(Duration::from_millis(wait_ms + jitter_ms)).await;
    Ok(())
}

/// Returns why no server of the service can take a request.
fn unavailable_reason(context: &EntryContext, prepared: &PreparedRequest) -> RefusalReason {
    let now_ms = context.now_ms();
    let view = context.fleet_view();
    if let Some(until_ms) = view.service_hold_end_ms(now_ms, &prepared.service) {
        return RefusalReason::BackendsOnHold { retry_after_ms: until_ms.saturating_sub(now_ms) };
    }
    match view.service_denied_until_ms(now_ms, &prepared.service) {
        Some(until_ms) => {
            RefusalReason::BackendsLimited { retry_after_ms: until_ms.saturating_sub(now_ms) }
        }
        None => RefusalReason::NoBackend,
    }
}

pub(super) fn select_backend(
    context: &EntryContext,
    prepared: &PreparedRequest,
    attempted: &[BackendKey],
) -> BackendSelection {
    let excluded = &excluded_backends(context, prepared, attempted);
    let mut view = context.fleet_view();
    let (now_ms, data_centre) = (context.now_ms(), &context.settings.data_centre);
    match &prepared.model {
        Some(model) => view.select_engine(now_ms, &prepared.service, model, data_centre, excluded),
        None => view.select_plain_backend(now_ms, &prepared.service, data_centre, excluded),
    }
}
