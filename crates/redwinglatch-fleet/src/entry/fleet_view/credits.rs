//! Requests for units of customers' caps in the view of an entry process.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::{Capability, FleetView};
use crate::message::{CreditReply, FleetMessage};

/// A request for credits that awaits its reply.
#[derive(Debug)]
pub(super) struct AwaitedCredits {
    core: SocketAddr,
    reply: oneshot::Sender<CreditReply>,
}

impl FleetView {
    /// Records that a core process understands requests for credits.
    pub(crate) fn add_credit_core(&mut self, core: SocketAddr) {
        self.add_capability(core, Capability::CustomerCredits);
        self.trust_for_credits(core);
    }

    /// Returns the core process to ask for credits: the coordinator, or else any other that hasn't failed to reply
    /// lately.
    pub(crate) fn choose_credit_core(
        &self,
        now_ms: u64,
        tried: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let is_usable = |core: &SocketAddr| {
            Some(*core) != tried
                && self.has_capability(*core, Capability::CustomerCredits)
                && self.core_link(*core).is_some()
                && self.credit_suspects.get(core).is_none_or(|until_ms| *until_ms <= now_ms)
        };
        let coordinator = self.coordinator_address.filter(is_usable);
        coordinator.or_else(|| {
            let others: Vec<_> = self.cores.keys().copied().filter(is_usable).collect();
            fastrand::choice(others)
        })
    }

    /// Requests credits from a core process, and returns the id of the request.
    pub(crate) fn start_credit_request(
        &mut self,
        core: SocketAddr,
        customer: &str,
        (needed, ahead): (u64, u64),
        reply: oneshot::Sender<CreditReply>,
    ) -> Option<u64> {
        let link = self.core_link(core)?;
        let id = self.next_placement_id;
        self.next_placement_id += 1;
        let customer = customer.into();
        if !link.send(&FleetMessage::CustomerCreditRequest { id, customer, needed, ahead }) {
            return None;
        }
        self.credit_replies.insert(id, AwaitedCredits { core, reply });
        Some(id)
    }

    pub(crate) fn deliver_credits(&mut self, id: u64, reply: CreditReply) {
        if let Some(awaited) = self.credit_replies.remove(&id) {
            // The request may have ended.
            let _ = awaited.reply.send(reply);
        }
    }

    pub(crate) fn end_credit_request(&mut self, id: u64) {
        self.credit_replies.remove(&id);
    }

    /// Lets requests for credits go to other core processes for some time.
    pub(crate) fn suspect_for_credits(&mut self, core: SocketAddr, until_ms: u64) {
        self.credit_suspects.insert(core, until_ms);
    }

    pub(super) fn trust_for_credits(&mut self, core: SocketAddr) {
        self.credit_suspects.remove(&core);
    }

    /// Lets requests that wait for a lost core process go on.
    pub(super) fn forget_credit_requests(&mut self, core: SocketAddr) {
        self.credit_replies.retain(|_, awaited| awaited.core != core);
        self.credit_suspects.remove(&core);
    }

    /// Returns the number of entry processes among which caps are divided without a core process.
    pub(crate) fn most_ready_entries(&self) -> usize {
        self.most_ready_entries
    }
}
