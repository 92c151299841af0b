//! Operators' requests that only the leader can answer, and the commands that they propose.

use tokio::sync::oneshot;

use crate::{
    message::{FleetMessage, LeaderRequest, LeaderResponse},
    state::StateCommand,
};

use super::{Driver, ResponseSender};

impl Driver {
    pub(super) fn handle_operator_request(
        &mut self,
        request: LeaderRequest,
        reply: oneshot::Sender<LeaderResponse>,
    ) {
        if self.replica.is_leader() {
            return self.handle_leader_request(request, ResponseSender::Local(reply));
        }
        let leader = self.replica.leader().and_then(|id| self.core_addresses.get(&id.0).copied());
        self.forwarded_requests.retain(|_, waiting| !waiting.is_closed());
        let Some(address) = leader else {
            let _ = reply.send(LeaderResponse::Unconfirmed);
            return;
        };
        let id = self.next_request_id;
        self.next_request_id += 1;
        if self.cores.send(address, &FleetMessage::LeaderRequest { id, request }) {
            self.forwarded_requests.insert(id, reply);
        } else {
            let _ = reply.send(LeaderResponse::Unconfirmed);
        }
    }

    pub(super) fn handle_leader_request(
        &mut self,
        request: LeaderRequest,
        response_sender: ResponseSender,
    ) {
        if !self.replica.is_leader() {
            return response_sender.respond(LeaderResponse::Unconfirmed);
        }
        match request {
            LeaderRequest::Propose(mut command) => {
                if let StateCommand::PutConfiguration { version, document } = &mut command
                    && *version <= self.state.version
                {
                    // The command changes nothing; its commit still confirms that this replica is
                    // the leader.
                    document.clear();
                }
                self.propose(&command, Some(response_sender));
            }
            LeaderRequest::ReadConfiguration => match self.replica.request_read(self.now_ms()) {
                Ok(read) => {
                    self.reads.insert(read, response_sender);
                }
                Err(_) => response_sender.respond(LeaderResponse::Unconfirmed),
            },
        }
    }

    pub(super) fn propose(
        &mut self,
        command: &StateCommand,
        response_sender: Option<ResponseSender>,
    ) {
        let data = postcard::to_allocvec(command).expect("commands encode into memory");
        let now_ms = self.now_ms();
        match self.replica.propose(data, now_ms) {
            Ok(index) => {
                if let Some(response_sender) = response_sender {
                    self.proposals.insert(index, (self.replica.term(), response_sender));
                }
            }
            Err(error) => {
                log::info!("core: cannot propose a command: {error}");
                if let Some(response_sender) = response_sender {
                    response_sender.respond(LeaderResponse::Unconfirmed);
                }
            }
        }
    }

    pub(super) fn respond_to_reads(&mut self) {
        let applied = self.applied_index;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ready_reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready_reads = waiting;
        for (_, response_sender) in ready {
            let document = (self.state.version > 0).then(|| self.state.document.clone());
            response_sender.respond(LeaderResponse::Configuration(document));
        }
    }
}
