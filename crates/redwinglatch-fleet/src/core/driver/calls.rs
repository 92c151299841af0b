//! Calls of operators and the entries of the log that they become.

use tokio::sync::oneshot;

use crate::{
    message::{FleetMessage, LeaderRequest, LeaderResponse},
    state::Command,
};

use super::{Caller, Driver};

impl Driver {
    pub(super) fn call(&mut self, request: LeaderRequest, reply: oneshot::Sender<LeaderResponse>) {
        if self.replica.is_leader() {
            return self.lead_call(request, Caller::Local(reply));
        }
        let leader = self.replica.leader().and_then(|id| self.core_addresses.get(&id.0).copied());
        self.remote_calls.retain(|_, waiting| !waiting.is_closed());
        let Some(address) = leader else {
            let _ = reply.send(LeaderResponse::Unconfirmed);
            return;
        };
        let id = self.next_call;
        self.next_call += 1;
        if self.cores.send(address, FleetMessage::LeaderRequest { id, request }) {
            self.remote_calls.insert(id, reply);
        } else {
            let _ = reply.send(LeaderResponse::Unconfirmed);
        }
    }

    pub(super) fn lead_call(&mut self, request: LeaderRequest, caller: Caller) {
        if !self.replica.is_leader() {
            return caller.answer(LeaderResponse::Unconfirmed);
        }
        match request {
            LeaderRequest::Propose(mut command) => {
                if let Command::PutConfiguration { version, document } = &mut command
                    && *version <= self.state.version
                {
                    // It changes nothing; its commit still shows that this replica leads.
                    document.clear();
                }
                self.propose(&command, Some(caller));
            }
            LeaderRequest::ReadConfiguration => match self.replica.request_read(self.now_ms()) {
                Ok(read) => {
                    self.reads.insert(read, caller);
                }
                Err(_) => caller.answer(LeaderResponse::Unconfirmed),
            },
        }
    }

    pub(super) fn propose(&mut self, command: &Command, caller: Option<Caller>) {
        let data = postcard::to_allocvec(command).expect("commands encode into memory");
        let now_ms = self.now_ms();
        match self.replica.propose(data, now_ms) {
            Ok(index) => {
                if let Some(caller) = caller {
                    self.proposals.insert(index, (self.replica.term(), caller));
                }
            }
            Err(error) => {
                log::info!("core: a change can't be proposed: {error}");
                if let Some(caller) = caller {
                    caller.answer(LeaderResponse::Unconfirmed);
                }
            }
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied_index;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ready_reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready_reads = waiting;
        for (_, caller) in ready {
            let document = (self.state.version > 0).then(|| self.state.document.clone());
            caller.answer(LeaderResponse::Configuration(document));
        }
    }
}
