//! The backend list that a core process announces, and the changes that led to it.

use std::collections::{HashMap, VecDeque};

use crate::{
    ids::{BackendKey, FnvHasher},
    link::Frame,
    message::{Backend, BackendChanges, FleetMessage},
};

/// Number of changes that are kept for entry processes with an older list.
const MAX_CHANGES: usize = 64;

/// The digest of no list, and of one that an entry process fetched itself.
const NO_LIST_DIGEST: u64 = 0;

/// One change of the list.
#[derive(Debug)]
struct ListChange {
    /// The digest of the list before the change.
    from: u64,
    changed: Vec<Backend>,
    removed: Vec<BackendKey>,
}

/// The newest backend list, for entry processes that request it.
///
/// Answers a fleet in which servers come and go all the time: each change of a list of thousands would
/// otherwise send all of it to hundreds of entry processes. A link that got an older list gets the changes
/// since then. An entry process that meanwhile got a list elsewhere ignores them and requests again, and
/// gets the whole list.
#[derive(Debug, Default)]
pub(super) struct AnnouncedBackends {
    /// The servers in the order of their keys.
    backends: Vec<Backend>,
    digest: u64,
    /// The last changes, the oldest first.
    changes: VecDeque<ListChange>,
    /// The digest of the list that each link got last.
    sent: HashMap<u64, u64>,
    /// Encoded messages for the current list by the digest that they start from; `None` is the whole list.
    frames: HashMap<Option<u64>, Frame>,
}

impl AnnouncedBackends {
    pub(super) fn list(&self) -> &[Backend] {
        &self.backends
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Replaces the list.
    pub(super) fn set(&mut self, mut backends: Vec<Backend>) {
        backends.sort_unstable_by_key(|backend| backend.key);
        backends.dedup_by_key(|backend| backend.key);
        if backends == self.backends {
            return;
        }
        let mut digest = FnvHasher::new();
        digest.write(&postcard::to_allocvec(&backends).expect("the list encodes into memory"));
        for backend in &backends {
            digest.write(backend.software_version.as_bytes());
        }
        let changed = backends.iter().filter(|new| find(&self.backends, new.key) != Some(*new));
        let removed = self.backends.iter().filter(|old| find(&backends, old.key).is_none());
        self.changes.push_back(ListChange {
            from: self.digest,
            changed: changed.cloned().collect(),
            removed: removed.map(|old| old.key).collect(),
        });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.digest = digest.0;
        self.backends = backends;
        self.frames.clear();
    }

    /// Returns the message that brings the entry process of a link to the current list.
    pub(super) fn frame_for(&mut self, link: u64) -> Frame {
        let sent = self.sent.insert(link, self.digest);
        let is_kept = |from: &u64| self.changes.iter().any(|change| change.from == *from);
        let from =
            sent.filter(|from| ![NO_LIST_DIGEST, self.digest].contains(from) && is_kept(from));
        if let Some(frame) = self.frames.get(&from) {
            return frame.clone();
        }
        let message = match from {
            Some(from) => {
                let changes = self.changes_since(from);
                let versions = Backend::versions(&changes.changed);
                FleetMessage::VersionedBackendChanges { changes, versions }
            }
            None => FleetMessage::VersionedBackends {
                digest: self.digest,
                entries: self.backends.clone(),
                versions: Backend::versions(&self.backends),
            },
        };
        let frame = Frame::encode(&message);
        self.frames.insert(from, frame.clone());
        frame
    }

    /// Forgets a link that was closed.
    pub(super) fn link_closed(&mut self, link: u64) {
        self.sent.remove(&link);
    }

    /// Joins the changes since the list with the digest `from`, which is among them.
    fn changes_since(&self, from: u64) -> BackendChanges {
        // A list may occur again, so the search goes backwards.
        let first = self.changes.iter().rposition(|change| change.from == from).unwrap_or_default();
        let mut joined: HashMap<BackendKey, Option<Backend>> = HashMap::new();
        for change in self.changes.iter().skip(first) {
            joined.extend(change.removed.iter().map(|key| (*key, None)));
            joined.extend(change.changed.iter().map(|new| (new.key, Some(new.clone()))));
        }
        let mut changes = BackendChanges { from, digest: self.digest, ..BackendChanges::default() };
        for (key, backend) in joined {
            match backend {
                Some(backend) => changes.changed.push(backend),
                None => changes.removed.push(key),
            }
        }
        changes
    }
}

/// Finds a server in a list that is in the order of the keys.
fn find(backends: &[Backend], key: BackendKey) -> Option<&Backend> {
    let at = backends.binary_search_by_key(&key, |backend| backend.key).ok()?;
    Some(&backends[at])
}

#[cfg(test)]
mod tests;
