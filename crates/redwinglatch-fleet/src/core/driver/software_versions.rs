//! Software versions of services, and the streams that they began.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use redwinglatch_log::Term;
use redwinglatch_routing::RequestKind;

use crate::{
    core::stream_records::StreamRecord,
    entry::stream_lifetime_ms,
    expiring_map::ExpiringMap,
    ids::{BackendKey, SoftwareVersion, StreamKey},
    link::LinkSender,
    message::{Backend, FleetMessage, StreamVersionReply},
    state::StateCommand,
};

use super::Driver;

/// Maximum number of streams whose versions are remembered.
const MAX_STREAMS: usize = 65_536;
/// Interval between proposals to record a version that is new, or to remove one that is no longer used.
const PROPOSAL_INTERVAL_MS: u64 = 1_000;
/// Time without a message of the leader after which this process may not know the newest state.
const MAX_LEADER_SILENCE_MS: u64 = 1_000;

/// Time for which servers of a version that isn't recorded are withheld.
const MAX_WITHHELD_MS: u64 = 10_000;

/// A service and the name of one of its software versions.
type NamedVersion = (Box<str>, Box<str>);

/// How far a process has come in the replicated log.
#[derive(Debug, Clone, Copy)]
struct LogPosition {
    term: Term,
    /// The term of the last entry that was applied.
    applied_term: Term,
    is_leader: bool,
    /// The time of the last message of the leader, if there is another one.
    leader_heard_ms: Option<u64>,
}

impl LogPosition {
    /// Returns whether all that was committed before the present leader began is applied. The state of a process
    /// that has just started may be much older, although it hears the leader.
    fn is_current(&self, now_ms: u64) -> bool {
        let hears_leader =
            self.leader_heard_ms.is_some_and(|heard_ms| now_ms <= heard_ms + MAX_LEADER_SILENCE_MS);
        self.applied_term == self.term && (self.is_leader || hears_leader)
    }
}

/// Returns the names of a server's service and software version.
fn names_of(backend: &Backend) -> (&str, &str) {
    (&backend.service, &backend.software_version)
}

/// Software versions that the replicated log doesn't have yet.
///
/// Answers the loss of all processes just after a version has come: what began at it must be told from streams of
/// other versions, also if its servers are gone by then. Its servers are therefore announced once the log has the
/// version, unless the service has no other servers or that takes too long.
#[derive(Debug, Default)]
pub(super) struct UnrecordedVersions {
    listed_since_ms: HashMap<NamedVersion, u64>,
    /// Versions whose servers were announced nevertheless; they aren't withheld again.
    admitted: BTreeSet<NamedVersion>,
    /// Whether this process has once known all that the log has. Before, it may know fewer versions than it announced
    /// before its start.
    is_log_known: bool,
}

impl UnrecordedVersions {
    /// Returns the listed servers that may be announced.
    fn announced(
        &mut self,
        now_ms: u64,
        listed: &[Backend],
        recorded: &BTreeSet<NamedVersion>,
    ) -> Vec<Backend> {
        let versions = versions_of(listed);
        self.listed_since_ms
            .retain(|version, _| versions.contains(version) && !recorded.contains(version));
        self.admitted.retain(|version| versions.contains(version));
        let mut withheld: Vec<&NamedVersion> = Vec::new();
        for version in versions.difference(recorded) {
            let since_ms = *self.listed_since_ms.entry(version.clone()).or_insert(now_ms);
            let has_taken_long = since_ms + MAX_WITHHELD_MS <= now_ms;
            let may_withhold = self.is_log_known && has_other_servers(version, listed, recorded);
            if has_taken_long || !may_withhold {
                self.admitted.insert(version.clone());
            }
            if !self.admitted.contains(version) {
                withheld.push(version);
            }
        }
        let may_announce = |backend: &&Backend| {
            let names = names_of(backend);
            !withheld.iter().any(|(service, version)| (&**service, &**version) == names)
        };
        listed.iter().filter(may_announce).cloned().collect()
    }
}

/// Returns the software versions of all listed servers.
fn versions_of(listed: &[Backend]) -> BTreeSet<NamedVersion> {
    // Lists have thousands of servers, and few versions.
    let names: BTreeSet<(&str, &str)> = listed.iter().map(names_of).collect();
    names.into_iter().map(|(service, version)| (service.into(), version.into())).collect()
}

/// Returns whether the service of a version has servers of a recorded one that aren't about to stop.
fn has_other_servers(
    version: &NamedVersion,
    listed: &[Backend],
    recorded: &BTreeSet<NamedVersion>,
) -> bool {
    let of_service = listed.iter().filter(|backend| backend.service == version.0);
    of_service.filter(|backend| !backend.leaving).any(|backend| {
        let (service, version) = names_of(backend);
        recorded.contains(&(service.into(), version.into()))
    })
}

/// The software versions under which streams in progress may have begun.
///
/// The replicated log keeps them, so that after the loss of all processes a service that has only one version is
/// told from one whose versions nobody remembers.
#[derive(Debug)]
pub(super) struct SoftwareVersions {
    began: ExpiringMap<StreamKey, SoftwareVersion>,
    /// The longest time for which a stream may be in progress.
    lifetime_ms: u64,
    listed: BTreeSet<NamedVersion>,
    /// The times at which versions that are no longer listed were listed last, or at which this process began
    /// to look.
    unlisted_ms: HashMap<NamedVersion, u64>,
    announced: BTreeSet<NamedVersion>,
    proposals_due_ms: u64,
}

impl Default for SoftwareVersions {
    fn default() -> SoftwareVersions {
        SoftwareVersions {
            began: ExpiringMap::new(MAX_STREAMS),
            lifetime_ms: stream_lifetime_ms(0),
            listed: BTreeSet::new(),
            unlisted_ms: HashMap::new(),
            announced: BTreeSet::new(),
            proposals_due_ms: 0,
        }
    }
}

impl SoftwareVersions {
    /// Returns the recorded versions that have not been listed for as long as a stream may be in progress.
    fn take_unused(&mut self, now_ms: u64, recorded: &BTreeSet<NamedVersion>) -> Vec<NamedVersion> {
        let lifetime_ms = self.lifetime_ms;
        self.unlisted_ms.retain(|version, _| recorded.contains(version));
        let unlisted = recorded.difference(&self.listed);
        let unused = unlisted.filter(|version| {
            let since_ms = *self.unlisted_ms.entry((*version).clone()).or_insert(now_ms);
            since_ms + lifetime_ms < now_ms
        });
        unused.cloned().collect()
    }
}

impl Driver {
    /// Records the versions that began streams, as an entry process tells.
    pub(super) fn handle_begun_streams(&mut self, streams: &[StreamRecord]) {
        let began = &self.software_versions.began;
        // Entry processes tell all their streams again on a new link.
        let is_new = |(stream, _): &&StreamRecord| began.get(*stream).is_none();
        let new: Vec<StreamRecord> = streams.iter().filter(is_new).copied().collect();
        if !new.is_empty() {
            self.stream_records.add(&new, self.software_versions.lifetime_ms);
            self.remember_streams(&new);
        }
    }

    /// Remembers the versions that began streams.
    pub(super) fn remember_streams(&mut self, streams: &[StreamRecord]) {
        let now_ms = self.now_ms();
        let versions = &mut self.software_versions;
        let oldest_ms = now_ms.saturating_sub(versions.lifetime_ms);
        for (stream, version) in streams {
            versions.began.set(now_ms, oldest_ms, *stream, *version);
        }
    }

    /// Answers which version began a stream.
    pub(super) fn answer_stream_version(&self, sender: &LinkSender, id: u64, stream: StreamKey) {
        let reply = StreamVersionReply {
            began: self.software_versions.began.get(stream),
            is_current: self.knows_all_versions(),
        };
        sender.send(&FleetMessage::StreamVersionReply { id, reply });
    }

    /// Returns whether this process has applied all that was committed before the present leader began.
    pub(super) fn knows_log(&self) -> bool {
        let leader = self.replica.leader().and_then(|leader| self.last_message_ms.get(&leader.0));
        let position = LogPosition {
            term: self.replica.term(),
            applied_term: self.applied_term,
            is_leader: self.replica.is_leader(),
            leader_heard_ms: leader.copied(),
        };
        position.is_current(self.now_ms())
    }

    /// Returns whether the state of this process has all versions under which streams may have begun.
    fn knows_all_versions(&self) -> bool {
        self.knows_log() && self.state.version > 0 && !self.software_versions.listed.is_empty()
    }

    /// Announces the listed servers whose versions are recorded to entry processes and the coordinator.
    pub(super) fn announce_backends(&mut self) {
        let now_ms = self.now_ms();
        self.unrecorded_versions.is_log_known |= self.knows_log();
        let recorded = &self.state.software_versions;
        let announced = self.unrecorded_versions.announced(now_ms, &self.listed_backends, recorded);
        self.backends.set(announced);
        let listed: HashSet<BackendKey> =
            self.backends.list().iter().map(|backend| backend.key).collect();
        self.locations.retain(|engine| listed.contains(engine));
        if let Some((_, planner)) = &mut self.planner {
            planner.set_backends(now_ms, self.backends.list());
        }
        // Repeated with each list, so that an entry process that has missed a notice isn't outdated for long.
        self.tell_configuration();
        self.entries.broadcast(&FleetMessage::BackendsNotice { digest: self.backends.digest() });
    }

    /// Applies the versions on a new backend list.
    pub(super) fn update_listed_versions(&mut self) {
        let now_ms = self.now_ms();
        let listed = versions_of(&self.listed_backends);
        let versions = &mut self.software_versions;
        for version in versions.listed.difference(&listed) {
            versions.unlisted_ms.insert(version.clone(), now_ms);
        }
        versions.unlisted_ms.retain(|version, _| !listed.contains(version));
        versions.listed = listed;
        self.announce_software_versions();
        self.propose_software_versions(now_ms);
    }

    /// Keeps streams for as long as one of the configuration's routes may be in progress.
    pub(super) fn update_stream_lifetime(&mut self) {
        let Some(table) = &self.table else { return };
        let routes = table.configuration().routes.iter();
        let resumable =
            routes.filter(|route| route.kind == RequestKind::Stream { resumable: true });
        let longest_ms = resumable.map(|route| route.timeout_ms).max().unwrap_or_default();
        let versions = &mut self.software_versions;
        versions.lifetime_ms = versions.lifetime_ms.max(stream_lifetime_ms(longest_ms));
    }

    /// As the leader, records new versions in the log, and removes those that are no longer used.
    pub(super) fn propose_software_versions(&mut self, now_ms: u64) {
        if !self.is_current_leader() || now_ms < self.software_versions.proposals_due_ms {
            return;
        }
        let recorded = &self.state.software_versions;
        let new: Vec<NamedVersion> =
            self.software_versions.listed.difference(recorded).cloned().collect();
        let unused = self.software_versions.take_unused(now_ms, recorded);
        if !new.is_empty() || !unused.is_empty() {
            self.software_versions.proposals_due_ms = now_ms + PROPOSAL_INTERVAL_MS;
        }
        for (service, version) in new {
            log::info!("core: service {service} has servers with software version {version}");
            self.propose(&StateCommand::AddSoftwareVersion { service, version }, None);
        }
        for (service, version) in unused {
            log::info!("core: streams of {service} at software version {version} have ended");
            self.propose(&StateCommand::RemoveSoftwareVersion { service, version }, None);
        }
    }

    /// Applies a change of the recorded versions.
    pub(super) fn update_recorded_versions(&mut self) {
        self.announce_software_versions();
        self.announce_backends();
    }

    /// Tells entry processes all versions if they have changed.
    pub(super) fn announce_software_versions(&mut self) {
        let versions = &self.software_versions;
        let all: BTreeSet<NamedVersion> =
            self.state.software_versions.union(&versions.listed).cloned().collect();
        if all != versions.announced {
            self.software_versions.announced = all;
            self.entries.broadcast(&self.software_versions_message());
        }
    }

    pub(super) fn software_versions_message(&self) -> FleetMessage {
        let mut services: BTreeMap<Box<str>, Vec<Box<str>>> = BTreeMap::new();
        for (service, version) in &self.software_versions.announced {
            services.entry(service.clone()).or_default().push(version.clone());
        }
        FleetMessage::SoftwareVersions(services.into_iter().collect())
    }
}

#[cfg(test)]
mod tests;
