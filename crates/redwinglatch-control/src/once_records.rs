//! Idempotency records: at most one run of each marked request.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{CommandOutcome, OnceOutcome, StateLimits};

/// Estimated memory of a record without its key and body: map entries, expiry entry, reference
/// counts. The `slopes` example shows 230 to 320 resident bytes besides a key of 51 bytes.
const RECORD_OVERHEAD_BYTES: usize = 300;
/// Time for which the record of a released claim is kept, so that a duplicate of the claim in the
/// log is not granted.
const RELEASED_CLAIM_RETENTION_S: u64 = 600;
/// Maximum number of records that one `ExpireOnce` removes, so that one log entry doesn't delay the
/// log for long.
const MAX_RECORDS_PER_EXPIRY: usize = 20_000;

/// Number and size of the idempotency records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnceUsage {
    /// The number of records.
    pub records: usize,
    /// The estimated memory of all records in bytes.
    pub bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claimant {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) request: RequestId,
}

impl Claimant {
    fn process(&self) -> (InstanceId, Incarnation) {
        (self.instance, self.incarnation)
    }
}

pub(crate) struct Claim<'a> {
    pub(crate) key: &'a str,
    pub(crate) customer: &'a str,
    pub(crate) request_digest: u64,
    pub(crate) claimant: Claimant,
    pub(crate) at_most_once: bool,
    pub(crate) now_wall_s: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum RecordState {
    Running,
    Answered {
        status: u16,
        body: Box<[u8]>,
    },
    /// The request may have run. Only a key that was never marked at-most-once may run again.
    Unknown {
        /// Whether the claimant reported this outcome. If the record is unknown only because the
        /// claimant's lease expired, the claimant may still finish it.
        is_final: bool,
    },
    /// The request is known not to have run; a retry may run.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    digest: u64,
    claim: u64,
    claimant: Claimant,
    at_most_once: bool,
    /// Whether the request of an earlier claim of this key may have run. Then `NotRun` for the
    /// current claim doesn't prove that the key never ran.
    may_have_run_before: bool,
    expires_wall_s: u64,
    state: RecordState,
}

impl Record {
    fn bytes(&self, key: &str) -> usize {
        let body = match &self.state {
            RecordState::Answered { body, .. } => body.len(),
            _ => 0,
        };
        RECORD_OVERHEAD_BYTES + key.len() + body
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct OnceRecords {
    records: HashMap<Arc<str>, Record>,
    by_expiry: BTreeSet<(u64, Arc<str>)>,
    /// Record names of the running claims, by process.
    running: BTreeMap<(InstanceId, Incarnation), BTreeSet<Arc<str>>>,
    bytes: usize,
    /// The latest time of an `ExpireOnce`. It is the earliest start of a record's retention, so
    /// that the record of an instance with a slow clock doesn't expire early.
    latest_expiry_wall_s: u64,
}

impl OnceRecords {
    pub(crate) fn usage(&self) -> OnceUsage {
        OnceUsage { records: self.records.len(), bytes: self.bytes }
    }

    /// Returns the processes with running claims.
    pub(crate) fn claimants(&self) -> impl Iterator<Item = (InstanceId, Incarnation)> {
        self.running.keys().copied()
    }

    pub(crate) fn claim(
        &mut self,
        index: u64,
        claim: &Claim<'_>,
        limits: &StateLimits,
    ) -> CommandOutcome {
        if claim.key.len() > limits.key_bytes || claim.customer.len() > limits.key_bytes {
            return CommandOutcome::Full;
        }
        let name = record_name(claim.customer, claim.key);
        let mut may_have_run_before = false;
        let mut at_most_once = claim.at_most_once;
        if let Some(record) = self.records.get(&*name) {
            if record.digest != claim.request_digest {
                return CommandOutcome::KeyReused;
            }
            let same_claim = record.claimant == claim.claimant;
            match &record.state {
                RecordState::Running if same_claim => {
                    return CommandOutcome::Granted { claim: record.claim };
                }
                RecordState::Running => {
                    return CommandOutcome::Running { instance: record.claimant.instance };
                }
                RecordState::Answered { status, body } => {
                    return CommandOutcome::Answered { status: *status, body: body.clone() };
                }
                RecordState::Unknown { .. } if record.at_most_once || claim.at_most_once => {
                    return CommandOutcome::Unknown;
                }
                _ if same_claim => return CommandOutcome::Superseded,
                RecordState::Unknown { .. } => may_have_run_before = true,
                RecordState::Released => at_most_once |= record.at_most_once,
            }
        }
        if !self.has_capacity(&name, limits) {
            return CommandOutcome::Full;
        }
        let start_wall_s = claim.now_wall_s.max(self.latest_expiry_wall_s);
        self.insert_record(
            name,
            Record {
                digest: claim.request_digest,
                claim: index,
                claimant: claim.claimant,
                at_most_once,
                may_have_run_before,
                expires_wall_s: start_wall_s.saturating_add(limits.once_keep_s),
                state: RecordState::Running,
            },
        );
        CommandOutcome::Granted { claim: index }
    }

    /// Returns whether there is a record of the key, so that an earlier request with it may have
    /// run.
    pub(crate) fn has_record(&self, customer: &str, key: &str) -> bool {
        self.records.contains_key(&*record_name(customer, key))
    }

    /// Returns whether a claim fits within the limits. A sixteenth of the bytes stays reserved for
    /// the responses of running claims.
    fn has_capacity(&self, name: &str, limits: &StateLimits) -> bool {
        let existing = usize::from(self.records.contains_key(name));
        let bytes = self.bytes + RECORD_OVERHEAD_BYTES + name.len();
        self.records.len() - existing < limits.once_records
            && bytes <= limits.once_bytes - limits.once_bytes / 16
    }

    pub(crate) fn finish(
        &mut self,
        (customer, key): (&str, &str),
        (claim, incarnation): (u64, Incarnation),
        outcome: &OnceOutcome,
        limits: &StateLimits,
    ) -> CommandOutcome {
        let name = record_name(customer, key);
        let Some(record) = self.records.get(&*name) else { return CommandOutcome::Superseded };
        let is_current_claim = record.claim == claim && record.claimant.incarnation == incarnation;
        let can_finish =
            matches!(record.state, RecordState::Running | RecordState::Unknown { is_final: false });
        if !is_current_claim || !can_finish {
            return CommandOutcome::Superseded;
        }
        let mut record = record.clone();
        let mut result = CommandOutcome::Finished;
        record.state = match outcome {
            OnceOutcome::Answered { status, body } => {
                let fits = self.bytes + body.len() <= limits.once_bytes;
                if body.len() <= limits.body_bytes && fits {
                    RecordState::Answered { status: *status, body: body.clone() }
                } else {
                    // The response can't be replayed, but the request must not run again.
                    record.at_most_once = true;
                    result = CommandOutcome::FinishedWithoutBody;
                    RecordState::Unknown { is_final: true }
                }
            }
            OnceOutcome::NotRun if record.may_have_run_before => {
                RecordState::Unknown { is_final: true }
            }
            OnceOutcome::NotRun => {
                let keep_until_wall_s =
                    self.latest_expiry_wall_s.saturating_add(RELEASED_CLAIM_RETENTION_S);
                record.expires_wall_s = record.expires_wall_s.min(keep_until_wall_s);
                RecordState::Released
            }
            OnceOutcome::Unknown => RecordState::Unknown { is_final: true },
        };
        self.insert_record(name, record);
        result
    }

    pub(crate) fn end_claims(&mut self, process: (InstanceId, Incarnation)) -> CommandOutcome {
        let (mut unknown, mut released) = (0, 0);
        for name in self.running.remove(&process).unwrap_or_default() {
            let Some(record) = self.records.get_mut(&name) else { continue };
            record.state = RecordState::Unknown { is_final: false };
            if record.at_most_once {
                unknown += 1;
            } else {
                released += 1;
            }
        }
        CommandOutcome::ClaimsEnded { unknown, released }
    }

    pub(crate) fn expire(&mut self, now_wall_s: u64) -> CommandOutcome {
        self.latest_expiry_wall_s = self.latest_expiry_wall_s.max(now_wall_s);
        let mut records = 0;
        while (records as usize) < MAX_RECORDS_PER_EXPIRY {
            let Some((expires_wall_s, name)) = self.by_expiry.first() else { break };
            if *expires_wall_s > now_wall_s {
                break;
            }
            let name = name.clone();
            self.remove(&name);
            records += 1;
        }
        CommandOutcome::Expired { records }
    }

    fn insert_record(&mut self, name: Arc<str>, record: Record) {
        self.remove(&name);
        self.bytes += record.bytes(&name);
        self.by_expiry.insert((record.expires_wall_s, name.clone()));
        if record.state == RecordState::Running {
            let process = record.claimant.process();
            self.running.entry(process).or_default().insert(name.clone());
        }
        self.records.insert(name, record);
    }

    fn remove(&mut self, name: &str) {
        let Some((name, record)) = self.records.remove_entry(name) else { return };
        self.bytes -= record.bytes(&name);
        self.by_expiry.remove(&(record.expires_wall_s, name.clone()));
        let process = record.claimant.process();
        if let Some(names) = self.running.get_mut(&process) {
            names.remove(&name);
            if names.is_empty() {
                self.running.remove(&process);
            }
        }
    }
}

/// Joins customer and key with a NUL, which customer names can't contain.
fn record_name(customer: &str, key: &str) -> Arc<str> {
    let mut name = String::with_capacity(customer.len() + 1 + key.len());
    name.push_str(customer);
    name.push('\0');
    name.push_str(key);
    name.into()
}

impl Serialize for OnceRecords {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let records: Vec<(&str, &Record)> = self
            .by_expiry
            .iter()
            .filter_map(|(_, name)| Some((&**name, self.records.get(name)?)))
            .collect();
        (self.latest_expiry_wall_s, records).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for OnceRecords {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (latest_expiry_wall_s, list) =
            <(u64, Vec<(Box<str>, Record)>)>::deserialize(deserializer)?;
        let mut records = OnceRecords { latest_expiry_wall_s, ..OnceRecords::default() };
        for (name, record) in list {
            records.insert_record(name.into(), record);
        }
        Ok(records)
    }
}
