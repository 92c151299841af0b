//! What happened in a cluster so far, and the checks of new events against it.

use std::collections::HashMap;

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    Effects, Entry, EntryKind, Index, Membership, Replica, Term, encode_record,
};

/// A committed entry.
#[derive(Default)]
pub struct Committed {
    term: Term,
    digest: u32,
    /// The hash of the log up to the entry.
    hash: u32,
    /// The term in which the commit was first seen; leaders of later terms have the entry.
    seen_in: Term,
}

pub struct History {
    /// The leader of each term and how many committed entries were looked for in its log.
    leaders: HashMap<Term, (ReplicaId, usize)>,
    /// Each entry seen in any log, with the term before it.
    entries: HashMap<(Index, Term), (u32, Term)>,
    /// The committed entries, by index.
    pub committed: Vec<Committed>,
    /// The newest committed membership.
    pub membership: Membership,
}

fn digest(entry: &Entry) -> u32 {
    let mut record = Vec::new();
    encode_record(entry, &mut record);
    crc32fast::hash(&record)
}

/// The hash of a log with the hash `hash` and one more entry.
pub fn chain(hash: u32, entry: &Entry) -> u32 {
    crc32fast::hash(&[hash.to_le_bytes(), digest(entry).to_le_bytes()].concat())
}

impl History {
    pub fn new(membership: Membership) -> History {
        let committed = vec![Committed::default()];
        History { leaders: HashMap::new(), entries: HashMap::new(), committed, membership }
    }

    /// Checks log matching for the entries that a replica appends.
    pub fn register(&mut self, replica: &Replica, effects: &Effects) {
        for entry in &effects.append {
            let before = replica.entry(entry.index - 1).map(|entry| entry.term);
            let Some(before) = before.or((entry.index == 1).then_some(0)) else { continue };
            let new = (digest(entry), before);
            let known = *self.entries.entry((entry.index, entry.term)).or_insert(new);
            assert_eq!(known, new, "logs differ at index {} term {}", entry.index, entry.term);
        }
    }

    /// Checks that a snapshot holds the committed entries; returns its index and hash.
    pub fn check_snapshot(&self, index: Index, data: &[u8]) -> (Index, u32) {
        let hash = u32::from_le_bytes(data[..4].try_into().unwrap());
        let expected = self.committed[usize::try_from(index).unwrap()].hash;
        assert_eq!(hash, expected, "the snapshot at {index} differs from the committed entries");
        (index, hash)
    }

    /// Checks that a committed entry is new or the same as before.
    pub fn record_committed(&mut self, entry: &Entry, seen_in: Term) {
        let (term, digest) = (entry.term, digest(entry));
        let at = usize::try_from(entry.index).unwrap();
        if let Some(known) = self.committed.get(at) {
            assert_eq!((known.term, known.digest), (term, digest), "committed entry {at} changed");
            return;
        }
        assert_eq!(at, self.committed.len(), "an entry was committed before its predecessor");
        let hash = chain(self.committed[at - 1].hash, entry);
        self.committed.push(Committed { term, digest, hash, seen_in });
        if let EntryKind::Membership(membership) = &entry.kind {
            self.membership = membership.clone();
        }
    }

    /// Checks that a leader is the only one of its term and has what was committed before.
    pub fn check_leader(&mut self, replica: &Replica) {
        let (id, term) = (replica.id(), replica.term());
        let (leader, checked) = self.leaders.entry(term).or_insert((id, 1));
        assert_eq!(*leader, id, "term {term} has two leaders");
        // A leader only adds to its log, so each committed entry is looked for once.
        let unchecked = std::mem::replace(checked, self.committed.len());
        for (index, known) in self.committed.iter().enumerate().skip(unchecked) {
            let entry = replica.entry(index as u64);
            // Entries before the snapshot are checked by its hash.
            let kept = entry.is_none_or(|entry| entry.term == known.term)
                && index as u64 <= replica.last_index();
            let lost = !kept && known.seen_in < term;
            assert!(!lost, "leader {id} of term {term} lost committed entry {index}");
        }
    }
}
