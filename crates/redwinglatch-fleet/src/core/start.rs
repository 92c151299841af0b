//! Startup of a core process: its identity and its replica of the log.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    path::Path,
};

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{EntryKind, Membership, Replica, ReplicaConfig, Storage};

use crate::{
    FleetError, ProcessSettings,
    clock::Clock,
    state::{FleetState, StateCommand},
};

/// File that stores the id of this replica.
const IDENTITY_FILE: &str = "replica-id";
/// Lowest random id; the ids below belong to the first core processes, in the order of their
/// addresses.
const FIRST_RANDOM_ID: u32 = 1_000;
/// Log entries after which a snapshot is taken; a configuration is the largest of them.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 200;
/// Bytes of log entries after which a snapshot is taken; a small part of the data directory.
const SNAPSHOT_INTERVAL_BYTES: u64 = 2 << 20;
/// Log entries retained before a snapshot, for followers that lag slightly.
const RETAINED_ENTRIES: u64 = 20;

/// The state that a core process starts with.
pub(super) struct StartState {
    pub(super) replica: Replica,
    pub(super) storage: Storage,
    pub(super) state: FleetState,
    /// Last known link addresses of the members of the log, from the disk and the bootstrap seeds.
    pub(super) core_addresses: BTreeMap<u32, SocketAddr>,
    /// Whether this replica must first be added to the log.
    pub(super) is_joining: bool,
    /// Whether this process has just bootstrapped the fleet, so that no other process can have sent
    /// orders to engines before.
    pub(super) is_new_fleet: bool,
}

/// Opens the data directory, or creates it on a new machine.
pub(super) fn open(
    data_dir: &Path,
    settings: &ProcessSettings,
    link: SocketAddr,
    clock: Clock,
) -> Result<StartState, FleetError> {
    fs::create_dir_all(data_dir)?;
    let seeds = seed_links(settings);
    let rank = seeds.iter().position(|seed| *seed == link);
    let log_dir = data_dir.join("log");
    let mut is_joining = false;
    let mut is_new_fleet = false;
    let Identity { id, first_voters } = match read_identity(data_dir)? {
        Some(identity) => identity,
        None => {
            let identity = match rank {
                Some(rank) if settings.bootstrap => {
                    Identity { id: rank as u32 + 1, first_voters: seeds.len() as u32 }
                }
                _ => Identity { id: fastrand::u32(FIRST_RANDOM_ID..u32::MAX), first_voters: 0 },
            };
            is_joining = identity.first_voters == 0;
            is_new_fleet = !is_joining;
            write_identity(data_dir, &identity)?;
            identity
        }
    };
    let initial = Membership::new((1..=first_voters).map(ReplicaId));
    let (storage, durable) = Storage::open(log_dir, ReplicaId(id))?;
    let mut config = ReplicaConfig::new(ReplicaId(id), initial);
    config.snapshot_interval_entries = SNAPSHOT_INTERVAL_ENTRIES;
    config.snapshot_interval_bytes = SNAPSHOT_INTERVAL_BYTES;
    config.retained_entries = RETAINED_ENTRIES;
    let mut state = FleetState::default();
    if let Some(snapshot) = &durable.snapshot {
        state = FleetState::restore(&snapshot.data).map_err(std::io::Error::other)?;
    }
    let mut core_addresses: BTreeMap<u32, SocketAddr> =
        state.cores.iter().map(|(id, (link, _))| (*id, *link)).collect();
    for entry in &durable.entries {
        let EntryKind::Data(data) = &entry.kind else { continue };
        if let Ok(StateCommand::SetCoreAddress { replica, link }) = postcard::from_bytes(data) {
            core_addresses.insert(replica.0, link);
        }
    }
    if id < FIRST_RANDOM_ID && settings.bootstrap {
        for (rank, seed) in (1u32..).zip(&seeds) {
            core_addresses.entry(rank).or_insert(*seed);
        }
    }
    // A replica that stopped before it was added to the log requests that again.
    is_joining |= id >= FIRST_RANDOM_ID && durable.entries.is_empty() && durable.snapshot.is_none();
    let replica = Replica::new(config, durable, clock.now_ms(), fastrand::Rng::new())?;
    Ok(StartState { replica, storage, state, core_addresses, is_joining, is_new_fleet })
}

/// Returns the link addresses of the seeds, in the same order on all of them.
fn seed_links(settings: &ProcessSettings) -> Vec<SocketAddr> {
    let mut links: Vec<_> =
        settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.link_port)).collect();
    links.sort_unstable();
    links.dedup();
    links
}

/// The identity of this replica of the log.
#[derive(Debug)]
struct Identity {
    id: u32,
    /// Number of replicas that formed the log; 0 for a replica that joined later.
    first_voters: u32,
}

fn read_identity(data_dir: &Path) -> Result<Option<Identity>, FleetError> {
    match fs::read_to_string(data_dir.join(IDENTITY_FILE)) {
        Ok(text) => {
            let mut numbers = text.split_whitespace().map(str::parse::<u32>);
            match (numbers.next(), numbers.next()) {
                (Some(Ok(id)), Some(Ok(first_voters))) => Ok(Some(Identity { id, first_voters })),
                // An incompletely written id was never used: the id is synced before the log is
                // created.
                _ => Ok(None),
            }
        }
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn write_identity(data_dir: &Path, identity: &Identity) -> Result<(), FleetError> {
    let temporary_path = data_dir.join("replica-id.new");
    let mut file = File::create(&temporary_path)?;
    write!(file, "{} {}", identity.id, identity.first_voters)?;
    file.sync_all()?;
    fs::rename(&temporary_path, data_dir.join(IDENTITY_FILE))?;
    File::open(data_dir)?.sync_all()?;
    Ok(())
}
