//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use crate::{Entry, EntryKind, Index, Membership, Term};

/// The entries after the base index, with the memberships that they define.
#[derive(Debug)]
pub(crate) struct MemoryLog {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// The membership at the base index, then one for each membership entry.
    memberships: Vec<(Index, Membership)>,
}

impl MemoryLog {
    pub(crate) fn new(base_index: Index, base_term: Term, membership: Membership) -> MemoryLog {
        let memberships = vec![(base_index, membership)];
        MemoryLog { base_index, base_term, entries: VecDeque::new(), memberships }
    }

    pub(crate) fn base_index(&self) -> Index {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at `index`, if that is the base index or an entry in memory.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entries from `first` to `last`, both included.
    pub(crate) fn range(&self, first: Index, last: Index) -> Vec<Entry> {
        (first..=last).map_while(|index| self.get(index).cloned()).collect()
    }

    /// Returns the entries from `first` on that are within both limits; at least one if there is
    /// one and `max_entries` is not 0.
    pub(crate) fn batch(&self, first: Index, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut batch: Vec<Entry> = Vec::new();
        let mut size_bytes = 0;
        while let Some(entry) = self.get(first + batch.len() as u64) {
            size_bytes += entry.size_bytes();
            if batch.len() == max_entries || (size_bytes > max_bytes && !batch.is_empty()) {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let EntryKind::Membership(membership) = &entry.kind {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `first` on.
    pub(crate) fn truncate(&mut self, first: Index) {
        let kept = first.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        // The first membership belongs to the base index and stays.
        while self.memberships.len() > 1 && self.memberships.last().is_some_and(|m| m.0 >= first) {
            self.memberships.pop();
        }
    }

    /// Moves the base index forward to `index` and drops the entries up to it.
    pub(crate) fn compact(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        let removed = index - self.base_index;
        self.entries.drain(..usize::try_from(removed).unwrap_or(usize::MAX));
        let newest = self.memberships.partition_point(|membership| membership.0 <= index);
        self.memberships.drain(..newest.saturating_sub(1));
        self.base_index = index;
        self.base_term = term;
    }

    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index of the entry that defined the current membership.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns the membership as of the entry at `index`.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        let newest = self.memberships.partition_point(|membership| membership.0 <= index);
        &self.memberships[newest.saturating_sub(1)].1
    }

    /// Returns the first index, at or after `floor`, of the run of entries with the same term that
    /// ends at `index`.
    pub(crate) fn first_index_of_term_run(&self, index: Index, floor: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > floor && first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Returns the last index at or before `index` whose term is at most `term`.
    pub(crate) fn last_index_not_after_term(&self, index: Index, term: Term) -> Index {
        let mut last = index.min(self.last_index());
        while last > self.base_index && self.term_at(last).is_some_and(|at| at > term) {
            last -= 1;
        }
        last
    }
}
