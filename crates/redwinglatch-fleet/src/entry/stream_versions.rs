//! The software versions that began streams, as one entry process knows them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use smallvec::SmallVec;

use crate::{
    expiring_map::ExpiringMap,
    ids::{SoftwareVersion, StreamKey},
    message::StreamVersionReply,
};

/// Maximum number of streams whose versions are remembered.
const MAX_STREAMS: usize = 8_192;
/// Time for which a stream may be in progress, if no route has a longer timeout.
const MIN_LIFETIME_MS: u64 = 10_000;
/// Time by which a stream may outlast the timeout of its route.
const LIFETIME_MARGIN_MS: u64 = 5_000;

/// A version of a service.
type ServiceVersion = (Box<str>, SoftwareVersion);

/// Returns for how long a stream of a route with this timeout may be in progress.
pub(crate) fn stream_lifetime_ms(timeout_ms: u64) -> u64 {
    MIN_LIFETIME_MS.max(timeout_ms.saturating_add(LIFETIME_MARGIN_MS))
}

/// The versions that began streams, and those under which streams in progress may have begun.
///
/// What servers of two versions write doesn't fit together, so a stream goes on only at the version that began
/// it. A caller may take its stream up at any process, after the one that began it is gone. While a service has
/// several versions, each process therefore tells all core processes which version began a stream, and the
/// process that takes it up asks them.
#[derive(Debug)]
pub(super) struct StreamVersions {
    began: ExpiringMap<StreamKey, SoftwareVersion>,
    lifetime_ms: u64,
    /// The versions on the backend list.
    listed: BTreeSet<ServiceVersion>,
    /// Versions that are no longer listed, with the time since when.
    unlisted_ms: HashMap<ServiceVersion, u64>,
    /// The versions that each connected core process has announced.
    announced: BTreeMap<SocketAddr, BTreeSet<ServiceVersion>>,
    first_list_ms: Option<u64>,
    /// The start of the last fetch of the list by this process itself.
    own_fetch_ms: Option<u64>,
}

/// The facts by which the version is chosen at which a stream goes on that a caller takes up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamQuestion<'a> {
    pub(super) stream: StreamKey,
    /// The time at which the take-up was received.
    pub(super) received_ms: u64,
    /// The versions of its services.
    pub(super) possible: &'a [SoftwareVersion],
    /// The answers of the core processes.
    pub(super) replies: &'a [StreamVersionReply],
    /// The core processes to which this process has, or had a moment ago, a link.
    pub(super) cores: usize,
}

impl StreamQuestion<'_> {
    /// Returns whether half of the core processes answer that they are current.
    ///
    /// A single one may stand still and go on together with this process, because both are on the same machine, or
    /// may be cut off with it, and not know it yet.
    pub(super) fn has_current_replies(&self) -> bool {
        let current = self.replies.iter().filter(|reply| reply.is_current).count();
        current > 0 && 2 * current >= self.cores
    }
}

impl Default for StreamVersions {
    fn default() -> StreamVersions {
        StreamVersions {
            began: ExpiringMap::new(MAX_STREAMS),
            lifetime_ms: MIN_LIFETIME_MS,
            listed: BTreeSet::new(),
            unlisted_ms: HashMap::new(),
            announced: BTreeMap::new(),
            first_list_ms: None,
            own_fetch_ms: None,
        }
    }
}

impl StreamVersions {
    /// Keeps streams for as long as one of a route with this timeout may be in progress.
    pub(super) fn extend_lifetime(&mut self, timeout_ms: u64) {
        self.lifetime_ms = self.lifetime_ms.max(stream_lifetime_ms(timeout_ms));
    }

    /// Records the versions on a new backend list.
    pub(super) fn set_listed(&mut self, now_ms: u64, listed: BTreeSet<ServiceVersion>) {
        self.first_list_ms.get_or_insert(now_ms);
        for removed in self.listed.difference(&listed) {
            self.unlisted_ms.insert(removed.clone(), now_ms);
        }
        let lifetime_ms = self.lifetime_ms;
        self.unlisted_ms.retain(|version, since_ms| {
            !listed.contains(version) && now_ms <= *since_ms + lifetime_ms
        });
        self.listed = listed;
    }

    /// Records that this process itself has fetched the backend list.
    pub(super) fn list_fetched(&mut self, started_ms: u64) {
        self.own_fetch_ms = Some(started_ms);
    }

    pub(super) fn set_announced(&mut self, core: SocketAddr, versions: BTreeSet<ServiceVersion>) {
        self.announced.insert(core, versions);
    }

    pub(super) fn core_disconnected(&mut self, core: SocketAddr) {
        self.announced.remove(&core);
    }

    /// Records which version began a stream.
    pub(super) fn record(&mut self, now_ms: u64, stream: StreamKey, version: SoftwareVersion) {
        let oldest_ms = now_ms.saturating_sub(self.lifetime_ms);
        self.began.set(now_ms, oldest_ms, stream, version);
    }

    /// Returns the version that began a stream, if this process knows it.
    pub(super) fn version(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        self.began.get(stream)
    }

    /// Returns the streams that may be in progress.
    pub(super) fn recent(&mut self, now_ms: u64) -> Vec<(StreamKey, SoftwareVersion)> {
        self.began.forget_before(now_ms.saturating_sub(self.lifetime_ms));
        self.began.iter().collect()
    }

    /// Returns whether the backend list of this process has had a version lately.
    pub(super) fn was_listed(&self, version: SoftwareVersion) -> bool {
        let is_version = |(_, listed): &&ServiceVersion| *listed == version;
        self.listed.iter().any(|listed| is_version(&listed))
            || self.unlisted_ms.keys().any(|unlisted| is_version(&unlisted))
    }

    /// Returns the versions under which streams in progress at these services may have begun.
    pub(super) fn possible<'a>(
        &self,
        now_ms: u64,
        services: impl Iterator<Item = &'a str> + Clone,
    ) -> SmallVec<[SoftwareVersion; 4]> {
        let is_recent = |since_ms: u64| now_ms <= since_ms + self.lifetime_ms;
        let unlisted = self.unlisted_ms.iter().filter(|(_, since_ms)| is_recent(**since_ms));
        let all = self
            .listed
            .iter()
            .chain(unlisted.map(|(version, _)| version))
            .chain(self.announced.values().flatten());
        let mut versions: SmallVec<[SoftwareVersion; 4]> = all
            .filter(|(service, _)| services.clone().any(|wanted| *wanted == **service))
            .map(|(_, version)| *version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns whether this process knows by itself all versions under which a stream may have begun that was taken up
    /// at this time.
    ///
    /// A list that was fetched before may lack the version, however young it seems: the clock stands still while the
    /// machine does.
    fn knows_all(&self, now_ms: u64, received_ms: u64) -> bool {
        let is_list_newer = self.own_fetch_ms.is_some_and(|fetch_ms| received_ms <= fetch_ms);
        let has_history =
            self.first_list_ms.is_some_and(|first_ms| first_ms + self.lifetime_ms <= now_ms);
        is_list_newer && has_history
    }

    /// Decides at which version a stream that a caller takes up may go on; `None` if that isn't known.
    ///
    /// Answers a release during which entry processes are killed, cut off or stand still: their streams are taken up
    /// elsewhere, and one that goes on at the other version is worse for its caller than one that is refused.
    pub(super) fn decide(
        &self,
        now_ms: u64,
        question: &StreamQuestion<'_>,
    ) -> Option<SoftwareVersion> {
        if let Some(began) = self
            .version(question.stream)
            .or_else(|| question.replies.iter().find_map(|reply| reply.began))
        {
            return Some(began);
        }
        let is_complete =
            question.has_current_replies() || self.knows_all(now_ms, question.received_ms);
        match question.possible {
            [only] if is_complete => Some(*only),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
