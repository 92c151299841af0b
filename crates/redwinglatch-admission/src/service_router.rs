//! Routes requests to the replicas of plain services.

use fastrand::Rng;
use redwinglatch_core::prelude::*;
use smallvec::SmallVec;

use crate::Backoff;

/// Consecutive failed attempts after which a replica gets no new work.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Requests in flight that a local replica may have above a remote one before the remote one is
/// preferred.
const REMOTE_PENALTY_REQUESTS: u32 = 4;

/// Identifies a replica within one router. Keys are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(u32);

/// A replica as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedReplica {
    /// The address, as `ip:port`.
    pub address: Box<str>,
    /// The data centre.
    pub data_centre: Box<str>,
    /// Whether the platform lists it as leaving.
    pub is_leaving: bool,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica responded.
    Responded,
    /// The replica refused the connection.
    ConnectRefused,
    /// The attempt failed in another way: a reset, a timeout or an error.
    Failed,
    /// The replica announced that it is leaving.
    Leaving,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Healthy,
    /// Gets no new work until `until_ms`; then one request probes it.
    Unhealthy {
        until_ms: u64,
        failures: u32,
    },
    /// A probe is in flight; if it has no outcome by `until_ms`, another probe may follow.
    Probing {
        until_ms: u64,
        failures: u32,
    },
}

#[derive(Debug)]
struct Replica {
    key: ReplicaKey,
    address: Box<str>,
    is_local: bool,
    is_listed: bool,
    is_leaving: bool,
    /// Whether the latest backend list contained it as leaving.
    was_listed_leaving: bool,
    in_flight: u32,
    consecutive_failures: u32,
    health: Health,
}

impl Replica {
    fn is_available(&self, now_ms: u64) -> bool {
        let healthy = match self.health {
            Health::Healthy => true,
            Health::Unhealthy { until_ms, .. } | Health::Probing { until_ms, .. } => {
                until_ms <= now_ms
            }
        };
        self.is_listed && !self.is_leaving && healthy
    }

    fn cost(&self) -> u32 {
        self.in_flight + if self.is_local { 0 } else { REMOTE_PENALTY_REQUESTS }
    }
}

/// Chooses among the replicas of one plain service by this instance's requests in flight.
#[derive(Debug)]
pub struct ServiceRouter {
    data_centre: Box<str>,
    probe_backoff: Backoff,
    probe_timeout_ms: u64,
    replicas: Vec<Replica>,
    next_key: u32,
}

impl ServiceRouter {
    /// Creates a router without replicas; `data_centre` is the one of this instance.
    #[must_use]
    pub fn new(data_centre: impl Into<Box<str>>) -> ServiceRouter {
        ServiceRouter {
            data_centre: data_centre.into(),
            probe_backoff: Backoff { initial_ms: 500, max_ms: 8_000 },
            probe_timeout_ms: 5_000,
            replicas: Vec::new(),
            next_key: 0,
        }
    }

    /// Applies the backend list of the platform.
    ///
    /// The list may lag, so a replica that announced itself that it is leaving stays leaving until
    /// the list drops it, or lists it as live after having listed it as leaving. A replica that is
    /// listed again under the same address after it was dropped is a new replica.
    pub fn update_list(&mut self, list: &[ListedReplica]) {
        for replica in &mut self.replicas {
            replica.is_listed = list.iter().any(|listed| listed.address == replica.address);
        }
        for listed in list {
            let is_local = listed.data_centre == self.data_centre;
            let is_listed = |replica: &&mut Replica| replica.is_listed;
            let mut known = self.replicas.iter_mut().filter(is_listed);
            if let Some(replica) = known.find(|replica| replica.address == listed.address) {
                replica.is_local = is_local;
                if replica.was_listed_leaving && !listed.is_leaving {
                    replica.is_leaving = false;
                }
                replica.was_listed_leaving = listed.is_leaving;
                replica.is_leaving |= listed.is_leaving;
                continue;
            }
            self.replicas.push(Replica {
                key: ReplicaKey(self.next_key),
                address: listed.address.clone(),
                is_local,
                is_listed: true,
                is_leaving: listed.is_leaving,
                was_listed_leaving: listed.is_leaving,
                in_flight: 0,
                consecutive_failures: 0,
                health: Health::Healthy,
            });
            self.next_key += 1;
        }
        self.replicas.retain(|replica| replica.is_listed || replica.in_flight > 0);
    }

    /// Marks a replica as leaving that announced it in another way, such as its health response.
    pub fn set_leaving(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replica(key) {
            replica.is_leaving = true;
        }
    }

    /// Chooses a replica for one attempt and counts the attempt as in flight. Replicas in `avoid`
    /// failed earlier attempts of the request and are used only if no other is available.
    ///
    /// # Errors
    ///
    /// Refuses when no replica takes new work.
    pub fn choose(
        &mut self,
        now_ms: u64,
        avoid: &[ReplicaKey],
        rng: &mut Rng,
    ) -> Result<ReplicaKey, Refusal> {
        let is_available = |replica: &Replica| replica.is_available(now_ms);
        let positions = |wanted: &dyn Fn(&Replica) -> bool| -> SmallVec<[usize; 16]> {
            let positions = self.replicas.iter().enumerate();
            positions.filter(|(_, replica)| wanted(replica)).map(|(at, _)| at).collect()
        };
        // A replica whose probe is due gets first attempts, because their retries can use another
        // replica, and retries only if no replica is healthy.
        let is_due_for_probe = |replica: &Replica| {
            is_available(replica)
                && replica.health != Health::Healthy
                && !avoid.contains(&replica.key)
        };
        let healthy = positions(&|replica: &Replica| {
            is_available(replica)
                && replica.health == Health::Healthy
                && !avoid.contains(&replica.key)
        });
        let probe_due = positions(&is_due_for_probe);
        let available = positions(&is_available);
        let chosen = match (probe_due.first(), healthy.is_empty(), available.is_empty()) {
            (Some(position), _, _) if avoid.is_empty() || healthy.is_empty() => *position,
            (_, false, _) => self.less_loaded_of_two(&healthy, rng),
            (_, true, false) => self.less_loaded_of_two(&available, rng),
            (_, true, true) => return Err(self.refusal(now_ms)),
        };
        let probe_until_ms = now_ms + self.probe_timeout_ms;
        let replica = &mut self.replicas[chosen];
        if let Health::Unhealthy { failures, .. } | Health::Probing { failures, .. } =
            replica.health
        {
            replica.health = Health::Probing { until_ms: probe_until_ms, failures };
        }
        replica.in_flight += 1;
        Ok(replica.key)
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        key: ReplicaKey,
        outcome: AttemptOutcome,
        rng: &mut Rng,
    ) {
        let backoff = self.probe_backoff;
        let Some(replica) = self.replica(key) else { return };
        replica.in_flight = replica.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Responded => {
                replica.consecutive_failures = 0;
                replica.health = Health::Healthy;
            }
            AttemptOutcome::Leaving => replica.is_leaving = true,
            AttemptOutcome::ConnectRefused | AttemptOutcome::Failed => {
                replica.consecutive_failures += 1;
                let failures = match replica.health {
                    Health::Healthy if replica.consecutive_failures < MAX_CONSECUTIVE_FAILURES => {
                        return;
                    }
                    Health::Healthy => 1,
                    Health::Unhealthy { failures, .. } => failures,
                    Health::Probing { failures, .. } => failures + 1,
                };
                let until_ms = now_ms + backoff.delay_ms(failures, rng);
                replica.health = Health::Unhealthy { until_ms, failures };
            }
        }
        self.replicas.retain(|replica| replica.is_listed || replica.in_flight > 0);
    }

    /// Returns the address of a replica.
    #[must_use]
    pub fn address(&self, key: ReplicaKey) -> Option<&str> {
        let replica = self.replicas.iter().find(|replica| replica.key == key)?;
        Some(&replica.address)
    }

    /// Returns this instance's requests in flight at a replica.
    #[must_use]
    pub fn in_flight(&self, key: ReplicaKey) -> u32 {
        let replica = self.replicas.iter().find(|replica| replica.key == key);
        replica.map_or(0, |replica| replica.in_flight)
    }

    fn replica(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.key == key)
    }

    /// Returns the less loaded of two random candidates. Two are enough to avoid the busiest
    /// replica, and instances that decide at the same time don't all choose the same one.
    fn less_loaded_of_two(&self, candidates: &[usize], rng: &mut Rng) -> usize {
        let first = rng.usize(0..candidates.len());
        let mut second = first;
        if candidates.len() > 1 {
            second = (first + rng.usize(1..candidates.len())) % candidates.len();
        }
        let (first, second) = (candidates[first], candidates[second]);
        if self.replicas[second].cost() < self.replicas[first].cost() { second } else { first }
    }

    fn refusal(&self, now_ms: u64) -> Refusal {
        let listed =
            self.replicas.iter().filter(|replica| replica.is_listed && !replica.is_leaving);
        let due = listed.clone().filter_map(|replica| match replica.health {
            Health::Healthy => None,
            Health::Unhealthy { until_ms, .. } | Health::Probing { until_ms, .. } => Some(until_ms),
        });
        let wait_ms = due.min().map_or(1_000, |until_ms| until_ms.saturating_sub(now_ms).max(1));
        let detail = format!(
            "none of {} replicas accepts new work: {} are failing, the others are leaving",
            self.replicas.len(),
            listed.count()
        );
        let retry_after_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        Refusal::not_run(RefusalReason::NoServiceReplica, detail).retry_after_ms(retry_after_ms)
    }
}
