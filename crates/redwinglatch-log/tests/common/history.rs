//! The history of a simulated cluster, and checks of new events against it.

use std::collections::HashMap;

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    Effects, Entry, EntryKind, Index, Membership, Replica, Term, encode_record,
};

/// The record of a committed entry.
#[derive(Default)]
pub struct CommittedEntry {
    term: Term,
    digest: u32,
    /// The hash of the log up to and including the entry.
    log_hash: u32,
    /// The term in which the commit was first observed; leaders of later terms must have the entry.
    first_seen_term: Term,
}

pub struct History {
    /// The leader of each term, and the number of committed entries that were checked in its log.
    leaders: HashMap<Term, (ReplicaId, usize)>,
    /// The digest of each entry seen in any log, and the term of the entry before it.
    entries: HashMap<(Index, Term), (u32, Term)>,
    /// The committed entries, by index; index 0 is a placeholder.
    pub committed: Vec<CommittedEntry>,
    /// The latest committed membership.
    pub membership: Membership,
}

fn digest(entry: &Entry) -> u32 {
    let mut record = Vec::new();
    encode_record(entry, &mut record);
    crc32fast::hash(&record)
}

/// Returns the hash of a log that consists of a log with the hash `log_hash` and `entry`.
pub fn extend_log_hash(log_hash: u32, entry: &Entry) -> u32 {
    crc32fast::hash(&[log_hash.to_le_bytes(), digest(entry).to_le_bytes()].concat())
}

impl History {
    pub fn new(membership: Membership) -> History {
        let committed = vec![CommittedEntry::default()];
        History { leaders: HashMap::new(), entries: HashMap::new(), committed, membership }
    }

    /// Checks the log matching property for the entries that a replica appends.
    pub fn check_appended(&mut self, replica: &Replica, effects: &Effects) {
        for entry in &effects.append {
            let prev_term = replica.entry(entry.index - 1).map(|entry| entry.term);
            let Some(prev_term) = prev_term.or((entry.index == 1).then_some(0)) else { continue };
            let new = (digest(entry), prev_term);
            let known = *self.entries.entry((entry.index, entry.term)).or_insert(new);
            assert_eq!(known, new, "logs differ at index {} term {}", entry.index, entry.term);
        }
    }

    /// Checks that a snapshot contains the committed entries; returns its index and log hash.
    pub fn check_snapshot(&self, index: Index, data: &[u8]) -> (Index, u32) {
        let hash = u32::from_le_bytes(data[..4].try_into().unwrap());
        let expected = self.committed[usize::try_from(index).unwrap()].log_hash;
        assert_eq!(hash, expected, "the snapshot at {index} differs from the committed entries");
        (index, hash)
    }

    /// Checks that a committed entry is either the next one or equal to the one recorded before.
    pub fn record_committed(&mut self, entry: &Entry, first_seen_term: Term) {
        let (term, digest) = (entry.term, digest(entry));
        let at = usize::try_from(entry.index).unwrap();
        if let Some(known) = self.committed.get(at) {
            assert_eq!((known.term, known.digest), (term, digest), "committed entry {at} changed");
            return;
        }
        assert_eq!(at, self.committed.len(), "an entry was committed before its predecessor");
        let log_hash = extend_log_hash(self.committed[at - 1].log_hash, entry);
        self.committed.push(CommittedEntry { term, digest, log_hash, first_seen_term });
        if let EntryKind::Membership(membership) = &entry.kind {
            self.membership = membership.clone();
        }
    }

    /// Checks that a leader is the only one of its term and has all entries committed before.
    pub fn check_leader(&mut self, replica: &Replica) {
        let (id, term) = (replica.id(), replica.term());
        let (leader, checked) = self.leaders.entry(term).or_insert((id, 1));
        assert_eq!(*leader, id, "term {term} has two leaders");
        // A leader only appends to its log, so each committed entry is checked once.
        let unchecked = std::mem::replace(checked, self.committed.len());
        for (index, known) in self.committed.iter().enumerate().skip(unchecked) {
            let entry = replica.entry(index as u64);
            // Entries before the snapshot are checked by the snapshot's hash.
            let has_entry = entry.is_none_or(|entry| entry.term == known.term)
                && index as u64 <= replica.last_index();
            let lost = !has_entry && known.first_seen_term < term;
            assert!(!lost, "leader {id} of term {term} lost committed entry {index}");
        }
    }
}
