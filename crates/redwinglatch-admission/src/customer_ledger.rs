//! Caps of customers as a core process grants them.

use std::collections::HashMap;

use crate::{CustomerCap, TokenBucket, customer_cap::units_in};

/// A leader drops the share of a voter whose latest acknowledged message is older than this.
const POOLED_VOTER_MS: u64 = 1_000;
/// A voter grants from its own share after this time without a leader. Longer than a leader keeps pooling the share.
const LEADERLESS_MS: u64 = 1_500;
/// A process that did nothing for this long was suspended, and may have missed a new leader.
const SUSPENDED_MS: u64 = 400;
/// Time for which entry processes that have lost contact keep their part of the caps. They spend nothing after that.
pub(crate) const MISSING_ENTRY_MS: u64 = 600_000;
/// Time after which a bucket that has started nearly empty shows which usage is beyond the cap.
const STARTING_MS: u64 = 4_000;
/// Most time after which a refused request is told to return.
const MAX_RETRY_MS: u64 = 2_000;
/// Prefetched credits of all entry processes together, per second and at once, in milliseconds of the rate. They
/// keep what is carried into a window below the units of [`CREDIT_VALIDITY_MS`](crate::CREDIT_VALIDITY_MS).
const AHEAD_MS_PER_S: u64 = 500;
const AHEAD_BURST_MS: u64 = 125;

/// The leadership of a process whose lease is valid, so that no other process leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The term of the leader.
    pub term: u64,
    /// For each other voter, the time at which the latest message that it has acknowledged was sent.
    pub acked_sent_ms: Vec<Option<u64>>,
}

/// What a core process knows of the other processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreContact {
    /// Number of voters, or 0 if the process isn't one of them.
    pub voters: usize,
    /// The leadership of this process, if it leads.
    pub leadership: Option<Leadership>,
    /// The time of the last message of a leader.
    pub leader_heard_ms: Option<u64>,
    /// Number of connected entry processes.
    pub entries: usize,
}

/// The decision on an entry process's request for credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditDecision {
    /// The entry process may use this many units.
    Granted(u64),
    /// The usage is beyond the cap.
    OverCap {
        /// The time after which the request may be sent again.
        retry_after_ms: u64,
    },
    /// This process has granted for a short time only, and its bucket has started nearly empty. The usage may be
    /// within the cap.
    Starting {
        /// The time after which the units may be requested again.
        retry_after_ms: u64,
    },
    /// This process grants nothing now; another one may.
    NotGranting,
}

/// What a core process may still grant of a cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapState {
    /// The part of the cap that this process grants, in thousandths of a unit per second.
    pub rate_milli: u64,
    /// The units that it may grant at once.
    pub level: i64,
    /// The units that it has granted since its start.
    pub granted: u64,
}

#[derive(Debug)]
struct Account {
    cap: CustomerCap,
    bucket: TokenBucket,
    ahead: TokenBucket,
    /// The part of the cap that this process grants.
    rate_milli: u64,
    capacity: u64,
    /// Requests that were refused are told to return one after the other; the last one at this time.
    returns_until_ms: u64,
    granted: u64,
}

/// The voters whose shares of the caps a process grants from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Share {
    /// The term of the leader, or `None` for the own share of a voter without a leader.
    term: Option<u64>,
    pooled: u64,
    voters: u64,
    entries: u64,
    most_entries: u64,
}

impl Share {
    /// Returns the part of a cap that the process grants.
    ///
    /// A leader leaves out the larger of the parts of lost voters and lost entry processes: lost entry processes spend
    /// either their own part, or that of the voters that they are lost with. The product of both would leave a data
    /// centre's part out twice. A voter without a leader grants the product.
    fn of(&self, units: u64) -> u64 {
        let (pooled, voters) = (u128::from(self.pooled), u128::from(self.voters.max(1)));
        let (entries, most) = (u128::from(self.entries), u128::from(self.most_entries.max(1)));
        let part = match self.term {
            Some(_) => (pooled * most).min(entries * voters),
            None => pooled * entries,
        };
        let whole = voters * most;
        u64::try_from(u128::from(units) * part / whole).unwrap_or(u64::MAX)
    }
}

/// Largest number of entry processes at the same time.
#[derive(Debug, Default)]
struct MostEntries {
    period: u64,
    current: usize,
    previous: usize,
}

impl MostEntries {
    fn record(&mut self, now_ms: u64, entries: usize) -> usize {
        let period = now_ms / MISSING_ENTRY_MS;
        if period > self.period {
            self.previous = if period == self.period + 1 { self.current } else { 0 };
            self.current = 0;
            self.period = period;
        }
        self.current = self.current.max(entries);
        self.current.max(self.previous)
    }

    fn one_has_left(&mut self) {
        self.current = self.current.saturating_sub(1);
        self.previous = self.previous.saturating_sub(1);
    }
}

/// The caps of all customers at one core process.
///
/// Each of K voters owns 1/K of every cap. The leader pools the shares of the voters in contact and grants from all
/// of them; a voter without a leader grants from its own. Entry processes that have lost contact may spend their own
/// part of the caps, which the process that grants leaves to them.
#[derive(Debug, Default)]
pub struct CustomerLedger {
    accounts: HashMap<Box<str>, Account>,
    share: Option<Share>,
    granting_since_ms: u64,
    updated_ms: u64,
    /// The time since which this process has run without a suspension.
    awake_since_ms: u64,
    /// The last time at which this process led.
    led_ms: u64,
    most_entries: MostEntries,
}

impl CustomerLedger {
    /// Creates the ledger of a process that starts now.
    #[must_use]
    pub fn new(now_ms: u64) -> CustomerLedger {
        CustomerLedger { updated_ms: now_ms, awake_since_ms: now_ms, ..CustomerLedger::default() }
    }

    /// Sets the caps of a configuration. A cap that changes adds no units at once.
    pub fn set_caps(
        &mut self,
        now_ms: u64,
        caps: impl IntoIterator<Item = (Box<str>, CustomerCap)>,
    ) {
        let mut former = std::mem::take(&mut self.accounts);
        for (name, cap) in caps {
            let account = match former.remove(&name) {
                Some(mut account) => {
                    account.cap = cap;
                    account
                }
                None => Account {
                    cap,
                    bucket: TokenBucket::default(),
                    ahead: TokenBucket::default(),
                    rate_milli: 0,
                    capacity: 0,
                    returns_until_ms: 0,
                    granted: 0,
                },
            };
            self.accounts.insert(name, account);
        }
        let share = self.share;
        for account in self.accounts.values_mut() {
            let is_new = account.granted == 0 && account.bucket.level(now_ms) == 0;
            account.apply(now_ms, share);
            if is_new && let Some(share) = share {
                account.bucket.set_level(now_ms, share.of(account.cap.start_level()).max(1));
            }
        }
    }

    /// Returns whether any customer has a cap.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Follows the contact to other processes. Call it every few milliseconds, and before each decision that
    /// follows a longer pause.
    pub fn update(&mut self, now_ms: u64, contact: &CoreContact) {
        if now_ms > self.updated_ms + SUSPENDED_MS {
            self.awake_since_ms = now_ms;
            // Another process may have granted everything in the meantime.
            self.share = None;
        }
        self.updated_ms = self.updated_ms.max(now_ms);
        let most_entries = self.most_entries.record(now_ms, contact.entries);
        let share = self.pooled_voters(now_ms, contact).map(|(term, pooled)| Share {
            term,
            pooled: pooled as u64,
            voters: contact.voters as u64,
            // Without any entry process there is nobody to leave a part to.
            entries: if most_entries == 0 { 1 } else { contact.entries as u64 },
            most_entries: most_entries.max(1) as u64,
        });
        if share == self.share {
            return;
        }
        let is_new = match (&self.share, &share) {
            (Some(former), Some(share)) => former.term != share.term,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        self.share = share;
        if is_new {
            self.granting_since_ms = now_ms;
        }
        for account in self.accounts.values_mut() {
            if is_new && let Some(share) = share {
                let start = share.of(account.cap.start_level()).max(1);
                account.apply(now_ms, Some(share));
                if account.granted == 0 {
                    account.bucket.set_level(now_ms, start);
                } else {
                    account.bucket.lower_to(now_ms, start);
                }
            } else {
                account.apply(now_ms, share);
            }
        }
    }

    /// Records that an entry process has ended by itself, so that its part of the caps is free.
    pub fn entry_has_left(&mut self) {
        self.most_entries.one_has_left();
    }

    /// Returns the term and the number of voters whose shares this process grants from.
    fn pooled_voters(
        &mut self,
        now_ms: u64,
        contact: &CoreContact,
    ) -> Option<(Option<u64>, usize)> {
        if contact.voters == 0 {
            return None;
        }
        if let Some(leadership) = &contact.leadership {
            self.led_ms = now_ms;
            let in_contact = |acked: &&Option<u64>| {
                acked.is_some_and(|sent_ms| now_ms < sent_ms + POOLED_VOTER_MS)
            };
            let others = leadership.acked_sent_ms.iter().filter(in_contact).count();
            return Some((Some(leadership.term), others + 1));
        }
        let heard_ms = contact.leader_heard_ms.unwrap_or_default();
        let since_ms = heard_ms.max(self.awake_since_ms).max(self.led_ms);
        (now_ms >= since_ms + LEADERLESS_MS).then_some((None, 1))
    }

    /// Returns whether this process grants credits.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.share.is_some()
    }

    /// Decides on a request for `needed` units, and `ahead` more while the bucket is more than half full.
    pub fn request(
        &mut self,
        now_ms: u64,
        customer: &str,
        needed: u64,
        ahead: u64,
    ) -> CreditDecision {
        if self.share.is_none() || now_ms > self.updated_ms + SUSPENDED_MS {
            return CreditDecision::NotGranting;
        }
        // The entry process may have a newer configuration.
        let Some(account) = self.accounts.get_mut(customer) else {
            return CreditDecision::NotGranting;
        };
        match account.request(now_ms, needed, ahead) {
            Ok(granted) => CreditDecision::Granted(granted),
            Err(wait_ms) if now_ms < self.granting_since_ms + STARTING_MS => {
                CreditDecision::Starting { retry_after_ms: wait_ms.max(1) }
            }
            Err(wait_ms) => CreditDecision::OverCap {
                retry_after_ms: account.next_turn(now_ms, needed, wait_ms),
            },
        }
    }

    /// Returns the state of each cap.
    pub fn states(&mut self, now_ms: u64) -> Vec<(&str, CapState)> {
        let share = self.share;
        let accounts = self.accounts.iter_mut();
        let mut states: Vec<_> = accounts
            .map(|(name, account)| {
                let rate_milli = share.map_or(0, |share| share.of(account.cap.rate_milli()));
                let level = if share.is_some() { account.bucket.level(now_ms) } else { 0 };
                (&**name, CapState { rate_milli, level, granted: account.granted })
            })
            .collect();
        states.sort_unstable_by_key(|(name, _)| *name);
        states
    }
}

impl Account {
    /// Changes the limits of the buckets to a share of the cap.
    fn apply(&mut self, now_ms: u64, share: Option<Share>) {
        // Without a share nothing is granted, and the level is kept for a share of the same term.
        let Some(share) = share else { return };
        self.rate_milli = share.of(self.cap.rate_milli());
        self.capacity = share.of(self.cap.capacity()).max(1);
        self.bucket.set_limit(now_ms, self.rate_milli, self.capacity);
        let ahead_milli = self.rate_milli.saturating_mul(AHEAD_MS_PER_S) / 1_000;
        self.ahead.set_limit(now_ms, ahead_milli, units_in(self.rate_milli, AHEAD_BURST_MS));
    }

    /// Takes units, or returns the time after which the bucket contains them.
    fn request(&mut self, now_ms: u64, needed: u64, ahead: u64) -> Result<u64, u64> {
        let taken = self.bucket.take_up_to_capacity(now_ms, needed);
        taken.map_err(|wait_ms| wait_ms.map_or(MAX_RETRY_MS, u64::from))?;
        let capacity = i64::try_from(self.capacity).unwrap_or(i64::MAX);
        let is_ample = self.bucket.level(now_ms) > capacity / 2;
        let ahead = if is_ample {
            let left = self.ahead.level(now_ms).min(self.bucket.level(now_ms)).max(0);
            ahead.min(u64::try_from(left).unwrap_or_default())
        } else {
            0
        };
        let has_ahead = ahead > 0
            && self.ahead.take_up_to_capacity(now_ms, ahead).is_ok()
            && self.bucket.take_up_to_capacity(now_ms, ahead).is_ok();
        let granted = needed.saturating_add(if has_ahead { ahead } else { 0 });
        self.granted = self.granted.saturating_add(granted);
        Ok(granted)
    }

    /// Returns the time after which a refused request may be sent again. Requests that were refused together and all
    /// returned at the same time would be refused again.
    fn next_turn(&mut self, now_ms: u64, needed: u64, wait_ms: u64) -> u64 {
        let turn_ms = self.returns_until_ms.max(now_ms.saturating_add(wait_ms));
        let retry_after_ms = (turn_ms - now_ms).clamp(1, wait_ms.max(MAX_RETRY_MS));
        let own_ms = needed.saturating_mul(1_000_000) / self.rate_milli.max(1);
        self.returns_until_ms = now_ms.saturating_add(retry_after_ms).saturating_add(own_ms);
        retry_after_ms
    }
}
