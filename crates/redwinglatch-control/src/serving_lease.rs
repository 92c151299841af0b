//! The serving lease on the instance's side.

use std::collections::VecDeque;

use redwinglatch_core::Incarnation;

use crate::{LeaseSettings, LeaseVerdict, RenewalReply};

/// Maximum number of unanswered renewals whose send time is kept. A reply to an older one renews
/// nothing.
const MAX_UNANSWERED_RENEWALS: usize = 64;

/// The serving lease on the instance's own clock.
///
/// The lease starts when the renewal is sent, so it ends before the leader considers it expired,
/// whatever the delay of the reply.
#[derive(Debug)]
pub struct ServingLease {
    settings: LeaseSettings,
    incarnation: Incarnation,
    term: u64,
    session: u64,
    sequence: u64,
    applied_sequence: u64,
    unanswered: VecDeque<(u64, u64)>,
    expires_at_ms: Option<u64>,
}

impl ServingLease {
    /// Creates the lease of a process that has just started, which is not yet valid.
    #[must_use]
    pub fn new(settings: LeaseSettings, incarnation: Incarnation) -> ServingLease {
        ServingLease {
            settings,
            incarnation,
            term: 0,
            session: 0,
            sequence: 0,
            applied_sequence: 0,
            unanswered: VecDeque::new(),
            expires_at_ms: None,
        }
    }

    /// Records that a renewal is sent now, and returns its sequence number.
    pub fn record_renewal(&mut self, now_ms: u64) -> u64 {
        self.sequence += 1;
        self.unanswered.push_back((self.sequence, now_ms));
        if self.unanswered.len() > MAX_UNANSWERED_RENEWALS {
            self.unanswered.pop_front();
        }
        self.sequence
    }

    /// Returns whether a reply may be applied: it is for this process, not from an older term,
    /// replies to a newer renewal than the last applied reply, and opens a session or belongs to
    /// the current one.
    #[must_use]
    pub fn accepts(&self, reply: &RenewalReply) -> bool {
        reply.incarnation == self.incarnation
            && reply.term >= self.term
            && reply.sequence > self.applied_sequence
            && reply.sequence <= self.sequence
            && (matches!(reply.verdict, LeaseVerdict::NeedsFullRenewal | LeaseVerdict::Superseded)
                || (reply.term, reply.session) == (self.term, self.session))
    }

    /// Applies a reply for which [`ServingLease::accepts`] returned true. The lease is renewed only
    /// if the instance has caught up with the leader's configuration.
    pub fn apply_reply(&mut self, reply: &RenewalReply, has_caught_up: bool) {
        self.term = reply.term;
        self.session = reply.session;
        self.applied_sequence = reply.sequence;
        let sent = self.unanswered.iter().find(|(sequence, _)| *sequence == reply.sequence);
        let sent_at_ms = sent.map(|(_, sent_at_ms)| *sent_at_ms);
        self.unanswered.retain(|(sequence, _)| *sequence > reply.sequence);
        let LeaseVerdict::Granted { lease_ms } = reply.verdict else { return };
        if let Some(sent_at_ms) = sent_at_ms.filter(|_| has_caught_up) {
            let expires_at_ms = sent_at_ms + self.settings.holder_lease_ms(lease_ms);
            self.expires_at_ms = Some(expires_at_ms.max(self.expires_at_ms.unwrap_or(0)));
        }
    }

    /// Returns whether the instance may accept requests, coordinate and use shares now.
    #[must_use]
    pub fn may_serve(&self, now_ms: u64) -> bool {
        self.remaining_ms(now_ms) > 0
    }

    /// Returns the remaining validity of the lease. A coordinator of engines that ignore fencing
    /// tokens sends an order only if this is at least the timeout of the order.
    #[must_use]
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.expires_at_ms.unwrap_or(0).saturating_sub(now_ms)
    }

    /// Returns the term of the last applied reply.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the session with the leader of that term.
    #[must_use]
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Returns the sequence of the renewal whose reply was applied last.
    #[must_use]
    pub fn applied_sequence(&self) -> u64 {
        self.applied_sequence
    }
}
