//! Links from an entry process to the core processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use redwinglatch_routing::RouteTable;
use tokio::signal::unix::Signal;

use crate::{
    clock::{ENTRY_OVERLOAD_LAG_MS, TimerLag},
    core,
    link::{self, ReconnectDelay},
    message::{Backend, BackendChanges, EntryHello, FleetMessage},
    seeds::SeedFile,
    tasks,
};

use super::{EntryContext, fleet_view::CoordinatorAcceptance};

/// Interval between measurements of the timer lag.
const LAG_TICK: Duration = Duration::from_millis(50);
/// Smallest number of ticks between status messages to the coordinator.
const MIN_TICKS_PER_STATUS: u32 = 5;
/// Entry processes for which it grows by a tick, so that the coordinator gets a bounded number of
/// messages a second.
const ENTRIES_PER_TICK: usize = 16;
/// Number of ticks between status messages to core processes other than the coordinator, which only
/// need to know whether this process is ready.
const TICKS_PER_SHORT_STATUS: u32 = 40;
/// Frames that may wait for a slow core process.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Time without a link to any core process after which this process polls the backend list itself.
const ISOLATED_AFTER_MS: u64 = 1_500;
/// Time after the last word of a leader at any connected core process after which seeds are read again. Core processes
/// tell it when they have fetched the backend list, about each 700 ms.
const MAX_LEADER_AGE_MS: u64 = 3_000;
/// Shortest interval between these polls.
const MIN_ISOLATED_POLL_INTERVAL_MS: u64 = 1_000;
/// Shortest interval between polls that take-ups of streams ask for.
const WANTED_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between the polls of all entry processes together, which the platform limits.
const ISOLATED_POLL_INTERVAL_MS_PER_ENTRY: u64 = 100;

/// Starts the tasks that maintain the links to the core processes and send the status of this
/// process.
pub(crate) fn start(context: &Arc<EntryContext>, hangup: Signal) {
    for seed in context.settings.seeds.clone() {
        add_core(context, SocketAddr::new(seed.ip(), context.settings.link_port));
    }
    if let Some(file) = SeedFile::of(&context.settings) {
        tasks::spawn_essential("seeds", follow_seeds(Arc::clone(context), file, hangup));
    }
    tasks::spawn_essential("status", send_status_periodically(Arc::clone(context)));
    tasks::spawn_essential("isolated list", poll_list_when_isolated(Arc::clone(context)));
}

/// Sends the current status of this process to the core processes: all of it to the coordinator, and
/// to the others whether it is ready.
pub(crate) fn send_status(context: &EntryContext) {
    let view = context.fleet_view();
    let status = view.entry_status();
    let short = FleetMessage::EntryStatus(status.without_usage());
    view.send_to_cores(&FleetMessage::EntryStatus(status), Some(&short));
}

/// Sends the current status of this process to the coordinator.
fn send_status_to_coordinator(context: &EntryContext) {
    let view = context.fleet_view();
    view.send_to_coordinator(&FleetMessage::EntryStatus(view.entry_status()));
}

/// Requests a newer configuration if a core process has announced one.
fn request_configuration(context: &EntryContext) {
    let view = context.fleet_view();
    let version = view.version();
    let source = context.state_sources().take_configuration_request(context.now_ms(), version);
    if let Some(link) = source.and_then(|core| view.core_link(core)) {
        link.send(&FleetMessage::ConfigurationRequest);
    }
}

fn add_cores(context: &Arc<EntryContext>, addresses: Vec<SocketAddr>) {
    for address in addresses {
        add_core(context, address);
    }
}

fn add_core(context: &Arc<EntryContext>, address: SocketAddr) {
    if context.fleet_view().add_core(address) {
        let context = Arc::clone(context);
        tasks::spawn_restarting("core link", move || maintain_link(Arc::clone(&context), address));
    }
}

/// Adds the seeds that the settings file names later, also without a signal while no core process that has heard a
/// leader is connected: one that was replaced and still runs has nothing new to give.
async fn follow_seeds(context: Arc<EntryContext>, file: SeedFile, hangup: Signal) {
    let is_isolated = || {
        let leader_age_ms = context.state_sources().leader_age_ms(context.now_ms());
        leader_age_ms.is_none_or(|age_ms| age_ms >= MAX_LEADER_AGE_MS)
    };
    let add = async |links| add_cores(&context, links);
    file.follow(hangup, is_isolated, add).await;
}

async fn send_status_periodically(context: Arc<EntryContext>) {
    let mut lag = TimerLag::default();
    let mut was_overloaded = false;
    let mut was_ready = false;
    let mut ticks = 0u32;
    loop {
        let entries = context.fleet_view().ready_entry_addresses().len();
        let status_ticks = MIN_TICKS_PER_STATUS
            .max(u32::try_from(entries / ENTRIES_PER_TICK).unwrap_or(MIN_TICKS_PER_STATUS));
        for _ in 0..status_ticks {
            tokio::time::sleep(LAG_TICK).await;
            lag.tick(context.now_ms(), LAG_TICK);
            request_configuration(&context);
            ticks += 1;
        }
        if lag.is_above(ENTRY_OVERLOAD_LAG_MS) != was_overloaded {
            was_overloaded = lag.is_above(ENTRY_OVERLOAD_LAG_MS);
            log::warn!(
                "entry: the process is slow: {was_overloaded}; updating the addresses for callers"
            );
            context.fleet_view().set_overloaded(was_overloaded);
        }
        let is_ready = context.fleet_view().entry_status().ready;
        if is_ready != was_ready || ticks >= TICKS_PER_SHORT_STATUS {
            was_ready = is_ready;
            ticks = 0;
            send_status(&context);
        } else {
            send_status_to_coordinator(&context);
        }
        context.fleet_view().report_completed_parts();
    }
}

/// Keeps a link to a core process and handles its messages; reconnects when it is lost.
async fn maintain_link(context: Arc<EntryContext>, address: SocketAddr) {
    let Some(front) = context.settings.front else { return };
    let hello = EntryHello {
        incarnation: fastrand::u64(..),
        front,
        data_centre: context.settings.data_centre.clone(),
    };
    let mut reconnect_delay = ReconnectDelay::default();
    loop {
        let delay = match link::connect(address).await {
            Ok(stream) => {
                let (sender, mut reader) = link::split(stream, MAX_QUEUED_BYTES, &context.metrics);
                sender.send(&FleetMessage::EntryHello(hello.clone()));
                let connected = context.fleet_view().connected_core_addresses().collect();
                sender.send(&FleetMessage::CoreAddresses(connected));
                context.fleet_view().core_connected(address, sender.clone());
                context.state_sources().connected(address);
                log::info!("entry: connected to the core process at {address}");
                send_status(&context);
                let error = loop {
                    match reader.next().await {
                        Ok(message) => handle_message(&context, address, &sender, message),
                        Err(error) => break error,
                    }
                };
                let now_ms = context.now_ms();
                context.fleet_view().core_disconnected(now_ms, address);
                context.state_sources().disconnected(address);
                log::warn!("entry: lost the core process at {address}: {error}");
                reconnect_delay.after_loss()
            }
            Err(error) => {
                log::debug!("entry: cannot connect to {address}: {error}");
                reconnect_delay.after_failure()
            }
        };
        tokio::time::sleep(delay).await;
    }
}

fn handle_message(
    context: &Arc<EntryContext>,
    core: SocketAddr,
    sender: &link::LinkSender,
    message: FleetMessage,
) {
    match message {
        FleetMessage::Ping => {}
        FleetMessage::LogProgress(progress) => {
            let now_ms = context.now_ms();
            context.state_sources().set_progress(now_ms, core, progress);
        }
        FleetMessage::ConfigurationNotice { version } => {
            let now_ms = context.now_ms();
            context.state_sources().configuration_announced(now_ms, core, version);
            request_configuration(context);
        }
        FleetMessage::CompressedConfiguration { version, document } => {
            context.state_sources().configuration_received(core);
            match core::decompress_configuration(&document) {
                Ok(document) => install_configuration(context, core, version, &document),
                Err(error) => {
                    log::error!("entry: cannot decompress configuration {version}: {error}");
                }
            }
        }
        FleetMessage::CoreDataCentre(data_centre) => {
            context.state_sources().set_data_centre(core, data_centre);
        }
        FleetMessage::Configuration { version, document } => {
            context.state_sources().configuration_received(core);
            install_configuration(context, core, version, &document);
        }
        FleetMessage::Quarantine(keys) => {
            let now_ms = context.now_ms();
            context.fleet_view().add_quarantined(now_ms, keys);
        }
        FleetMessage::WatchedRequests(digests) => {
            let now_ms = context.now_ms();
            context.fleet_view().report_watched_requests(now_ms, core, &digests);
        }
        FleetMessage::RequestLimits(limits) => {
            let now_ms = context.now_ms();
            context.fleet_view().add_request_limits(now_ms, core, limits);
        }
        FleetMessage::SoftwareVersions(versions) => {
            let now_ms = context.now_ms();
            context.fleet_view().add_software_versions(now_ms, core, versions);
        }
        FleetMessage::StreamVersionReply { id, reply } => {
            context.fleet_view().deliver_stream_version(id, reply);
        }
        FleetMessage::BrittleServices(services) => {
            let now_ms = context.now_ms();
            context.fleet_view().set_brittle_services(now_ms, &services);
        }
        FleetMessage::CustomerGrants => context.fleet_view().add_credit_core(core),
        FleetMessage::CustomerCreditReply { id, reply } => {
            context.fleet_view().deliver_credits(id, reply);
        }
        FleetMessage::GrantReply { id, granted } => context.fleet_view().deliver_grant(id, granted),
        FleetMessage::Versions(versions) => context.fleet_view().set_versions(versions),
        FleetMessage::BackendsNotice { digest } => {
            let (own_digest, has_list) = {
                let view = context.fleet_view();
                (view.backends_digest(), view.has_backends())
            };
            let now_ms = context.now_ms();
            if digest == own_digest {
                context.state_sources().list_confirmed(now_ms, core);
            } else if context.state_sources().should_request_list(now_ms, core, has_list) {
                sender.send(&FleetMessage::BackendsRequest);
            }
        }
        FleetMessage::Backends { digest, entries } => set_backends(context, digest, entries),
        FleetMessage::VersionedBackends { digest, entries, versions } => {
            set_backends(context, digest, Backend::with_versions(entries, versions));
        }
        FleetMessage::BackendChanges(changes) => change_backends(context, core, sender, changes),
        FleetMessage::VersionedBackendChanges { mut changes, versions } => {
            changes.changed = Backend::with_versions(changes.changed, versions);
            change_backends(context, core, sender, changes);
        }
        FleetMessage::EntryEndpoints(endpoints) => {
            let count = {
                let mut view = context.fleet_view();
                view.set_entry_endpoints(core, endpoints);
                view.update_peers();
                view.ready_entry_addresses().len()
            };
            context.retry_budget().set_processes(count);
        }
        FleetMessage::EntryEndpointChanges(changes) => {
            let count = {
                let mut view = context.fleet_view();
                view.change_entry_endpoints(core, changes);
                view.update_peers();
                view.ready_entry_addresses().len()
            };
            context.retry_budget().set_processes(count);
        }
        FleetMessage::CoreAddresses(addresses) => add_cores(context, addresses),
        FleetMessage::ModelLocations { epoch, locations } => {
            if accept_coordinator(context, core, epoch) != CoordinatorAcceptance::Outdated {
                let mut view = context.fleet_view();
                view.locations_received();
                view.merge_model_locations(locations);
            }
        }
        FleetMessage::ModelLocationChanges { epoch, changes } => {
            let acceptance = accept_coordinator(context, core, epoch);
            let now_ms = context.now_ms();
            let mut view = context.fleet_view();
            if acceptance == CoordinatorAcceptance::New && view.take_needs_locations(now_ms) {
                sender.send(&FleetMessage::ModelLocationsRequest);
            }
            if acceptance != CoordinatorAcceptance::Outdated {
                view.apply_model_location_changes(changes);
            }
        }
        FleetMessage::PlaceReply { id, reply } => {
            context.fleet_view().deliver_place_reply(id, reply);
        }
        FleetMessage::BackendLoads { in_flight, unresponsive, store_limit } => {
            context.fleet_view().set_backend_loads(&in_flight, &unresponsive, store_limit);
        }
        other => log::debug!("entry: an unexpected message is ignored: {other:?}"),
    }
}

fn set_backends(context: &EntryContext, digest: u64, entries: Vec<Backend>) {
    let now_ms = context.now_ms();
    let mut view = context.fleet_view();
    view.set_backends(digest, entries);
    view.update_software_versions(now_ms);
}

fn change_backends(
    context: &EntryContext,
    core: SocketAddr,
    sender: &link::LinkSender,
    changes: BackendChanges,
) {
    let now_ms = context.now_ms();
    let mut view = context.fleet_view();
    if view.change_backends(changes) {
        view.update_software_versions(now_ms);
    } else {
        log::debug!("entry: the list changes of {core} start from another list");
        sender.send(&FleetMessage::BackendsRequest);
    }
}

/// Accepts the sender of model locations as the coordinator unless it is outdated. A new one gets the
/// status of this process at once, so that it knows which adapters are in use.
fn accept_coordinator(
    context: &EntryContext,
    core: SocketAddr,
    epoch: u64,
) -> CoordinatorAcceptance {
    let acceptance = context.fleet_view().accept_coordinator(core, epoch);
    if acceptance == CoordinatorAcceptance::New {
        log::info!("entry: the core process at {core} is the coordinator of epoch {epoch}");
        send_status_to_coordinator(context);
        let now_ms = context.now_ms();
        let mut view = context.fleet_view();
        view.report_all_request_limits();
        view.report_all_brittle_services();
        view.report_unreported_failures(now_ms);
    }
    acceptance
}

fn install_configuration(context: &EntryContext, core: SocketAddr, version: u64, document: &[u8]) {
    if version <= context.fleet_view().version() {
        return;
    }
    let table = (context.dialect.decode_configuration)(document).and_then(|configuration| {
        RouteTable::new(configuration).map_err(|fault| fault.to_string().into())
    });
    match table {
        Ok(table) => {
            let now_ms = context.now_ms();
            let progress = context.state_sources().progress(now_ms, core);
            log::info!("entry: configuration {version} is in force, from {core} with {progress:?}");
            context.customer_credits().retain(|name| table.customer_named(name).is_some());
            let mut view = context.fleet_view();
            view.update_route_table(table);
            view.share_streams(now_ms);
        }
        Err(error) => log::error!("entry: configuration {version} cannot be read: {error}"),
    }
}

/// Returns the interval between the polls of one of several entry processes.
///
/// Answers the loss of all core processes in a fleet of hundreds: the platform refuses the calls beyond its
/// limit, so that hardly any process would get the list.
fn isolated_poll_interval(entries: usize) -> Duration {
    let shared_ms = entries as u64 * ISOLATED_POLL_INTERVAL_MS_PER_ENTRY;
    Duration::from_millis(shared_ms.max(MIN_ISOLATED_POLL_INTERVAL_MS))
}

/// Waits until a take-up needs the list, but at least for a while, so that take-ups in a row share a fetch.
async fn wait_until_list_is_wanted(context: &EntryContext) {
    tokio::time::sleep(WANTED_POLL_INTERVAL).await;
    context.list_wanted.notified().await;
}

/// Polls the platform's backend list while no core process is reachable, so that leaving servers are
/// still detected.
async fn poll_list_when_isolated(context: Arc<EntryContext>) {
    let Some(address) = context.settings.list_address else { return };
    let mut last_connected_ms = 0;
    loop {
        let entries = context.fleet_view().ready_entry_addresses().len();
        let is_wanted = tokio::select! {
            () = tokio::time::sleep(isolated_poll_interval(entries)) => false,
            () = wait_until_list_is_wanted(&context) => true,
        };
        if context.fleet_view().connected_cores() > 0 {
            last_connected_ms = context.now_ms();
            continue;
        }
        if !is_wanted && context.now_ms() < last_connected_ms + ISOLATED_AFTER_MS {
            continue;
        }
        let started_ms = context.now_ms();
        match core::fetch_backend_list(&context.client, address, context.dialect).await {
            Ok((entries, _)) => {
                let backends = entries.into_iter().map(Backend::from);
                // Digest 0 differs from that of any core process, so that the next list from a core
                // process replaces this one.
                set_backends(&context, 0, backends.collect());
                context.fleet_view().backend_list_fetched(started_ms);
            }
            Err(error) => log::warn!("entry: cannot fetch the backend list: {error}"),
        }
    }
}

#[cfg(test)]
mod tests;
