//! Grants units of customers' caps to entry processes.

use std::collections::HashMap;

use redwinglatch_admission::{CapBounds, CoreContact, CustomerLedger, Leadership};

use crate::{
    customer_caps::caps_of,
    link::LinkSender,
    message::{CreditReply, FleetMessage},
    metrics::CapValues,
};

use super::Driver;

/// Longest time since the last message of the leader at which requests are passed on to it.
const FRESH_LEADER_MS: u64 = 300;
/// Time after which the leader's reply isn't awaited any more.
const FORWARD_TIMEOUT_MS: u64 = 1_000;
/// Interval between updates of the metrics.
const METRICS_INTERVAL_MS: u64 = 1_000;

/// A request for credits that was passed on to the leader.
struct ForwardedRequest {
    sender: LinkSender,
    id: u64,
    sent_ms: u64,
}

/// The caps of a core process with caps.
pub(super) struct CustomerCaps {
    bounds: CapBounds,
    ledger: CustomerLedger,
    forwarded: HashMap<u64, ForwardedRequest>,
    next_id: u64,
    /// Entry processes that are about to end by themselves, by their links.
    draining: Vec<u64>,
    metrics_due_ms: u64,
}

impl CustomerCaps {
    pub(super) fn new(now_ms: u64, bounds: CapBounds) -> CustomerCaps {
        CustomerCaps {
            bounds,
            ledger: CustomerLedger::new(now_ms),
            forwarded: HashMap::new(),
            next_id: 0,
            draining: Vec::new(),
            metrics_due_ms: 0,
        }
    }
}

impl Driver {
    /// Takes over the caps of the configuration in force.
    pub(super) fn update_caps(&mut self) {
        let now_ms = self.now_ms();
        if let (Some(caps), Some(table)) = (&mut self.caps, &self.table) {
            caps.ledger.set_caps(now_ms, caps_of(table, caps.bounds));
        }
    }

    /// Tells another process that this one understands requests for credits.
    pub(super) fn announce_caps(&self, sender: &LinkSender) {
        if self.caps.is_some() {
            sender.send(&FleetMessage::CustomerGrants);
        }
    }

    /// Lets the ledger follow the leadership, the voters and the entry processes.
    fn follow_contact(&mut self, now_ms: u64) {
        let Some(caps) = &mut self.caps else { return };
        let membership = self.replica.membership();
        let is_voter = membership.is_voter(self.replica.id());
        let leads = self.replica.leader_lease_valid(now_ms) && !self.is_stopping;
        let leadership = leads.then(|| Leadership {
            term: self.replica.term(),
            acked_sent_ms: self.replica.acked_sent_ms().collect(),
        });
        let contact = CoreContact {
            voters: if is_voter && !self.is_stopping { membership.voters().len() } else { 0 },
            leadership,
            leader_heard_ms: self.leader_heard_ms,
            entries: self.entries.len(),
        };
        caps.ledger.update(now_ms, &contact);
    }

    /// Follows the contact to other processes, and updates the metrics.
    pub(super) fn tick_caps(&mut self, now_ms: u64) {
        self.follow_contact(now_ms);
        let Some(caps) = &mut self.caps else { return };
        caps.forwarded.retain(|_, request| now_ms < request.sent_ms + FORWARD_TIMEOUT_MS);
        if caps.metrics_due_ms <= now_ms {
            caps.metrics_due_ms = now_ms + METRICS_INTERVAL_MS;
            let states = caps.ledger.states(now_ms).into_iter();
            let values = states.map(|(customer, state)| CapValues {
                customer: customer.into(),
                cap_per_s: state.rate_milli / 1_000,
                level: state.level,
                granted: state.granted,
            });
            self.metrics.set_caps(values.collect());
        }
    }

    /// Decides on a request for credits, or passes it on to the leader.
    pub(super) fn handle_credit_request(
        &mut self,
        link: u64,
        sender: LinkSender,
        id: u64,
        customer: Box<str>,
        (needed, ahead): (u64, u64),
    ) {
        let now_ms = self.now_ms();
        self.follow_contact(now_ms);
        let reply = match &mut self.caps {
            Some(caps) => caps.ledger.request(now_ms, &customer, needed, ahead).into(),
            None => CreditReply::NotGranting,
        };
        if reply == CreditReply::NotGranting && self.entries.contains(link) {
            let is_fresh =
                self.leader_heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + FRESH_LEADER_MS);
            let leader = self.replica.leader().filter(|leader| *leader != self.replica.id());
            let address = leader.and_then(|leader| self.core_addresses.get(&leader.0));
            if let (true, Some(address), Some(caps)) = (is_fresh, address, &mut self.caps) {
                let own_id = caps.next_id;
                caps.next_id += 1;
                let message =
                    FleetMessage::CustomerCreditRequest { id: own_id, customer, needed, ahead };
                if self.cores.send_credit_request(*address, &message) {
                    let request = ForwardedRequest { sender, id, sent_ms: now_ms };
                    caps.forwarded.insert(own_id, request);
                    return;
                }
            }
        }
        sender.send(&FleetMessage::CustomerCreditReply { id, reply });
    }

    /// Passes the leader's reply on to the entry process.
    pub(super) fn handle_credit_reply(&mut self, id: u64, reply: CreditReply) {
        let forwarded = self.caps.as_mut().and_then(|caps| caps.forwarded.remove(&id));
        if let Some(ForwardedRequest { sender, id, .. }) = forwarded {
            sender.send(&FleetMessage::CustomerCreditReply { id, reply });
        }
    }

    /// Records whether an entry process is about to end by itself.
    pub(super) fn record_draining(&mut self, link: u64, is_draining: bool) {
        if let Some(caps) = &mut self.caps
            && is_draining
            && !caps.draining.contains(&link)
        {
            caps.draining.push(link);
        }
    }

    /// Frees the part of an entry process that has ended by itself, unless it has connected again already.
    pub(super) fn record_entry_end(&mut self, link: u64, has_ended: bool) {
        if let Some(caps) = &mut self.caps
            && let Some(position) = caps.draining.iter().position(|draining| *draining == link)
        {
            caps.draining.swap_remove(position);
            if has_ended {
                caps.ledger.entry_has_left();
            }
        }
    }
}
