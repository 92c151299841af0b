//! The links of a core process to entry processes, and the list of entry processes for callers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use crate::{
    link::{Frame, LinkSender},
    message::{EntryEndpoint, EntryEndpointChanges, EntryHello, FleetMessage, LogProgress},
};

/// Interval between messages about entry processes that have become ready or no longer are. It
/// bounds the messages while a whole fleet starts or restarts.
const ENDPOINT_CHANGES_INTERVAL_MS: u64 = 250;
/// Frames that may wait for one slow entry process: the whole state of a fleet with thousands of engines, and
/// a configuration of the largest size, 1 MiB, which may hardly compress. An entry process that starts requests both
/// at once. The lists and configurations among them are held once for all links.
const MAX_QUEUED_BYTES: usize = 2 << 20;

struct EntryLink {
    sender: LinkSender,
    hello: EntryHello,
    is_ready: bool,
    /// Whether the process understands `LogProgress`.
    understands_progress: bool,
}

/// The entry processes that are connected to a core process.
///
/// Each of them gets the whole list of ready entry processes once, and then the changes of each
/// interval. A fleet of n processes that starts costs n² entries in total, and not n³.
#[derive(Default)]
pub(super) struct EntryLinks {
    links: HashMap<u64, EntryLink>,
    /// The ready entry processes that all links know.
    announced: BTreeMap<SocketAddr, Box<str>>,
    has_changed: bool,
    changes_due_ms: u64,
}

impl EntryLinks {
    pub(super) fn len(&self) -> usize {
        self.links.len()
    }

    /// Adds the link of an entry process, which replaces an older one of the same process. Later links have higher numbers;
    /// the hello of an abandoned one may have been held up.
    pub(super) fn insert(&mut self, link: u64, sender: LinkSender, hello: EntryHello) {
        sender.set_max_queued_bytes(MAX_QUEUED_BYTES);
        let is_abandoned = self
            .links
            .iter()
            .any(|(other, entry)| *other > link && entry.hello.front == hello.front);
        if is_abandoned {
            return;
        }
        self.links.retain(|_, other| other.hello.front != hello.front);
        let endpoints = self.announced.iter().map(|(front, data_centre)| EntryEndpoint {
            front: *front,
            data_centre: data_centre.clone(),
        });
        sender.send(&FleetMessage::EntryEndpoints(endpoints.collect()));
        self.links.insert(
            link,
            EntryLink { sender, hello, is_ready: false, understands_progress: false },
        );
        self.has_changed = true;
    }

    /// Removes a link, and returns the address of its entry process unless the link was replaced.
    pub(super) fn remove(&mut self, link: u64) -> Option<SocketAddr> {
        let removed = self.links.remove(&link)?;
        self.has_changed = true;
        Some(removed.hello.front)
    }

    /// Returns whether a link is that of an entry process.
    pub(super) fn contains(&self, link: u64) -> bool {
        self.links.contains_key(&link)
    }

    /// Records whether an entry process serves callers; returns false if the link is unknown.
    pub(super) fn set_ready(&mut self, link: u64, is_ready: bool) -> bool {
        let Some(entry) = self.links.get_mut(&link) else { return false };
        self.has_changed |= entry.is_ready != is_ready;
        entry.is_ready = is_ready;
        true
    }

    /// Records that an entry process understands `LogProgress`, and sends it the first one.
    pub(super) fn understands_progress(&mut self, link: u64, progress: LogProgress) {
        if let Some(entry) = self.links.get_mut(&link) {
            entry.understands_progress = true;
            entry.sender.send(&FleetMessage::LogProgress(progress));
        }
    }

    /// Sends the progress in the log to the entry processes that understand it.
    pub(super) fn broadcast_progress(&self, progress: LogProgress) {
        let frame = Frame::encode(&FleetMessage::LogProgress(progress));
        for entry in self.links.values().filter(|entry| entry.understands_progress) {
            entry.sender.send_frame(frame.clone());
        }
    }

    /// Announces the changes of the last interval.
    pub(super) fn tick(&mut self, now_ms: u64) {
        if !self.has_changed || now_ms < self.changes_due_ms {
            return;
        }
        self.has_changed = false;
        self.changes_due_ms = now_ms + ENDPOINT_CHANGES_INTERVAL_MS;
        let ready = self.links.values().filter(|entry| entry.is_ready);
        let ready: BTreeMap<SocketAddr, Box<str>> =
            ready.map(|entry| (entry.hello.front, entry.hello.data_centre.clone())).collect();
        let added = ready.iter().filter(|(front, _)| !self.announced.contains_key(front));
        let added = added.map(|(front, data_centre)| EntryEndpoint {
            front: *front,
            data_centre: data_centre.clone(),
        });
        let removed = self.announced.keys().filter(|front| !ready.contains_key(front));
        let changes =
            EntryEndpointChanges { added: added.collect(), removed: removed.copied().collect() };
        self.announced = ready;
        if changes != EntryEndpointChanges::default() {
            self.broadcast(&FleetMessage::EntryEndpointChanges(changes));
        }
    }

    /// Sends a message to one entry process, unless its link is closed.
    pub(super) fn send(&self, link: u64, message: &FleetMessage) {
        if let Some(entry) = self.links.get(&link) {
            entry.sender.send(message);
        }
    }

    /// Sends a message to all entry processes.
    pub(super) fn broadcast(&self, message: &FleetMessage) {
        if self.links.is_empty() {
            return;
        }
        let frame = Frame::encode(message);
        for entry in self.links.values() {
            entry.sender.send_frame(frame.clone());
        }
    }
}

#[cfg(test)]
mod tests;
