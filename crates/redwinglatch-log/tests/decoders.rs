//! Property tests of the decoders, which read bytes from disks and peers: they must neither panic
//! nor allocate much more memory than their input has bytes.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck, TestResult};
use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    AppendResult, DurableState, Entry, EntryKind, LeaderStamp, LogMessage, MAX_MESSAGE_BYTES,
    Membership, MessageError, MessageKind, RecordError, Replica, ReplicaConfig, decode_record,
    encode_record,
};

/// Maximum memory that decoded entries take per byte of input: an empty entry takes 3 bytes in a
/// message and [`size_of::<Entry>`] in memory, and a list may have twice the capacity it needs.
const MAX_ALLOCATED_BYTES_PER_INPUT_BYTE: usize = 2 * size_of::<Entry>();

/// Returns a checker with a fixed seed, so that the result is the same in each run.
fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 20)).tests(20_000)
}

fn entry(index: u64, kind: EntryKind) -> Entry {
    Entry { index, term: 1, kind }
}

fn sample_entries() -> Vec<Entry> {
    let membership = Membership::new([1, 2, 3].map(ReplicaId));
    vec![
        entry(5, EntryKind::Empty),
        entry(6, EntryKind::Data(Bytes::from_static(b"some data"))),
        entry(7, EntryKind::Membership(membership)),
    ]
}

fn sample_messages() -> Vec<LogMessage> {
    let stamp = LeaderStamp { read_round: 2, sent_ms: 900 };
    let append = |prev_index, prev_term, entries| MessageKind::Append {
        prev_index,
        prev_term,
        entries,
        commit_index: 6,
        stamp,
    };
    let chunk = MessageKind::SnapshotChunk {
        index: 9,
        snapshot_term: 1,
        membership: Membership::new([1, 2].map(ReplicaId)),
        total_bytes: 12,
        offset: 0,
        data: Bytes::from_static(b"chunk"),
        stamp,
    };
    let conflict = AppendResult::Conflict { prev_index: 0, term: Some(1), first_index: 1 };
    let kinds = [
        append(4, 1, sample_entries()),
        append(0, 0, Vec::new()),
        chunk,
        MessageKind::AppendReply { stamp, result: AppendResult::Matched { index: 1 } },
        MessageKind::AppendReply { stamp, result: conflict },
        MessageKind::SnapshotReply { stamp, index: 1, next_offset: 4 },
        MessageKind::Vote { last_index: 1, last_term: 1, is_transfer: true },
        MessageKind::Restarted { last_index: 1, last_term: 1 },
        MessageKind::VoteAfterRestart { last_index: 1, last_term: 1 },
    ];
    kinds.into_iter().map(|kind| LogMessage { term: 1, kind }).collect()
}

/// Corrupts up to three positions, so that most of the input stays valid: replaces a byte, or
/// inserts a long varint in its place.
fn corrupt(mut bytes: Vec<u8>, changes: &[(u16, u8)]) -> Vec<u8> {
    for &(at, byte) in changes.iter().take(3) {
        let at = usize::from(at) % bytes.len();
        match byte {
            0..32 => drop(bytes.splice(at..=at, [0xff; 9].into_iter().chain([1]))),
            _ => bytes[at] = byte,
        }
    }
    bytes
}

fn allocated_bytes(entries: &Vec<Entry>) -> usize {
    let data = |entry: &Entry| if let EntryKind::Data(data) = &entry.kind { data.len() } else { 0 };
    entries.capacity() * size_of::<Entry>() + entries.iter().map(data).sum::<usize>()
}

fn replica() -> Replica {
    let config = ReplicaConfig::new(ReplicaId(1), Membership::new([1, 2, 3].map(ReplicaId)));
    Replica::new(config, DurableState::default(), 0, fastrand::Rng::with_seed(1)).unwrap()
}

fn take_synced(replica: &mut Replica) {
    if let Some(write) = replica.take_effects().write {
        replica.persisted(write);
    }
}

/// Makes the replica the leader of term 1.
fn become_leader(replica: &mut Replica) {
    replica.tick(1600);
    let replies =
        [MessageKind::PreVoteReply { granted: true }, MessageKind::VoteReply { granted: true }];
    for kind in replies {
        replica.step(ReplicaId(2), LogMessage { term: 1, kind }, 1600);
        take_synced(replica);
    }
    assert!(replica.is_leader());
}

/// Decodes `bytes` and passes the message to a follower and a leader; returns whether the memory of
/// the message is bounded.
fn check_message(bytes: &[u8]) -> bool {
    let Ok(message) = LogMessage::decode(bytes) else { return true };
    let is_bounded = match &message.kind {
        MessageKind::Append { entries, .. } => {
            allocated_bytes(entries) <= MAX_ALLOCATED_BYTES_PER_INPUT_BYTE * (bytes.len() + 4)
        }
        MessageKind::SnapshotChunk { data, .. } => data.len() <= bytes.len(),
        _ => true,
    };
    let mut replicas = [replica(), replica()];
    become_leader(&mut replicas[1]);
    for replica in &mut replicas {
        for _ in 0..2 {
            replica.step(ReplicaId(2), message.clone(), 1700);
            take_synced(replica);
        }
        // Whatever the message contains, the lease must expire without further contact.
        assert!(!replica.leader_lease_valid(9000));
        replica.tick(9000);
        take_synced(replica);
    }
    is_bounded
}

/// Guards against a panic on a message from a broken or hostile peer.
#[test]
fn message_decoder_takes_arbitrary_bytes() {
    fn property(bytes: Vec<u8>) -> bool {
        check_message(&bytes)
    }
    checker().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a message that decodes to a different one, and a panic in the replica on a
/// slightly corrupted message.
#[test]
fn message_decoder_takes_corrupted_messages() {
    fn property(which: usize, changes: Vec<(u16, u8)>, cut: u16) -> bool {
        let messages = sample_messages();
        let message = &messages[which % messages.len()];
        let bytes = message.encode().unwrap();
        assert_eq!(LogMessage::decode(&bytes).as_ref(), Ok(message));
        let cut = usize::from(cut) % bytes.len();
        let bytes = corrupt(bytes, &changes);
        check_message(&bytes) && check_message(&bytes[..cut])
    }
    checker().quickcheck(property as fn(usize, Vec<(u16, u8)>, u16) -> bool);
}

/// Guards against an allocation for a length prefix that is larger than the input: such an
/// allocation would abort the process.
#[test]
fn length_prefixes_cause_no_allocation() {
    let huge = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    // A term, then an append with a huge number of entries or a chunk with a huge number of voters.
    for head in [&[3, 4, 0, 0][..], &[3, 6, 9, 3]] {
        let bytes = [head, &huge, &[0; 64]].concat();
        assert!(matches!(LogMessage::decode(&bytes), Err(MessageError::Malformed(_))));
    }
    let record = [&u32::MAX.to_le_bytes()[..], &[0; 64]].concat();
    assert_eq!(decode_record(&record), Err(RecordError::BadLength(u32::MAX)));
    let too_large = vec![0; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(LogMessage::decode(&too_large), Err(MessageError::TooLarge { .. })));
}

/// Guards against a panic on a damaged disk.
#[test]
fn record_decoder_takes_arbitrary_bytes() {
    fn property(bytes: Vec<u8>) -> bool {
        decode_record(&bytes).is_err()
    }
    checker().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a corrupted record that is accepted.
#[test]
fn record_decoder_rejects_corrupted_records() {
    fn property(which: usize, at: usize, flip: u8, cut: usize) -> TestResult {
        if flip == 0 {
            return TestResult::discard();
        }
        let entries = sample_entries();
        let mut record = Vec::new();
        encode_record(&entries[which % entries.len()], &mut record);
        let cut = cut % record.len();
        let cut_is_rejected = decode_record(&record[..cut]) == Err(RecordError::Incomplete);
        let at = at % record.len();
        record[at] ^= flip;
        TestResult::from_bool(cut_is_rejected && decode_record(&record).is_err())
    }
    checker().quickcheck(property as fn(usize, usize, u8, usize) -> TestResult);
}
