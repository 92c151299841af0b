//! Handles messages of entry processes and other core processes, and sends updates to entry
//! processes.

use std::{collections::BTreeSet, net::SocketAddr};

use redwinglatch_log::{LogMessage, Term};

use crate::{
    BackendEntry,
    brittle_services::BrittleService,
    ids::BackendKey,
    limited_servers::RequestLimit,
    link::LinkSender,
    message::{Backend, EntryHello, EntryStatus, FleetMessage},
    request_rate::RequestRate,
    suspects::{FailedRequest, Suspect},
};

use super::{Driver, ResponseSender};

/// Locations of models in one message; one takes about 30 bytes.
const MAX_LOCATIONS_PER_MESSAGE: usize = 1_000;

impl Driver {
    pub(super) fn handle_message(&mut self, link: u64, sender: LinkSender, message: FleetMessage) {
        match message {
            FleetMessage::EntryHello(hello) => self.handle_entry_hello(link, sender, hello),
            FleetMessage::CoreHello { replica, link } => {
                sender.send(&FleetMessage::CoreDataCentre(self.settings.data_centre.clone()));
                sender.send(&FleetMessage::CoreHello {
                    replica: self.replica.id(),
                    link: self.own_link,
                });
                self.announce_caps(&sender);
                sender.send(&self.core_addresses_message());
                self.core_addresses.insert(replica.0, link);
                self.dial(link);
            }
            FleetMessage::EntryStatus(status) => self.handle_entry_status(link, status),
            FleetMessage::Place { id, request } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.place(now_ms, link, id, request, None);
                }
            }
            FleetMessage::PlaceAtVersion { id, request, version } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.place(now_ms, link, id, request, Some(version));
                }
            }
            FleetMessage::BrittleServices(services) => self.set_brittle_services(services),
            FleetMessage::ServerFull { server } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    log::info!("coordinator: brittle server {:x} is full", server.0);
                    planner.server_full(now_ms, server);
                }
            }
            FleetMessage::StreamsBegan(streams) => self.handle_begun_streams(&streams),
            FleetMessage::StreamVersionRequest { id, stream } => {
                self.answer_stream_version(&sender, id, stream);
            }
            FleetMessage::FirstEvent { id } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.first_event(now_ms, link, id);
                }
            }
            FleetMessage::Release { id } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.release(now_ms, link, id);
                }
            }
            FleetMessage::ModelNotLoaded { engine, model } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.model_not_loaded(now_ms, engine, &model);
                }
            }
            FleetMessage::PromptFailed { engine, parts } => {
                let suspect = Suspect { parts, digests: Vec::new() };
                let request = FailedRequest { server: engine, suspect, has_ended: false };
                self.handle_failed_request(0, request);
            }
            FleetMessage::RequestFailed { server, suspect, has_ended } => {
                self.handle_failed_request(0, FailedRequest { server, suspect, has_ended });
            }
            FleetMessage::RequestBrokeOff { age_ms, request } => {
                self.handle_failed_request(age_ms, request);
            }
            FleetMessage::RequestsCompleted(keys) => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.requests_completed(now_ms, &keys);
                }
            }
            FleetMessage::RequestLimits(limits) => self.set_request_limits(limits),
            FleetMessage::GrantRequest { id, server } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    let granted = planner.take_grant(now_ms, server, (link, id));
                    sender.send(&FleetMessage::GrantReply { id, granted });
                }
            }
            FleetMessage::ConfigurationRequest => self.send_configuration(&sender),
            FleetMessage::BackendsRequest => {
                sender.send_frame(self.backends.frame_for(link));
            }
            FleetMessage::ModelLocationsRequest => {
                self.send_model_locations(&sender);
            }
            FleetMessage::ModelLocationChanges { epoch, changes } => {
                if self.follows_coordinator_of(epoch) {
                    self.locations.heard(&changes);
                }
            }
            FleetMessage::Log { from, to, message } if to == self.replica.id() => {
                let now_ms = self.now_ms();
                self.last_message_ms.insert(from.0, now_ms);
                match LogMessage::decode(&message) {
                    Ok(message) => {
                        self.replica.step(from, message, now_ms);
                        if self.replica.leader() == Some(from) {
                            self.leader_heard_ms = Some(now_ms);
                        }
                    }
                    Err(error) => {
                        log::warn!("core: cannot decode a message of replica {from}: {error}");
                    }
                }
            }
            FleetMessage::CustomerCreditRequest { id, customer, needed, ahead } => {
                self.handle_credit_request(link, sender, id, customer, (needed, ahead));
            }
            FleetMessage::ReachRequest { engines } => self.answer_reach(sender, &engines),
            FleetMessage::CoordinatorStopping => {
                self.former_coordinator.stopped_ms = Some(self.now_ms());
            }
            FleetMessage::CoreStopping { replica } => self.handle_stop_announcement(replica),
            FleetMessage::CoreAddresses(addresses) => {
                self.entries.understands_progress(link, self.log_progress());
                self.dial_all(&addresses);
            }
            FleetMessage::Join { replica, link } => self.handle_join(replica, link),
            FleetMessage::LeaderRequest { id, request } => {
                self.handle_leader_request(request, ResponseSender::Remote { sender, id });
            }
            other => log::debug!("core: ignoring an unexpected message: {other:?}"),
        }
    }

    fn handle_failed_request(&mut self, age_ms: u64, request: FailedRequest) {
        let now_ms = self.now_ms();
        if let Some((_, planner)) = &mut self.planner {
            planner.request_failed(now_ms, age_ms, request);
        }
    }

    pub(super) fn handle_core_message(&mut self, address: SocketAddr, message: FleetMessage) {
        match message {
            FleetMessage::CoreDataCentre(_) => self.cores.understands_reach(address),
            FleetMessage::CustomerGrants => self.cores.understands_credits(address),
            FleetMessage::CoreHello { .. } => self.cores.understands_stop(address),
            FleetMessage::CustomerCreditReply { id, reply } => self.handle_credit_reply(id, reply),
            FleetMessage::ModelLocations { epoch, locations } => {
                if self.follows_coordinator_of(epoch) {
                    locations.iter().for_each(|location| self.locations.know(location));
                }
            }
            FleetMessage::ReachReply { replica, reached } => {
                self.hand_over_to(replica, &reached);
            }
            FleetMessage::LeaderResponse { id, response } => {
                if let Some(reply) = self.forwarded_requests.remove(&id) {
                    // The operator may have disconnected.
                    let _ = reply.send(response);
                }
            }
            FleetMessage::CoreAddresses(addresses) => self.dial_all(&addresses),
            other => log::debug!("core: ignoring an unexpected response: {other:?}"),
        }
    }

    pub(super) fn handle_entry_hello(&mut self, link: u64, sender: LinkSender, hello: EntryHello) {
        log::info!("core: entry process {} connected", hello.front);
        sender.send(&FleetMessage::CoreDataCentre(self.settings.data_centre.clone()));
        sender.send(&self.quarantine_message());
        sender.send(&self.request_limits_message());
        sender.send(&self.software_versions_message());
        self.announce_caps(&sender);
        if let Some((_, planner)) = &self.planner {
            sender.send(&FleetMessage::BrittleServices(planner.brittle_services()));
        }
        sender.send(&self.core_addresses_message());
        self.tell_new_entry(&sender);
        sender.send(&FleetMessage::BackendsNotice { digest: self.backends.digest() });
        self.send_model_locations(&sender);
        self.entries.insert(link, sender, hello);
    }

    pub(super) fn handle_link_closed(&mut self, link: u64) {
        let now_ms = self.now_ms();
        self.backends.link_closed(link);
        let removed = self.entries.remove(link);
        self.record_entry_end(link, removed.is_some());
        if let Some(front) = removed {
            log::info!("core: entry process {front} disconnected");
            if let Some((_, planner)) = &mut self.planner {
                planner.entry_disconnected(now_ms, link);
            }
        }
    }

    pub(super) fn handle_entry_status(&mut self, link: u64, status: EntryStatus) {
        let now_ms = self.now_ms();
        if !self.entries.set_ready(link, status.ready && !status.draining) {
            return;
        }
        self.record_draining(link, status.draining);
        if let Some((_, planner)) = &mut self.planner {
            planner.entry_status(now_ms, link, status);
        }
    }

    /// Tells all connected processes of a core process to which this one has a link now.
    ///
    /// Answers a process whose seeds don't lead: all processes that are connected, also through others, get to know each
    /// other.
    pub(super) fn pass_on_address(&self, address: SocketAddr) {
        let message = FleetMessage::CoreAddresses(vec![address]);
        self.cores.send_all(&message);
        self.entries.broadcast(&message);
    }

    /// Returns the addresses of the core processes to which this one has a link, and those of the members of the log.
    /// Others may be gone for good.
    pub(super) fn core_addresses_message(&self) -> FleetMessage {
        let members = self.replica.membership().members();
        let of_members = members.filter_map(|member| self.core_addresses.get(&member.0).copied());
        let known = self.cores.connected_addresses().chain(of_members).chain([self.own_link]);
        let addresses: BTreeSet<SocketAddr> = known.collect();
        FleetMessage::CoreAddresses(addresses.into_iter().collect())
    }

    /// Sends the locations of all models if this process is the coordinator, in parts that leave
    /// room for other messages.
    fn send_model_locations(&self, sender: &LinkSender) {
        let Some((epoch, _)) = &self.planner else { return };
        let locations = self.locations.all();
        for part in locations.chunks(MAX_LOCATIONS_PER_MESSAGE) {
            let locations = part.to_vec();
            sender.send(&FleetMessage::ModelLocations { epoch: *epoch, locations });
        }
        if locations.is_empty() {
            sender.send(&FleetMessage::ModelLocations { epoch: *epoch, locations });
        }
    }

    /// Returns whether another process announces model locations as the coordinator of an epoch, and no newer one has.
    fn follows_coordinator_of(&mut self, epoch: Term) -> bool {
        if self.planner.is_some() || epoch < self.locations_epoch {
            return false;
        }
        self.locations_epoch = epoch;
        true
    }

    fn request_limits_message(&self) -> FleetMessage {
        let planner = self.planner.as_ref();
        let limits = planner.map_or_else(Vec::new, |(_, planner)| planner.request_limits());
        FleetMessage::RequestLimits(limits)
    }

    /// Takes over which services are brittle, as answers say, and tells all entry processes what is new.
    fn set_brittle_services(&mut self, services: Vec<BrittleService>) {
        let now_ms = self.now_ms();
        let Some((_, planner)) = &mut self.planner else { return };
        let is_new = |brittle: &BrittleService| planner.set_brittle(now_ms, brittle);
        let new: Vec<BrittleService> = services.into_iter().filter(is_new).collect();
        for BrittleService { service, max_rejections_per_s } in &new {
            match max_rejections_per_s {
                Some(rejections) => log::info!(
                    "coordinator: servers of {service} fall over beyond {rejections} rejections a second"
                ),
                None => log::info!("coordinator: servers of {service} are sound again"),
            }
        }
        if !new.is_empty() {
            self.entries.broadcast(&FleetMessage::BrittleServices(new));
        }
    }

    /// Sets the request limit that an engine named in its answer to a call. Only the answer to a request
    /// shows that a limit has ended.
    pub(super) fn set_answered_limit(&mut self, server: BackendKey, rate: Option<RequestRate>) {
        if rate.is_some() {
            self.set_request_limits(vec![RequestLimit { server, rate }]);
        }
    }

    /// Sets request limits that an answer named, and tells all entry processes which of them are new.
    pub(super) fn set_request_limits(&mut self, limits: Vec<RequestLimit>) {
        let now_ms = self.now_ms();
        let Some((_, planner)) = &mut self.planner else { return };
        let new: Vec<RequestLimit> =
            limits.into_iter().filter(|limit| planner.set_request_limit(now_ms, *limit)).collect();
        for RequestLimit { server, rate } in &new {
            match rate {
                Some(rate) => {
                    log::info!("coordinator: server {:x} takes {rate} requests a second", server.0);
                }
                None => log::info!("coordinator: server {:x} has no limit any more", server.0),
            }
        }
        if !new.is_empty() {
            self.entries.broadcast(&FleetMessage::RequestLimits(new));
        }
    }

    pub(super) fn handle_backend_list(&mut self, entries: Vec<BackendEntry>) {
        self.listed_backends = entries.into_iter().map(Backend::from).collect();
        self.update_listed_versions();
        self.announce_backends();
    }
}
