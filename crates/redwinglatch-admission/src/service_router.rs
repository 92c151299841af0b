//! Routing of plain services.

use fastrand::Rng;
use redwinglatch_core::prelude::*;
use smallvec::SmallVec;

use crate::Backoff;

/// Refused connections in a row after which a replica gets no new work.
const REFUSED_LIMIT: u32 = 3;
/// How much busier a near replica may be before a far one is preferred.
const FAR_PENALTY: u32 = 4;

/// Identifies a replica within one router. Keys are not used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(u32);

/// A replica as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedReplica {
    /// The address, as `ip:port`.
    pub address: Box<str>,
    /// The data centre.
    pub data_centre: Box<str>,
    /// Whether the platform calls it leaving.
    pub leaving: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It answered.
    Answered,
    /// It refused the connection.
    ConnectRefused,
    /// It failed otherwise: a reset, a timeout or an error.
    Failed,
    /// It said that it is leaving.
    Leaving,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Good,
    /// No new work until then; after that one request probes it.
    Bad {
        until_ms: u64,
        failures: u32,
    },
    /// A probe is on its way; if its end is never reported, another one may follow.
    Probing {
        until_ms: u64,
        failures: u32,
    },
}

#[derive(Debug)]
struct Replica {
    key: ReplicaKey,
    address: Box<str>,
    near: bool,
    listed: bool,
    leaving: bool,
    /// Whether the platform's last list called it leaving.
    listed_leaving: bool,
    in_flight: u32,
    failures_in_row: u32,
    health: Health,
}

impl Replica {
    fn takes_work(&self, now_ms: u64) -> bool {
        let healthy = match self.health {
            Health::Good => true,
            Health::Bad { until_ms, .. } | Health::Probing { until_ms, .. } => until_ms <= now_ms,
        };
        self.listed && !self.leaving && healthy
    }

    fn cost(&self) -> u32 {
        self.in_flight + if self.near { 0 } else { FAR_PENALTY }
    }
}

/// Chooses among the replicas of one plain service by own requests in flight.
#[derive(Debug)]
pub struct ServiceRouter {
    data_centre: Box<str>,
    probe_backoff: Backoff,
    probe_timeout_ms: u64,
    replicas: Vec<Replica>,
    next_key: u32,
}

impl ServiceRouter {
    /// A router without replicas, in a data centre.
    #[must_use]
    pub fn new(data_centre: impl Into<Box<str>>) -> ServiceRouter {
        ServiceRouter {
            data_centre: data_centre.into(),
            probe_backoff: Backoff { first_ms: 500, longest_ms: 8_000 },
            probe_timeout_ms: 5_000,
            replicas: Vec::new(),
            next_key: 0,
        }
    }

    /// Takes over the platform's list. A replica that said itself that it is leaving stays so,
    /// because the list may lag, until the list drops it or calls it live after calling it
    /// leaving. One that is listed again under the same address is a new replica.
    pub fn update_list(&mut self, list: &[ListedReplica]) {
        for replica in &mut self.replicas {
            replica.listed = list.iter().any(|listed| listed.address == replica.address);
        }
        for listed in list {
            let near = listed.data_centre == self.data_centre;
            let live = |replica: &&mut Replica| replica.listed;
            let mut known = self.replicas.iter_mut().filter(live);
            if let Some(replica) = known.find(|replica| replica.address == listed.address) {
                replica.near = near;
                if replica.listed_leaving && !listed.leaving {
                    replica.leaving = false;
                }
                replica.listed_leaving = listed.leaving;
                replica.leaving |= listed.leaving;
                continue;
            }
            self.replicas.push(Replica {
                key: ReplicaKey(self.next_key),
                address: listed.address.clone(),
                near,
                listed: true,
                leaving: listed.leaving,
                listed_leaving: listed.leaving,
                in_flight: 0,
                failures_in_row: 0,
                health: Health::Good,
            });
            self.next_key += 1;
        }
        self.replicas.retain(|replica| replica.listed || replica.in_flight > 0);
    }

    /// Marks a replica that announced its leaving in another way, such as its health answer.
    pub fn set_leaving(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replica(key) {
            replica.leaving = true;
        }
    }

    /// Chooses a replica for one attempt and counts it as in flight. Replicas in `avoid` failed
    /// earlier attempts of the request and are used only if there is no other.
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
        let ready = |replica: &Replica| replica.takes_work(now_ms);
        let positions = |wanted: &dyn Fn(&Replica) -> bool| -> SmallVec<[usize; 16]> {
            let positions = self.replicas.iter().enumerate();
            positions.filter(|(_, replica)| wanted(replica)).map(|(at, _)| at).collect()
        };
        // A replica whose probe is due gets this request if there is another one to retry with.
        let probe = |replica: &Replica| {
            ready(replica) && replica.health != Health::Good && !avoid.contains(&replica.key)
        };
        let fresh = positions(&|replica: &Replica| {
            ready(replica) && replica.health == Health::Good && !avoid.contains(&replica.key)
        });
        let due = positions(&probe);
        let any = positions(&ready);
        let chosen = match (due.first(), fresh.is_empty(), any.is_empty()) {
            (Some(due), _, _) if avoid.is_empty() || fresh.is_empty() => *due,
            (_, false, _) => self.better_of_two(&fresh, rng),
            (_, true, false) => self.better_of_two(&any, rng),
            (_, true, true) => return Err(self.refusal(now_ms)),
        };
        let probe_until_ms = now_ms + self.probe_timeout_ms;
        let replica = &mut self.replicas[chosen];
        if let Health::Bad { failures, .. } | Health::Probing { failures, .. } = replica.health {
            replica.health = Health::Probing { until_ms: probe_until_ms, failures };
        }
        replica.in_flight += 1;
        Ok(replica.key)
    }

    /// Reports the end of an attempt.
    pub fn ended(&mut self, now_ms: u64, key: ReplicaKey, end: AttemptEnd, rng: &mut Rng) {
        let backoff = self.probe_backoff;
        let Some(replica) = self.replica(key) else { return };
        replica.in_flight = replica.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                replica.failures_in_row = 0;
                replica.health = Health::Good;
            }
            AttemptEnd::Leaving => replica.leaving = true,
            AttemptEnd::ConnectRefused | AttemptEnd::Failed => {
                replica.failures_in_row += 1;
                let failures = match replica.health {
                    Health::Good if replica.failures_in_row < REFUSED_LIMIT => return,
                    Health::Good => 1,
                    Health::Bad { failures, .. } => failures,
                    Health::Probing { failures, .. } => failures + 1,
                };
                let until_ms = now_ms + backoff.delay_ms(failures, rng);
                replica.health = Health::Bad { until_ms, failures };
            }
        }
        self.replicas.retain(|replica| replica.listed || replica.in_flight > 0);
    }

    /// The address of a replica.
    #[must_use]
    pub fn address(&self, key: ReplicaKey) -> Option<&str> {
        let replica = self.replicas.iter().find(|replica| replica.key == key)?;
        Some(&replica.address)
    }

    /// The own requests in flight at a replica.
    #[must_use]
    pub fn in_flight(&self, key: ReplicaKey) -> u32 {
        let replica = self.replicas.iter().find(|replica| replica.key == key);
        replica.map_or(0, |replica| replica.in_flight)
    }

    fn replica(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.key == key)
    }

    /// Two random candidates are enough to avoid the busiest, and instances that decide at once
    /// don't all choose the same one.
    fn better_of_two(&self, candidates: &[usize], rng: &mut Rng) -> usize {
        let first = rng.usize(0..candidates.len());
        let mut second = first;
        if candidates.len() > 1 {
            second = (first + rng.usize(1..candidates.len())) % candidates.len();
        }
        let (first, second) = (candidates[first], candidates[second]);
        if self.replicas[second].cost() < self.replicas[first].cost() { second } else { first }
    }

    fn refusal(&self, now_ms: u64) -> Refusal {
        let listed = self.replicas.iter().filter(|replica| replica.listed && !replica.leaving);
        let due = listed.clone().filter_map(|replica| match replica.health {
            Health::Good => None,
            Health::Bad { until_ms, .. } | Health::Probing { until_ms, .. } => Some(until_ms),
        });
        let wait_ms = due.min().map_or(1_000, |until_ms| until_ms.saturating_sub(now_ms).max(1));
        let detail = format!(
            "none of {} replicas takes new work: {} are failing, the others are leaving",
            self.replicas.len(),
            listed.count()
        );
        let retry_after_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        Refusal::not_run(RefusalReason::NoServiceReplica, detail).retry_after_ms(retry_after_ms)
    }
}
