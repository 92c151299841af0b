//! Measures the recovery time of a replica and its append rate with real disk syncs.
//!
//! `cargo run --release -p redwinglatch-log --example recovery -- FOLDER`

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Membership, Replica, ReplicaConfig, Storage};
use tokio::time::{Duration, Instant};

const ID: ReplicaId = ReplicaId(1);

/// About the size of a contract change with a few adapter rules.
const RECORD_BYTES: usize = 200;

/// Duration of each append measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let (Some(folder), None) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: recovery FOLDER");
        return ExitCode::from(2);
    };
    // A subfolder, because it is removed at the end and other content of the folder must stay.
    let folder = PathBuf::from(folder).join(format!("recovery-{}", std::process::id()));
    let result = measure(&folder);
    if let Err(error) = fs::remove_dir_all(&folder) {
        eprintln!("can't remove {}: {error}", folder.display());
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(folder: &Path) -> Result<(), Box<dyn Error>> {
    for records in [1_000, 100_000] {
        let dir = folder.join(records.to_string());
        let (mut storage, mut replica) = open_leader(&dir)?;
        for _ in 0..records / 1000 {
            append(&mut storage, &mut replica, 1000)?;
        }
        drop((storage, replica));
        let start = Instant::now();
        let (_storage, replica) = open(&dir)?;
        let elapsed_ms = start.elapsed().as_secs_f64() * 1e3;
        println!("recovery of {} records: {elapsed_ms:.1} ms", replica.last_index());
    }
    for batch in [1, 16, 256] {
        let (mut storage, mut replica) = open_leader(&folder.join(format!("batch-{batch}")))?;
        let start = Instant::now();
        let mut syncs = 0;
        while start.elapsed() < MEASUREMENT_DURATION {
            append(&mut storage, &mut replica, batch)?;
            syncs += 1;
        }
        let elapsed_s = start.elapsed().as_secs_f64();
        let rate_per_s = f64::from(syncs) * batch as f64 / elapsed_s;
        let sync_ms = elapsed_s * 1e3 / f64::from(syncs);
        println!("batch {batch}: {rate_per_s:.0} appends/s, {sync_ms:.2} ms for each sync");
    }
    Ok(())
}

fn open(dir: &Path) -> Result<(Storage, Replica), Box<dyn Error>> {
    let (storage, durable_state) = Storage::open(dir, ID)?;
    let config = ReplicaConfig::new(ID, Membership::new([ID]));
    let replica = Replica::new(config, durable_state, 0, fastrand::Rng::with_seed(1))?;
    Ok((storage, replica))
}

/// Opens a replica that is the only voter, so that it becomes the leader and commits alone.
fn open_leader(dir: &Path) -> Result<(Storage, Replica), Box<dyn Error>> {
    let (mut storage, mut replica) = open(dir)?;
    replica.tick(replica.next_tick_ms());
    drive(&mut storage, &mut replica)?;
    Ok((storage, replica))
}

fn append(
    storage: &mut Storage,
    replica: &mut Replica,
    batch: usize,
) -> Result<(), Box<dyn Error>> {
    for _ in 0..batch {
        replica.propose(vec![7; RECORD_BYTES], 0)?;
    }
    drive(storage, replica)
}

fn drive(storage: &mut Storage, replica: &mut Replica) -> Result<(), Box<dyn Error>> {
    loop {
        let effects = replica.take_effects();
        if effects.is_empty() {
            return Ok(());
        }
        if let Some(write) = effects.write {
            storage.save(&effects)?;
            replica.persisted(write);
        }
    }
}
