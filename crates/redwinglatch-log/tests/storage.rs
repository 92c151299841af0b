//! Tests of the storage: synced state survives crashes, and damaged folders are rejected.

mod common;

use std::{path::PathBuf, sync::Arc};

use bytes::Bytes;
use common::disk::Disk;
use quickcheck::{Gen, QuickCheck};
use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    DurableState, Effects, Entry, EntryKind, HardState, Index, Membership, Snapshot, Storage,
    StorageError, Term, encode_record,
};

const ID: ReplicaId = ReplicaId(7);

fn open(disk: &Disk) -> Result<(Storage, DurableState), StorageError> {
    let (storage, durable) = Storage::open_with("/log", ID, disk.files())?;
    Ok((storage.segment_bytes(150), durable))
}

fn entry(index: Index, term: Term) -> Entry {
    let data = Bytes::from(vec![u8::try_from(index).unwrap(); 20]);
    Entry { index, term, kind: EntryKind::Data(data) }
}

fn entries(indexes: std::ops::RangeInclusive<Index>, term: Term) -> Vec<Entry> {
    indexes.map(|index| entry(index, term)).collect()
}

fn snapshot(index: Index, term: Term) -> Arc<Snapshot> {
    let membership = Membership::new([ID]);
    Arc::new(Snapshot { index, term, membership, data: Bytes::from_static(b"state") })
}

fn hard_state(term: Term) -> HardState {
    HardState { term, voted_for: Some(ID) }
}

/// Returns a disk with the entries 1 to 10 of term 1 in several segments.
fn disk_with_log() -> Disk {
    let disk = Disk::default();
    let (mut storage, _) = open(&disk).unwrap();
    let append = entries(1..=10, 1);
    let effects = Effects { append, hard_state: Some(hard_state(1)), ..Effects::default() };
    storage.save(&effects).unwrap();
    assert!(disk.names("segment-").len() > 2);
    disk
}

fn last_segment(disk: &Disk) -> PathBuf {
    disk.names("segment-").pop().unwrap()
}

/// Guards against a restart that loses synced state, and a log with a gap.
#[test]
fn a_restart_reads_the_synced_state() {
    let disk = disk_with_log();
    let (mut storage, durable) = open(&disk).unwrap();
    assert_eq!((durable.hard_state, durable.entries), (hard_state(1), entries(1..=10, 1)));
    let result = storage.append(&[entry(12, 1)]);
    assert!(matches!(result, Err(StorageError::Gap { expected: 11, found: 12 })));
    storage.save(&Effects { snapshot: Some(snapshot(8, 1)), ..Effects::default() }).unwrap();
    storage.save(&Effects { append: entries(11..=12, 2), ..Effects::default() }).unwrap();
    let (_, durable) = open(&disk).unwrap();
    assert_eq!(durable.snapshot, Some(snapshot(8, 1)));
    assert_eq!(durable.entries, [entries(9..=10, 1), entries(11..=12, 2)].concat());
    assert!(!disk.names("segment-").contains(&PathBuf::from("/log/segment-00000000000000000001")));
}

/// Guards against a replica that can't start, or keeps an incomplete record, after a torn write.
#[test]
fn an_incomplete_last_record_is_removed() {
    let disk = disk_with_log();
    let path = last_segment(&disk);
    let whole = disk.read(&path);
    let mut torn = Vec::new();
    encode_record(&entry(11, 1), &mut torn);
    for len in 0..torn.len() {
        // The rest of the record is missing on the disk, or zeros are in its place.
        for zeros in [0, torn.len() - len] {
            disk.overwrite(&path, [&whole, &torn[..len], &vec![0; zeros]].concat());
            let (mut storage, durable) = open(&disk).unwrap();
            assert_eq!(durable.entries, entries(1..=10, 1));
            assert_eq!(disk.read(&path), whole);
            storage.append(&[entry(11, 2)]).unwrap();
            storage.sync().unwrap();
            assert_eq!(open(&disk).unwrap().1.entries[10], entry(11, 2));
        }
    }
}

/// Guards against the loss of synced entries after a damaged record: it must not be taken for a
/// torn write.
#[test]
fn damage_before_valid_records_is_rejected() {
    let disk = disk_with_log();
    for path in disk.names("segment-") {
        let whole = disk.read(&path);
        let mut first = Vec::new();
        encode_record(&entry(1, 1), &mut first);
        let is_last = path == last_segment(&disk);
        for at in 0..first.len() {
            let mut damaged = whole.clone();
            damaged[at] ^= 0x10;
            disk.overwrite(&path, damaged);
            if is_last && whole.len() == first.len() {
                continue;
            }
            match open(&disk).unwrap_err() {
                StorageError::Damaged { path: found, offset: 0, .. } => assert_eq!(found, path),
                error => panic!("unexpected error: {error}"),
            }
        }
        disk.overwrite(&path, whole);
    }
    let path = &disk.names("segment-")[0];
    let mut damaged = disk.read(path);
    damaged[60] ^= 1;
    disk.overwrite(path, damaged);
    let error = open(&disk).unwrap_err().to_string();
    let expected = "file /log/segment-00000000000000000001 is damaged at offset 45: the record's \
                    checksum is wrong, and later files follow";
    assert!(error.starts_with(expected), "{error}");
}

/// Guards against a second attempt after a failure: the kernel may have dropped the pages of a
/// failed sync, so that a second sync succeeds without writing them.
#[test]
fn a_failure_makes_the_storage_unusable() {
    type Inject = fn(&Disk);
    let cases: [(Inject, &str); 2] = [
        (|disk| disk.state().syncs_fail = true, "the sync of"),
        (|disk| disk.state().capacity_bytes = Some(0), "no space left"),
    ];
    for (inject, message) in cases {
        let disk = disk_with_log();
        let (mut storage, _) = open(&disk).unwrap();
        inject(&disk);
        let effects = Effects { append: entries(11..=12, 1), ..Effects::default() };
        let error = storage.save(&effects).unwrap_err();
        assert!(error.to_string().starts_with(message), "{error}");
        disk.end_faults();
        let results = [
            storage.sync(),
            storage.append(&[]),
            storage.save(&effects),
            storage.truncate(3),
            storage.write_hard_state(&hard_state(9)),
            storage.write_snapshot(&snapshot(5, 1)),
            storage.remove_before(5),
        ];
        for result in results {
            assert!(matches!(result, Err(StorageError::Poisoned { .. })), "{result:?}");
        }
        disk.crash(&mut fastrand::Rng::with_seed(3));
        let (_, durable) = open(&disk).unwrap();
        assert_eq!(durable.entries[..10], entries(1..=10, 1));
        assert_eq!(durable.hard_state, hard_state(1));
    }
}

/// Guards against two replicas that mix their logs, and a replica that lost its vote.
#[test]
fn foreign_and_damaged_folders_are_rejected() {
    let disk = disk_with_log();
    match Storage::open_with("/log", ReplicaId(8), disk.files()).unwrap_err() {
        StorageError::OtherReplica { found: ID, expected: ReplicaId(8), .. } => {}
        error => panic!("unexpected error: {error}"),
    }
    let (mut storage, _) = open(&disk).unwrap();
    storage.write_snapshot(&snapshot(4, 1)).unwrap();
    drop(storage);
    for prefix in ["identity", "hard-state", "snapshot-"] {
        let path = disk.names(prefix).pop().unwrap();
        let whole = disk.read(&path);
        for at in 0..whole.len() {
            let mut damaged = whole.clone();
            damaged[at] ^= 4;
            disk.overwrite(&path, damaged);
            assert!(matches!(open(&disk), Err(StorageError::Damaged { .. })), "{prefix} {at}");
        }
        disk.overwrite(&path, whole);
    }
    for prefix in ["hard-state", "identity"] {
        (disk.files().remove)(&disk.names(prefix).pop().unwrap()).unwrap();
        assert!(matches!(open(&disk), Err(StorageError::Damaged { .. })), "{prefix}");
    }
}

/// Returns the kinds of saves after [`disk_with_log`].
fn saves() -> [Effects; 4] {
    [
        // Only a vote.
        Effects { hard_state: Some(hard_state(2)), ..Effects::default() },
        // A vote and entries that replace a part of the log.
        Effects {
            hard_state: Some(hard_state(2)),
            truncate_from: Some(2),
            append: entries(2..=14, 2),
            ..Effects::default()
        },
        // A snapshot of the replica's own log.
        Effects { snapshot: Some(snapshot(8, 1)), ..Effects::default() },
        // A snapshot from the leader that replaces the log, with entries after it.
        Effects {
            hard_state: Some(hard_state(2)),
            snapshot: Some(snapshot(6, 2)),
            truncate_from: Some(0),
            append: entries(7..=9, 2),
            ..Effects::default()
        },
    ]
}

/// Guards against a crash during a save that leaves a state which is neither old nor new.
#[test]
fn a_crash_at_any_operation_leaves_the_old_or_the_new_state() {
    for effects in &saves() {
        let mut finished = false;
        for (operations, seed) in (0..60).flat_map(|count| (0..8).map(move |seed| (count, seed))) {
            let disk = disk_with_log();
            let (mut storage, _) = open(&disk).unwrap();
            disk.state().operations_until_crash = Some(operations);
            let saved = storage.save(effects).is_ok();
            finished |= saved;
            disk.crash(&mut fastrand::Rng::with_seed(seed));
            let (mut storage, durable) = open(&disk).unwrap();
            check_after_crash(effects, &durable, saved);
            let base = durable.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let next = base + durable.entries.len() as u64 + 1;
            storage.append(&[entry(next, 3)]).unwrap();
            storage.sync().unwrap();
            let (_, durable) = open(&disk).unwrap();
            assert_eq!(durable.entries.last(), Some(&entry(next, 3)));
        }
        assert!(finished, "no run reached the end of the save");
    }
}

/// Guards against votes and entries that a killed process has written and not synced: its successor reads them and
/// answers with them, and the next power loss takes them.
#[test]
fn what_a_restart_has_read_survives_a_power_loss() {
    for effects in &saves() {
        for (operations, seed) in (0..60).flat_map(|count| (0..8).map(move |seed| (count, seed))) {
            let disk = disk_with_log();
            let (mut storage, _) = open(&disk).unwrap();
            disk.state().operations_until_crash = Some(operations);
            // Most of the saves are interrupted.
            let _ = storage.save(effects);
            disk.end_faults();
            let (_, read) = open(&disk).unwrap();
            disk.crash(&mut fastrand::Rng::with_seed(seed));
            let (_, durable) = open(&disk).unwrap();
            let parts = |state: DurableState| (state.hard_state, state.snapshot, state.entries);
            let context = format!("killed after {operations} operations, seed {seed}");
            assert_eq!(parts(durable), parts(read), "{context}");
        }
    }
}

/// Guards against a log that can't be read or continued after a write that broke off on a full disk, also if the disk is
/// still full when the process starts again.
#[test]
fn a_log_goes_on_after_its_disk_was_full() {
    let cases = [
        Effects { append: entries(11..=14, 1), ..Effects::default() },
        Effects {
            hard_state: Some(hard_state(2)),
            truncate_from: Some(8),
            append: entries(8..=14, 2),
            ..Effects::default()
        },
        Effects {
            snapshot: Some(snapshot(10, 1)),
            append: entries(11..=12, 1),
            ..Effects::default()
        },
    ];
    for effects in &cases {
        let is_saved = |room| {
            let disk = disk_with_log();
            let (mut storage, _) = open(&disk).unwrap();
            disk.fill(room);
            let saved = storage.save(effects).is_ok();
            drop(storage);
            for _ in 0..3 {
                disk.fill(0);
                let (mut storage, durable) = open(&disk).unwrap();
                check_after_crash(effects, &durable, saved);
                // The removal of an incomplete record has made room.
                disk.fill(0);
                storage.write_hard_state(&hard_state(3)).unwrap_err();
            }
            disk.end_faults();
            let (mut storage, durable) = open(&disk).unwrap();
            check_after_crash(effects, &durable, saved);
            let base = durable.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let next = base + durable.entries.len() as u64 + 1;
            let append = entries(next..=next + 8, 3);
            let later = Effects { hard_state: Some(hard_state(3)), append, ..Effects::default() };
            storage.save(&later).unwrap();
            let (_, durable) = open(&disk).unwrap();
            assert!(durable.entries.ends_with(&later.append), "{room} bytes");
            assert_eq!(durable.hard_state, hard_state(3));
            saved
        };
        assert!((0..2_000).any(is_saved), "no run reached the end of the save");
    }
}

fn check_after_crash(effects: &Effects, durable: &DurableState, saved: bool) {
    let new_hard_state = effects.hard_state.unwrap_or(hard_state(1));
    let base = durable.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    if saved {
        assert_eq!(durable.hard_state, new_hard_state);
        assert_eq!(durable.snapshot, effects.snapshot);
    }
    assert!(durable.hard_state == new_hard_state || durable.hard_state == hard_state(1));
    assert!(durable.snapshot.is_none() || durable.snapshot == effects.snapshot);
    // The log after the snapshot is a prefix of the new log, or of the old one if the snapshot is
    // not the leader's.
    let old = entries(base + 1..=10, 1);
    let kept = effects.truncate_from.map_or(10, |first| first.saturating_sub(1).max(base));
    let new = [entries(base + 1..=kept, 1), effects.append.clone()].concat();
    let found = &durable.entries;
    if saved {
        assert_eq!(*found, new);
    }
    let replaced = base > 0 && effects.truncate_from.is_some();
    assert!(new.starts_with(found) || (!replaced && old.starts_with(found)), "{found:?}");
    if effects.truncate_from.is_none() {
        assert!(found.len() >= old.len(), "synced entries are missing");
    }
}

/// Guards against a power loss that removes a new folder together with the votes in it, because the
/// folder's name in its parent was not synced.
#[test]
fn a_new_folder_is_synced_in_its_parent_before_its_identity_is_written() {
    let disk = Disk::default();
    let mut files = disk.files();
    files.sync_dir =
        Box::new(
            move |path| {
                if path == "/" { Err(std::io::Error::other("injected")) } else { Ok(()) }
            },
        );
    let error = Storage::open_with("/log", ID, files).unwrap_err();
    assert!(matches!(error, StorageError::SyncFailed { .. }), "{error}");
    assert!(disk.names("identity").is_empty());
}

/// Guards against two processes that write to one folder, and runs the storage on a real disk.
#[test]
fn a_real_folder_is_locked_and_read_back() {
    let dir = std::env::temp_dir().join(format!("redwinglatch-log-{}", std::process::id()));
    let (mut storage, _) = Storage::open(&dir, ID).unwrap();
    assert!(matches!(Storage::open(&dir, ID), Err(StorageError::InUse { .. })));
    let append = entries(1..=5, 1);
    storage.save(&Effects { append, ..Effects::default() }).unwrap();
    let append = entries(3..=3, 2);
    storage.save(&Effects { truncate_from: Some(3), append, ..Effects::default() }).unwrap();
    drop(storage);
    let (_, durable) = Storage::open(&dir, ID).unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    assert_eq!(durable.entries, [entries(1..=2, 1), entries(3..=3, 2)].concat());
}

/// Guards against a process that panics on a damaged folder, or takes damage for entries.
#[test]
fn damaged_files_are_an_error_or_a_part_of_the_entries() {
    fn check(which: usize, changes: Vec<(u16, u8)>) -> bool {
        let disk = disk_with_log();
        let paths = disk.names("");
        let path = &paths[which % paths.len()];
        let mut bytes = disk.read(path);
        for (at, change) in changes.into_iter().take(4) {
            if bytes.is_empty() {
                break;
            }
            let at = usize::from(at) % bytes.len();
            match change % 3 {
                0 => bytes.truncate(at),
                1 => drop(bytes.splice(at..at, [0xff; 9])),
                _ => bytes[at] ^= change,
            }
        }
        disk.overwrite(path, bytes);
        match open(&disk) {
            Ok((_, durable)) => entries(1..=10, 1).starts_with(&durable.entries),
            Err(error) => !error.to_string().is_empty(),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20))
        .tests(2_000)
        .quickcheck(check as fn(usize, Vec<(u16, u8)>) -> bool);
}
