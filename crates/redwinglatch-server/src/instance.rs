//! Starts and stops an instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use redwinglatch_backends::BackendClient;
use redwinglatch_control::ControlState;
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{
    DatagramTransport, IncomingMessage, PeerMessage, SharedSecret, Transport, TransportEvent,
    TransportSettings,
};
use redwinglatch_log::{Membership, Replica, ReplicaConfig, Storage};
use redwinglatch_metrics::{Counter, Metrics};
use redwinglatch_operators::{OperatorServer, SecretFile};
use redwinglatch_settings::{InstanceSettings, Settings, StateSettings};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::backend_list::follow_backend_list;
use crate::callers::{RequestHandles, serve_callers};
use crate::clock::Clock;
use crate::control::{ControlActor, ControlParts, TransferLeadership};
use crate::control_client::ControlClient;
use crate::coordinator::{CoordinatorActor, CoordinatorParts};
use crate::entry::{CountInFlight, EntryActor, EntryParts, StartDraining};
use crate::instance_context::{InstanceContext, backend_settings, lease_settings};
use crate::lease_renewal::renew_lease_forever;
use crate::operators::serve_operators;
use crate::peers::serve_peers;
use crate::secrets::{open_secret_file, open_shared_secret, watch_shared_secret};
use crate::{ServerError, ServerErrorKind};

const CALLER_QUEUE_CAPACITY: usize = 1024;
const PEER_QUEUE_CAPACITY: usize = 1024;
const OPERATOR_QUEUE_CAPACITY: usize = 64;
/// Maximum number of connections accepted from other instances.
const MAX_PEER_CONNECTIONS: usize = 1024;
/// Safety margin added to the time for which callers may keep a list of entries.
const ENTRY_LIST_KEEP_MARGIN: Duration = Duration::from_secs(5);
/// With fewer heartbeats, two lost ones could cause an election; more of them cost the leader
/// bandwidth: ten per second to each of four followers took 1.7 KB/s of its 3 KB/s for control
/// traffic.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The listening sockets of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts connections of callers.
    pub callers: TcpListener,
    /// Accepts connections of other instances.
    pub instances: TcpListener,
    /// Receives small requests of other instances over UDP, at the address of `instances`.
    pub datagrams: UdpSocket,
    /// Accepts connections of operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn bind(settings: &InstanceSettings) -> Result<Listeners, ServerError> {
        let datagrams = UdpSocket::bind(settings.instances_address).await.map_err(|error| {
            let address = settings.instances_address;
            let context = format!("UDP address {address} for instances can't be bound");
            ServerError::new(ServerErrorKind::Bind, context, error)
        })?;
        Ok(Listeners {
            callers: bind(settings.callers_address, "callers").await?,
            instances: bind(settings.instances_address, "instances").await?,
            datagrams,
            operators: bind(settings.operators_address, "operators").await?,
        })
    }
}

/// The expected content of a log replica's data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DataFolder {
    /// A replica; an empty folder is refused, since a replica that lost its disk must not return
    /// under the same id.
    Existing,
    /// A replica, or nothing yet.
    MayBeNew,
}

/// A running instance.
pub struct Instance {
    context: Arc<InstanceContext>,
    stop_callers: watch::Sender<bool>,
    callers_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Opens the sockets of an instance and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, a secret can't be read or the data folder can't be
    /// opened.
    pub async fn start(settings: Settings, folder: DataFolder) -> Result<Instance, ServerError> {
        let listeners = Listeners::bind(&settings.instance).await?;
        Instance::start_on(settings, folder, listeners).await
    }

    /// Starts the tasks of an instance on sockets that are already open.
    ///
    /// # Errors
    ///
    /// Fails when a secret can't be read or the data folder can't be opened.
    pub async fn start_on(
        settings: Settings,
        folder: DataFolder,
        listeners: Listeners,
    ) -> Result<Instance, ServerError> {
        let mut rng = fastrand::Rng::new();
        let incarnation = Incarnation(rng.u64(..));
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new());
        let renew_now = Arc::new(Notify::new());
        let secret = open_shared_secret(&settings.secrets.instances_file)?;

        let (peer_sender, incoming) = mpsc::channel(PEER_QUEUE_CAPACITY);
        let transport_settings = transport_settings(&settings, incarnation, secret.clone());
        let secret_path = settings.secrets.instances_file.clone().into_boxed_path();
        let secret_watcher = watch_shared_secret(secret_path, secret, metrics.clone());
        let datagrams = DatagramTransport::start(
            &transport_settings,
            listeners.datagrams,
            peer_sender.clone(),
            count_events(metrics.clone()),
        );
        let transport = Transport::start_with_events(
            transport_settings,
            listeners.instances,
            peer_sender,
            count_events(metrics.clone()),
        );
        let entry = EntryActor::spawn(EntryParts {
            settings: settings.clone(),
            incarnation,
            clock,
            metrics: metrics.clone(),
            renew_now: renew_now.clone(),
            rng: rng.fork(),
        });
        let control = match &settings.state {
            Some(state) => {
                let opened = open_replica(&settings, state, folder, clock, rng.fork()).await?;
                let parts = ControlParts {
                    replica: opened.replica,
                    lease_settings: lease_settings(&settings),
                    replica_instances: replica_instances(&settings),
                    cells: cells(&settings).collect(),
                    clock,
                    metrics: metrics.clone(),
                    transport: transport.clone(),
                };
                Some(ControlActor::spawn(parts, opened.storage, opened.state))
            }
            None => None,
        };
        let backends = BackendClient::new(backend_settings(&settings));
        let coordinators = cells(&settings).map(|cell| {
            let parts = CoordinatorParts {
                cell,
                settings: settings.clone(),
                clock,
                metrics: metrics.clone(),
                backends: backends.clone(),
                transport: transport.clone(),
                entry: entry.clone(),
                rng: rng.fork(),
            };
            (cell, CoordinatorActor::spawn(parts))
        });
        let coordinators: HashMap<_, _> = coordinators.collect();
        let context = Arc::new(InstanceContext {
            settings,
            incarnation,
            clock,
            metrics,
            transport,
            datagrams,
            backends,
            entry,
            control,
            coordinators,
            renew_now,
            draining: watch::Sender::new(false),
            next_request: AtomicU64::new(1),
        });
        let callers_secret = open_secret_file(&context.settings.secrets.callers_file)?;
        let operators_secret = open_secret_file(&context.settings.secrets.operators_file)?;
        let control = ControlClient::new(context.clone());
        let handles = RequestHandles { context, control, secret: callers_secret };
        let (callers, operators) = (listeners.callers, listeners.operators);
        let mut instance = Instance::serve(handles, callers, operators, operators_secret, incoming);
        instance.tasks.push(tokio::spawn(secret_watcher));
        Ok(instance)
    }

    fn serve(
        handles: RequestHandles,
        callers_listener: TcpListener,
        operators_listener: TcpListener,
        operators_secret: Arc<SecretFile>,
        incoming: mpsc::Receiver<IncomingMessage<PeerMessage>>,
    ) -> Instance {
        let context = handles.context.clone();
        let (calls, call_queue) = mpsc::channel(CALLER_QUEUE_CAPACITY);
        let (operator_calls, operator_queue) = mpsc::channel(OPERATOR_QUEUE_CAPACITY);
        let (stop_callers, stopped) = watch::channel(false);
        let operators =
            OperatorServer::new(operators_secret, operator_calls, context.metrics.clone());
        let metrics = context.metrics.clone();
        let callers_task = tokio::spawn(redwinglatch_callers::serve(
            callers_listener,
            caller_settings(&context.settings),
            calls,
            move |reason| metrics.refused(reason),
            stopped,
        ));
        let tasks = vec![
            tokio::spawn(serve_peers(context.clone(), incoming)),
            tokio::spawn(renew_lease_forever(context.clone(), handles.control.clone())),
            tokio::spawn(follow_backend_list(context.clone())),
            tokio::spawn(watch_callers_secret(handles.clone())),
            tokio::spawn(serve_operators(handles.clone(), operator_queue)),
            // Operators are served until the tasks end, even while the instance drains.
            tokio::spawn(operators.serve(operators_listener, std::future::pending())),
            tokio::spawn(serve_callers(handles, call_queue)),
        ];
        let own = &context.settings.instance;
        log::info!("callers: instance {} listens on {}", own.id, own.callers_address);
        Instance { context, stop_callers, callers_task, tasks }
    }

    /// The instance's counters, gauges and histograms.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.context.metrics
    }

    /// Waits until an operator requests that the instance stops.
    pub async fn stop_requested(&self) {
        let mut draining = self.context.draining.subscribe();
        // The sender exists as long as the instance, so waiting can't fail.
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Stops gracefully: leaves the entry lists, transfers its roles, keeps serving callers with an
    /// old list for as long as they may use it, and ends after the last request in flight.
    pub async fn stop(self) {
        log::info!("callers: instance {} is draining", self.context.instance());
        self.context.draining.send_replace(true);
        let _ = self.context.entry.send(StartDraining).await;
        if let Some(control) = &self.context.control {
            let _ = control.send(TransferLeadership).await;
        }
        let keep_for = Duration::from_secs(self.context.settings.callers.keep_for_s);
        let serve_until = Instant::now() + keep_for + ENTRY_LIST_KEEP_MARGIN;
        sleep(serve_until.saturating_duration_since(Instant::now())).await;
        self.stop_callers.send_replace(true);
        while self.context.entry.send(CountInFlight).await.is_ok_and(|count| 0 < count) {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let _ = self.callers_task.await;
        for task in self.tasks {
            task.abort();
        }
        log::info!("callers: instance {} stopped", self.context.instance());
    }
}

/// Runs an instance until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
///
/// Fails when the instance can't start.
pub async fn run(settings: Settings, folder: DataFolder) -> Result<(), ServerError> {
    use tokio::signal::unix::{SignalKind, signal};

    let signal_error = |error| {
        ServerError::new(ServerErrorKind::Settings, "signal handlers can't be installed", error)
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let instance = Instance::start(settings, folder).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = instance.stop_requested() => {}
    }
    instance.stop().await;
    Ok(())
}

async fn bind(address: SocketAddr, peer: &str) -> Result<TcpListener, ServerError> {
    TcpListener::bind(address).await.map_err(|error| {
        let context = format!("address {address} for {peer} can't be bound");
        ServerError::new(ServerErrorKind::Bind, context, error)
    })
}

fn count_events(metrics: Arc<Metrics>) -> impl Fn(TransportEvent) + Send + Sync + 'static {
    let bytes = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    move |event| match event {
        TransportEvent::Refused(reason) => metrics.refused(reason),
        TransportEvent::Sent(count) => metrics.add(Counter::ControlBytesSent, bytes(count)),
        TransportEvent::Received(count) => metrics.add(Counter::ControlBytesReceived, bytes(count)),
    }
}

async fn watch_callers_secret(handles: RequestHandles) {
    handles.secret.watch(&handles.context.metrics).await;
}

fn transport_settings(
    settings: &Settings,
    incarnation: Incarnation,
    secret: SharedSecret,
) -> TransportSettings {
    let addresses = settings.instances.iter().map(|entry| (entry.id, entry.instances_address));
    TransportSettings {
        instance: settings.instance.id,
        incarnation,
        addresses: addresses.collect(),
        secret,
        max_connections: MAX_PEER_CONNECTIONS,
    }
}

fn caller_settings(settings: &Settings) -> redwinglatch_callers::CallerSettings {
    redwinglatch_callers::CallerSettings {
        max_connections: settings.instance.max_connections,
        max_body_bytes: settings.callers.max_body_bytes,
        max_header_bytes: settings.callers.max_header_bytes,
        keep_alive_ms: settings.callers.keep_alive_ms,
        write_stall_ms: settings.callers.write_stall_ms,
    }
}

fn cells(settings: &Settings) -> impl Iterator<Item = CellId> {
    (0..settings.cells.len()).filter_map(|position| u16::try_from(position).ok().map(CellId))
}

fn replica_instances(settings: &Settings) -> HashMap<ReplicaId, InstanceId> {
    settings.replicas.iter().map(|replica| (replica.id, replica.instance)).collect()
}

/// A log replica opened from its data folder.
struct OpenedReplica {
    replica: Replica,
    storage: Storage,
    /// The control state of the last snapshot; the replica emits only the log entries after it.
    state: ControlState,
}

async fn open_replica(
    settings: &Settings,
    state: &StateSettings,
    folder: DataFolder,
    clock: Clock,
    rng: fastrand::Rng,
) -> Result<OpenedReplica, ServerError> {
    let context = format!("log in {}", state.data_dir.display());
    let error = |error: &dyn std::fmt::Display| {
        ServerError::new(ServerErrorKind::Storage, context.clone(), error)
    };
    if folder == DataFolder::Existing && !Storage::is_initialized(&state.data_dir) {
        let detail = format!(
            "the folder has no replica. If replica id {} was never used, start once with --init; \
             after the loss of a disk, use a new id with `joins = true`",
            state.replica_id
        );
        return Err(error(&detail));
    }
    let (dir, id) = (state.data_dir.clone(), state.replica_id);
    let opened = tokio::task::spawn_blocking(move || Storage::open(dir, id)).await;
    let (storage, durable) =
        opened.map_err(|cause| error(&cause))?.map_err(|cause| error(&cause))?;
    let own = settings.replicas.iter().find(|replica| replica.id == state.replica_id);
    // A joining replica starts with no members and receives them through the log.
    let restored = match &durable.snapshot {
        Some(snapshot) => ControlState::restore(&snapshot.data).map_err(|cause| error(&cause))?,
        None => ControlState::new(),
    };
    let membership = match own {
        Some(own) if own.joins => Membership::new([]),
        _ => {
            let first = settings.replicas.iter().filter(|replica| !replica.joins);
            Membership::new(first.map(|replica| replica.id))
        }
    };
    let control = &settings.control;
    let config = ReplicaConfig {
        heartbeat_interval_ms: control.election_timeout_ms / HEARTBEATS_PER_ELECTION_TIMEOUT,
        election_timeout_ms: control.election_timeout_ms,
        leader_lease_ms: control.leader_lease_ms,
        clock_drift_permille: control.clock_drift_permille,
        snapshot_interval_entries: control.snapshot_entries,
        snapshot_interval_bytes: control.snapshot_bytes,
        ..ReplicaConfig::new(state.replica_id, membership)
    };
    let replica =
        Replica::new(config, durable, clock.now_ms(), rng).map_err(|cause| error(&cause))?;
    Ok(OpenedReplica { replica, storage, state: restored })
}
