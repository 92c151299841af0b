//! Division of a contract's limits among instances by demand.

use crate::{LeaseHolder, Share};

/// One limit divided among the demands of the instances by max-min fairness.
#[derive(Debug, Clone, Default)]
struct SingleLimitSplit {
    /// Maximum for each instance.
    cap: u64,
    /// Instances that get one more unit, because the limit doesn't divide evenly.
    extra_unit_holders: Vec<LeaseHolder>,
    /// Units that each instance with a demand gets above it, if the sum of demands is below the
    /// limit.
    spare_per_holder: u64,
}

/// The division of a contract's three limits.
#[derive(Debug, Clone)]
pub(crate) struct LimitSplit {
    request_rate: SingleLimitSplit,
    concurrent: SingleLimitSplit,
    token_rate: SingleLimitSplit,
}

impl LimitSplit {
    /// Divides `total` among `demands`. `rotation` selects the holders of units that don't divide
    /// evenly.
    pub(crate) fn new(
        total: Share,
        rotation: u64,
        demands: impl Iterator<Item = (LeaseHolder, Share)>,
    ) -> LimitSplit {
        let demands: Vec<(LeaseHolder, Share)> = demands.collect();
        let part = |total: u64, part: fn(&Share) -> u64| {
            let demands = demands.iter().map(|(holder, share)| (*holder, part(share)));
            SingleLimitSplit::new(
                total,
                rotation,
                demands.filter(|(_, demand)| *demand > 0).collect(),
            )
        };
        LimitSplit {
            request_rate: part(total.request_rate_milli, |share| share.request_rate_milli),
            concurrent: part(total.concurrent_requests, |share| share.concurrent_requests),
            token_rate: part(total.token_rate_per_s, |share| share.token_rate_per_s),
        }
    }

    /// Returns whether the division depends on the rotation.
    pub(crate) fn rotates(&self) -> bool {
        let parts = [&self.request_rate, &self.concurrent, &self.token_rate];
        parts.iter().any(|part| !part.extra_unit_holders.is_empty())
    }

    /// Returns the share that an instance with this demand should have.
    pub(crate) fn target(&self, holder: LeaseHolder, demand: Share) -> Share {
        Share {
            request_rate_milli: self.request_rate.target(holder, demand.request_rate_milli),
            concurrent_requests: self.concurrent.target(holder, demand.concurrent_requests),
            token_rate_per_s: self.token_rate.target(holder, demand.token_rate_per_s),
        }
    }
}

impl SingleLimitSplit {
    fn new(total: u64, rotation: u64, mut demands: Vec<(LeaseHolder, u64)>) -> SingleLimitSplit {
        let count = demands.len() as u64;
        let sum = demands.iter().fold(0_u64, |sum, (_, demand)| sum.saturating_add(*demand));
        if sum <= total {
            // Half of the remainder stays free for instances whose demand starts later.
            let spare_per_holder = (total - sum) / (2 * count.max(1));
            return SingleLimitSplit {
                cap: u64::MAX,
                extra_unit_holders: Vec::new(),
                spare_per_holder,
            };
        }
        demands.sort_by_key(|(holder, demand)| (*demand, *holder));
        let mut remaining = total;
        let mut satisfied = 0;
        for (_, demand) in &demands {
            let cap = remaining / (count - satisfied);
            if *demand > cap {
                break;
            }
            remaining -= demand;
            satisfied += 1;
        }
        let unsatisfied = count - satisfied;
        let (cap, remainder) = (remaining / unsatisfied.max(1), remaining % unsatisfied.max(1));
        let unsatisfied_holders = &demands[satisfied as usize..];
        // Sorted by holder, so that the rotation doesn't depend on the demands.
        let mut unsatisfied_holders: Vec<LeaseHolder> =
            unsatisfied_holders.iter().map(|(holder, _)| *holder).collect();
        unsatisfied_holders.sort_unstable();
        let start = (rotation % unsatisfied.max(1)) as usize;
        let extra_unit_holders = unsatisfied_holders
            .iter()
            .cycle()
            .skip(start)
            .take(remainder as usize)
            .copied()
            .collect();
        SingleLimitSplit { cap, extra_unit_holders, spare_per_holder: 0 }
    }

    fn target(&self, holder: LeaseHolder, demand: u64) -> u64 {
        if demand == 0 {
            return 0;
        }
        let extra_unit = u64::from(self.extra_unit_holders.contains(&holder));
        demand.min(self.cap.saturating_add(extra_unit)).saturating_add(self.spare_per_holder)
    }
}

/// Returns the next value of a share that moves step by step towards its target.
pub(crate) fn next_share(
    value: &Share,
    target: &Share,
    demand: &Share,
    free: &Share,
    total: &Share,
) -> Share {
    if demand.is_none() {
        return Share::NONE;
    }
    let next = |part: fn(&Share) -> u64| {
        next_value(part(value), part(target), part(demand), part(free), part(total))
    };
    Share {
        request_rate_milli: next(|share| share.request_rate_milli),
        concurrent_requests: next(|share| share.concurrent_requests),
        token_rate_per_s: next(|share| share.token_rate_per_s),
    }
}

fn next_value(value: u64, target: u64, demand: u64, free: u64, total: u64) -> u64 {
    if value < target {
        // Grants at most half of the free units, so that several instances with a new demand all
        // get some.
        return value + (target - value).min(free.div_ceil(2));
    }
    // A share above its target is reduced only if free units are scarce, so that small changes of
    // demand cause no messages.
    let is_scarce = free.saturating_mul(4) < total;
    if value > total {
        target
    } else if is_scarce || demand == 0 {
        value - (value - target).div_ceil(2)
    } else {
        value
    }
}
