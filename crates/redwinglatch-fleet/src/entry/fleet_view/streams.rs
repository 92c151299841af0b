//! Software versions of servers in the view of an entry process, and of the streams that they began.

use std::{collections::BTreeSet, net::SocketAddr};

use redwinglatch_routing::{RequestKind, Route, WeightedService};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::{Capability, FleetView, StreamQuestion};
use crate::{
    ids::{BackendKey, SoftwareVersion, StreamKey},
    message::{FleetMessage, StreamVersionReply},
};

/// Streams in one message; one takes about 20 bytes.
const MAX_STREAMS_PER_MESSAGE: usize = 1_000;

/// Returns the names of the services that requests on a route may go to.
fn service_names(route: &Route) -> impl Iterator<Item = &str> + Clone {
    let used = |target: &&WeightedService| target.weight > 0;
    route.services.iter().filter(used).map(|target| &*target.service)
}

impl FleetView {
    /// Applies a change of the backend list to what is known of software versions.
    pub(crate) fn update_software_versions(&mut self, now_ms: u64) {
        let listed = self.backends.values().map(|state| &state.backend);
        let listed = listed.map(|backend| (backend.service.clone(), backend.software()));
        let listed: BTreeSet<_> = listed.collect();
        self.stream_versions.set_listed(now_ms, listed);
        self.share_streams(now_ms);
    }

    /// Records that this process itself has fetched the backend list.
    pub(crate) fn backend_list_fetched(&mut self, started_ms: u64) {
        self.stream_versions.list_fetched(started_ms);
    }

    /// Takes over the versions that a core process has announced, and tells it which began streams.
    pub(crate) fn add_software_versions(
        &mut self,
        now_ms: u64,
        core: SocketAddr,
        versions: Vec<(Box<str>, Vec<Box<str>>)>,
    ) {
        let is_new = self.add_capability(core, Capability::SoftwareVersions);
        let versions = versions.into_iter().flat_map(|(service, names)| {
            let keys = names.into_iter().map(move |name| {
                let version = SoftwareVersion::new(&service, &name);
                (service.clone(), version)
            });
            keys.collect::<Vec<_>>()
        });
        self.stream_versions.set_announced(core, versions.collect());
        self.share_streams(now_ms);
        if is_new && self.is_sharing_streams {
            self.send_streams(now_ms, Some(core));
        }
    }

    /// Starts to tell core processes which versions begin streams once a route leads to several, and stops once
    /// none does.
    pub(crate) fn share_streams(&mut self, now_ms: u64) {
        let routes = self.table.as_ref().map(|table| &table.configuration().routes);
        let resumable = routes
            .into_iter()
            .flatten()
            .filter(|route| route.kind == RequestKind::Stream { resumable: true });
        let mut longest_timeout_ms = 0;
        let mut has_several = false;
        for route in resumable {
            longest_timeout_ms = longest_timeout_ms.max(route.timeout_ms);
            has_several |= self.possible_versions(now_ms, route).len() > 1;
        }
        self.stream_versions.extend_lifetime(longest_timeout_ms);
        if has_several != std::mem::replace(&mut self.is_sharing_streams, has_several)
            && has_several
        {
            log::info!("entry: a service has several software versions; they are kept apart");
            self.send_streams(now_ms, None);
        }
    }

    /// Sends all recent streams to one core process or to all.
    fn send_streams(&mut self, now_ms: u64, core: Option<SocketAddr>) {
        let streams = self.stream_versions.recent(now_ms);
        for part in streams.chunks(MAX_STREAMS_PER_MESSAGE) {
            self.send_to_versioned_cores(&FleetMessage::StreamsBegan(part.to_vec()), core);
        }
    }

    /// Sends a message to the core processes that know software versions, or to one of them; returns to how
    /// many.
    fn send_to_versioned_cores(&self, message: &FleetMessage, only: Option<SocketAddr>) -> usize {
        let cores = self.cores.iter().filter(|(core, _)| only.is_none_or(|only| only == **core));
        let sent = cores.filter(|(core, link)| {
            self.has_capability(**core, Capability::SoftwareVersions)
                && link.as_ref().is_some_and(|link| link.send(message))
        });
        sent.count()
    }

    /// Records which version began a stream that callers may take up elsewhere.
    pub(crate) fn stream_began(
        &mut self,
        now_ms: u64,
        stream: StreamKey,
        version: SoftwareVersion,
    ) {
        self.stream_versions.record(now_ms, stream, version);
        if self.is_sharing_streams {
            let began = FleetMessage::StreamsBegan(vec![(stream, version)]);
            self.send_to_versioned_cores(&began, None);
        }
    }

    /// Records which version began a stream, as a core process has told.
    pub(crate) fn stream_version_learned(
        &mut self,
        now_ms: u64,
        stream: StreamKey,
        version: SoftwareVersion,
    ) {
        self.stream_versions.record(now_ms, stream, version);
    }

    /// Returns the version that began a stream, if this process knows it.
    pub(crate) fn stream_version(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        self.stream_versions.version(stream)
    }

    /// Returns the versions under which streams in progress on a route may have begun.
    pub(crate) fn possible_versions(
        &self,
        now_ms: u64,
        route: &Route,
    ) -> SmallVec<[SoftwareVersion; 4]> {
        self.stream_versions.possible(now_ms, service_names(route))
    }

    /// Decides at which version a stream that a caller takes up may go on; `None` if that isn't known.
    pub(crate) fn decide_stream_version(
        &self,
        now_ms: u64,
        question: &StreamQuestion<'_>,
    ) -> Option<SoftwareVersion> {
        self.stream_versions.decide(now_ms, question)
    }

    /// Asks all connected core processes which version began a stream; returns the id of the question and how
    /// many answers to expect.
    pub(crate) fn ask_for_stream_version(
        &mut self,
        stream: StreamKey,
        replies: mpsc::Sender<StreamVersionReply>,
    ) -> (u64, usize) {
        let id = self.next_placement_id;
        self.next_placement_id += 1;
        let request = FleetMessage::StreamVersionRequest { id, stream };
        let asked = self.send_to_versioned_cores(&request, None);
        self.version_replies.insert(id, replies);
        (id, asked)
    }

    pub(crate) fn deliver_stream_version(&mut self, id: u64, reply: StreamVersionReply) {
        if let Some(replies) = self.version_replies.get(&id) {
            // The question may have been given up.
            let _ = replies.try_send(reply);
        }
    }

    pub(crate) fn end_stream_version_question(&mut self, id: u64) {
        self.version_replies.remove(&id);
    }

    /// Returns the service of a route that has a server of the version which isn't about to stop.
    pub(crate) fn service_with_version(
        &self,
        route: &Route,
        version: SoftwareVersion,
    ) -> Option<Box<str>> {
        let with_version =
            service_names(route).find(|service| self.has_server_of_version(service, version));
        with_version.map(Box::from)
    }

    /// Returns whether a server of the version is listed that isn't about to stop.
    pub(crate) fn has_server_of_version(&self, service: &str, version: SoftwareVersion) -> bool {
        let mut servers = self.usable_backends(service, &[]);
        servers.any(|key| {
            self.backends.get(&key).is_some_and(|state| state.backend.software() == version)
        })
    }

    /// Returns whether the backend list of this process has had a version lately.
    pub(crate) fn was_version_listed(&self, version: SoftwareVersion) -> bool {
        self.stream_versions.was_listed(version)
    }

    /// Adds the servers of a service that have another version to those that a request must not be sent to.
    pub(crate) fn exclude_other_versions(
        &self,
        service: &str,
        version: SoftwareVersion,
        excluded: &mut SmallVec<[BackendKey; 4]>,
    ) {
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let others = keys.iter().filter(|key| {
            self.backends.get(key).is_some_and(|state| state.backend.software() != version)
        });
        excluded.extend(others.copied());
    }

    /// Forgets what a core process has announced.
    pub(super) fn forget_announced_versions(&mut self, core: SocketAddr) {
        self.stream_versions.core_disconnected(core);
    }
}
