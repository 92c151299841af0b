//! Linearizability check of contract changes.

use std::collections::{BTreeMap, HashMap};

use redwinglatch_core::prelude::*;

/// A contract change that an operator requested. A change that was resent under one change id is
/// one write, from its first request to its first response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractWrite {
    /// The customer.
    pub customer: Box<str>,
    /// The revision that the operator read.
    pub expected: Revision,
    /// A digest of the new contract, different for each write; `None` for a removal.
    pub content_digest: Option<u64>,
    /// Time of the first request.
    pub start: u64,
    /// Time and result of the first response; `None` if there was no response.
    pub end: Option<(u64, WriteResult)>,
}

/// Result of a contract change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The change was reported as accepted, and thus in force everywhere.
    Accepted {
        /// The revision of the change.
        revision: Revision,
    },
    /// The current revision was not the expected one.
    Conflict {
        /// The current revision; 0 if the customer had no contract.
        current_revision: Revision,
    },
}

/// A decision of an instance about a request under a contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractDecision {
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
    /// Time of the decision.
    pub at: u64,
    /// The customer.
    pub customer: Box<str>,
    /// The revision of the contract; 0 if the instance had no contract of the customer.
    pub revision: Revision,
}

/// A part of a history of contract changes that a correct system can't produce.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("customer `{customer}`: {problem}")]
pub struct ContractViolation {
    /// The customer.
    pub customer: Box<str>,
    /// Description of the violation.
    pub problem: String,
}

/// A write that took effect, with the operations that read its revision as the current one.
#[derive(Debug)]
struct Cluster {
    content_digest: Option<u64>,
    start: u64,
    end: Option<u64>,
    last_start: u64,
    first_end: u64,
}

/// Checks the contract changes and decisions of all customers.
///
/// Revisions order the writes, so a history is linearizable if and only if no operation that read a
/// revision ended before the start of an operation that read an earlier revision.
///
/// # Errors
///
/// Returns the first violation found.
pub fn check_contracts(
    writes: &[ContractWrite],
    decisions: &[ContractDecision],
) -> Result<(), ContractViolation> {
    let mut customers: BTreeMap<&str, (Vec<&ContractWrite>, Vec<&ContractDecision>)> =
        BTreeMap::new();
    for write in writes {
        customers.entry(&write.customer).or_default().0.push(write);
    }
    for decision in decisions {
        customers.entry(&decision.customer).or_default().1.push(decision);
    }
    for (customer, (writes, decisions)) in customers {
        check_customer(&writes, &decisions)
            .map_err(|problem| ContractViolation { customer: customer.into(), problem })?;
    }
    Ok(())
}

fn check_customer(
    writes: &[&ContractWrite],
    decisions: &[&ContractDecision],
) -> Result<(), String> {
    let mut clusters = accepted_clusters(writes)?;
    add_unanswered_writes(writes, decisions, &mut clusters)?;
    check_chain(writes, &clusters)?;
    apply_conflicts(writes, &mut clusters)?;
    check_order(&clusters)?;
    check_decisions(writes, decisions, &clusters)
}

fn accepted_clusters(writes: &[&ContractWrite]) -> Result<BTreeMap<Revision, Cluster>, String> {
    let mut clusters = BTreeMap::new();
    for write in writes {
        let Some((end, WriteResult::Accepted { revision })) = write.end else { continue };
        let cluster = Cluster {
            content_digest: write.content_digest,
            start: write.start,
            end: Some(end),
            last_start: write.start,
            first_end: end,
        };
        if clusters.insert(revision, cluster).is_some() {
            return Err(format!("two writes were accepted as revision {revision}"));
        }
    }
    Ok(clusters)
}

/// Assigns revisions that were read but never reported to writes without a response.
fn add_unanswered_writes(
    writes: &[&ContractWrite],
    decisions: &[&ContractDecision],
    clusters: &mut BTreeMap<Revision, Cluster>,
) -> Result<(), String> {
    let mut observed: Vec<(Revision, u64)> = Vec::new();
    for write in writes {
        if let Some((end, WriteResult::Conflict { current_revision })) = write.end {
            observed.push((current_revision, end));
        } else if let Some((end, WriteResult::Accepted { .. })) = write.end {
            observed.push((write.expected, end));
        }
    }
    observed.extend(decisions.iter().map(|decision| (decision.revision, decision.at)));
    observed.sort_unstable();
    let mut unanswered: Vec<&&ContractWrite> =
        writes.iter().filter(|write| write.end.is_none()).collect();
    unanswered.sort_by_key(|write| (write.start, write.expected));
    for (revision, end) in observed {
        if revision == Revision(0) || clusters.contains_key(&revision) {
            continue;
        }
        // A removal is never read as a revision of its own.
        let can_explain =
            |write: &ContractWrite| write.start <= end && write.content_digest.is_some();
        let Some(position) = unanswered.iter().position(|write| can_explain(write)) else {
            return Err(format!("revision {revision} was read, but nothing wrote it"));
        };
        let write = unanswered.remove(position);
        let cluster = Cluster {
            content_digest: write.content_digest,
            start: write.start,
            end: None,
            last_start: write.start,
            first_end: u64::MAX,
        };
        clusters.insert(revision, cluster);
    }
    Ok(())
}

/// Checks that each accepted write expected the revision that was current just before it.
fn check_chain(
    writes: &[&ContractWrite],
    clusters: &BTreeMap<Revision, Cluster>,
) -> Result<(), String> {
    let has_unanswered_removal =
        writes.iter().any(|write| write.end.is_none() && write.content_digest.is_none());
    for write in writes {
        let Some((_, WriteResult::Accepted { revision })) = write.end else { continue };
        let before = clusters.range(..revision).next_back();
        let current = match before {
            Some((before, cluster)) if cluster.content_digest.is_some() => *before,
            _ => Revision(0),
        };
        // A removal without a response has no known revision.
        let may_be_removed = has_unanswered_removal && write.expected == Revision(0);
        if write.expected != current && !may_be_removed {
            let expected = write.expected;
            return Err(format!("revision {revision} replaced {current} but expected {expected}"));
        }
    }
    Ok(())
}

fn apply_conflicts(
    writes: &[&ContractWrite],
    clusters: &mut BTreeMap<Revision, Cluster>,
) -> Result<(), String> {
    for write in writes {
        let Some((end, WriteResult::Conflict { current_revision })) = write.end else { continue };
        let removal_of_nothing = write.content_digest.is_none() && current_revision == Revision(0);
        if current_revision == write.expected && !removal_of_nothing {
            return Err(format!(
                "a write that expected {current_revision} found it and still conflicted"
            ));
        }
        // Revision 0 (no contract) is the same before, between and after removals, so it can't be
        // ordered.
        if let Some(cluster) = clusters.get_mut(&current_revision) {
            if end < cluster.start {
                return Err(format!("revision {current_revision} was read before it was written"));
            }
            cluster.last_start = cluster.last_start.max(write.start);
            cluster.first_end = cluster.first_end.min(end);
        }
    }
    Ok(())
}

fn check_order(clusters: &BTreeMap<Revision, Cluster>) -> Result<(), String> {
    let mut latest: Option<(Revision, u64)> = None;
    for (revision, cluster) in clusters {
        if let Some((earlier, start)) = latest
            && cluster.first_end < start
        {
            let problem = format!("revision {revision} was current before {earlier} was");
            return Err(problem);
        }
        if latest.is_none_or(|(_, start)| cluster.last_start > start) {
            latest = Some((*revision, cluster.last_start));
        }
    }
    Ok(())
}

fn check_decisions(
    writes: &[&ContractWrite],
    decisions: &[&ContractDecision],
    clusters: &BTreeMap<Revision, Cluster>,
) -> Result<(), String> {
    let mut reported: Vec<(u64, Revision)> =
        clusters.iter().filter_map(|(revision, cluster)| Some((cluster.end?, *revision))).collect();
    reported.sort_unstable();
    let mut highest = Revision(0);
    for (_, revision) in &mut reported {
        highest = highest.max(*revision);
        *revision = highest;
    }
    let mut by_process: HashMap<(InstanceId, Incarnation), Revision> = HashMap::new();
    let mut decisions = decisions.to_vec();
    decisions.sort_by_key(|decision| decision.at);
    for decision in decisions {
        let at = decision.at;
        // A removal without a response may have taken effect at any revision.
        let may_be_removed = |write: &&&ContractWrite| {
            write.end.is_none() && write.content_digest.is_none() && write.start <= at
        };
        if decision.revision == Revision(0) && writes.iter().any(|write| may_be_removed(&write)) {
            continue;
        }
        let position = reported.partition_point(|(end, _)| *end < at);
        let required = position.checked_sub(1).map_or(Revision(0), |last| reported[last].1);
        let revision = match decision.revision {
            // An instance without the contract may have applied any removal that had started.
            Revision(0) => {
                let removals =
                    clusters.iter().filter(|(_, cluster)| cluster.content_digest.is_none());
                let started = removals.filter(|(_, cluster)| cluster.start <= at);
                started.map(|(revision, _)| *revision).next_back().unwrap_or(Revision(0))
            }
            revision => revision,
        };
        let instance = decision.instance;
        if clusters.get(&revision).is_some_and(|cluster| cluster.start > at) {
            return Err(format!("instance {instance} used {revision} before it was written"));
        }
        if revision < required {
            return Err(format!(
                "instance {instance} used {revision} at {at}, after {required} was reported"
            ));
        }
        let process = (instance, decision.incarnation);
        let last = by_process.entry(process).or_insert(Revision(0));
        if revision < *last {
            return Err(format!("instance {instance} went back from {last} to {revision} at {at}"));
        }
        // For an instance without the contract, the removal that it applied is unknown.
        if decision.revision != Revision(0) {
            *last = revision;
        }
    }
    Ok(())
}
