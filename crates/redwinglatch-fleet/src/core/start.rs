//! The first steps of a core process: its identity and its part in the log.

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
    state::{Command, FleetState},
};

/// Holds the id of this replica.
const IDENTITY_FILE: &str = "replica-id";
/// Ids below are those of the first core processes, in the order of their addresses.
const FIRST_RANDOM_ID: u32 = 1_000;
/// Entries after which a snapshot is taken; a configuration is the largest of them.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 200;
/// Bytes of entries after which a snapshot is taken; a small part of the data folder.
const SNAPSHOT_INTERVAL_BYTES: u64 = 2 << 20;
/// Entries kept before a snapshot, for followers that lag a little.
const RETAINED_ENTRIES: u64 = 20;

/// What a core process starts with.
pub(super) struct Started {
    pub(super) replica: Replica,
    pub(super) storage: Storage,
    pub(super) state: FleetState,
    /// Where the members of the log were, as far as the disk tells.
    pub(super) known_cores: BTreeMap<u32, SocketAddr>,
    /// Whether this replica must be added to the log first.
    pub(super) joining: bool,
    /// Whether another process may have given orders to engines before.
    pub(super) fleet_is_new: bool,
}

/// Opens the data folder, or creates it on a new machine.
pub(super) fn open(
    folder: &Path,
    settings: &ProcessSettings,
    link: SocketAddr,
    clock: Clock,
) -> Result<Started, FleetError> {
    fs::create_dir_all(folder)?;
    let seeds = first_cores(settings);
    let rank = seeds.iter().position(|seed| *seed == link);
    let log_folder = folder.join("log");
    let mut joining = false;
    let mut fleet_is_new = false;
    let Identity { id, first_voters } = match read_identity(folder)? {
        Some(identity) => identity,
        None => {
            let identity = match rank {
                Some(rank) if settings.bootstrap => {
                    Identity { id: rank as u32 + 1, first_voters: seeds.len() as u32 }
                }
                _ => Identity { id: fastrand::u32(FIRST_RANDOM_ID..u32::MAX), first_voters: 0 },
            };
            joining = identity.first_voters == 0;
            fleet_is_new = !joining;
            write_identity(folder, &identity)?;
            identity
        }
    };
    let initial = Membership::new((1..=first_voters).map(ReplicaId));
    let (storage, durable) = Storage::open(log_folder, ReplicaId(id))?;
    let mut config = ReplicaConfig::new(ReplicaId(id), initial);
    config.snapshot_interval_entries = SNAPSHOT_INTERVAL_ENTRIES;
    config.snapshot_interval_bytes = SNAPSHOT_INTERVAL_BYTES;
    config.retained_entries = RETAINED_ENTRIES;
    let mut state = FleetState::default();
    if let Some(snapshot) = &durable.snapshot {
        state = FleetState::restore(&snapshot.data).map_err(std::io::Error::other)?;
    }
    let mut known_cores: BTreeMap<u32, SocketAddr> =
        state.cores.iter().map(|(id, (link, _))| (*id, *link)).collect();
    for entry in &durable.entries {
        let EntryKind::Data(data) = &entry.kind else { continue };
        if let Ok(Command::LocateCore { replica, link }) = postcard::from_bytes(data) {
            known_cores.insert(replica.0, link);
        }
    }
    if id < FIRST_RANDOM_ID && settings.bootstrap {
        for (rank, seed) in (1u32..).zip(&seeds) {
            known_cores.entry(rank).or_insert(*seed);
        }
    }
    // A replica that stopped before it was added to the log asks again.
    joining |= id >= FIRST_RANDOM_ID && durable.entries.is_empty() && durable.snapshot.is_none();
    let replica = Replica::new(config, durable, clock.now_ms(), fastrand::Rng::new())?;
    Ok(Started { replica, storage, state, known_cores, joining, fleet_is_new })
}

/// Where the seeds accept connections of the fleet, in the same order on all of them.
fn first_cores(settings: &ProcessSettings) -> Vec<SocketAddr> {
    let mut links: Vec<_> =
        settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.link_port)).collect();
    links.sort_unstable();
    links.dedup();
    links
}

/// Which replica of the log this is.
#[derive(Debug)]
struct Identity {
    id: u32,
    /// How many replicas formed the log, 0 for a replica that joined later.
    first_voters: u32,
}

fn read_identity(folder: &Path) -> Result<Option<Identity>, FleetError> {
    match fs::read_to_string(folder.join(IDENTITY_FILE)) {
        Ok(text) => {
            let mut numbers = text.split_whitespace().map(str::parse::<u32>);
            match (numbers.next(), numbers.next()) {
                (Some(Ok(id)), Some(Ok(first_voters))) => Ok(Some(Identity { id, first_voters })),
                // A torn file was never relied on: the id is synced before the log is created.
                _ => Ok(None),
            }
        }
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn write_identity(folder: &Path, identity: &Identity) -> Result<(), FleetError> {
    let temporary = folder.join("replica-id.new");
    let mut file = File::create(&temporary)?;
    write!(file, "{} {}", identity.id, identity.first_voters)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(IDENTITY_FILE))?;
    File::open(folder)?.sync_all()?;
    Ok(())
}
