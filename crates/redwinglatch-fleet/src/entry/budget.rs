//! This instance's share of the budget for repeated requests.

use std::collections::{HashMap, VecDeque};

use crate::RetryBudgetBounds;

/// The part of the allowed ratio that is used; the rest covers requests that are counted in
/// different windows by different observers.
const RATIO_SHARE: f64 = 0.8;
/// Instances among which the constant part is shared, at least.
const MIN_INSTANCES: u64 = 12;

/// Counts requests and repeats of each service over a sliding window.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    bounds: RetryBudgetBounds,
    instances: u64,
    services: HashMap<Box<str>, Window>,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: RetryBudgetBounds) -> RetryBudgets {
        RetryBudgets { bounds, instances: MIN_INSTANCES, services: HashMap::new() }
    }

    /// Sets how many instances share the budget.
    pub(crate) fn set_instances(&mut self, instances: usize) {
        self.instances = (instances as u64).max(MIN_INSTANCES);
    }

    pub(crate) fn count_request(&mut self, now_ms: u64, service: &str) {
        self.window(now_ms, service).requests.push_back(now_ms);
    }

    /// Takes one repeat from the budget of `service`, if there is one.
    pub(crate) fn take_repeat(&mut self, now_ms: u64, service: &str) -> bool {
        let (bounds, instances) = (self.bounds, self.instances);
        let window = self.window(now_ms, service);
        let by_requests = window.requests.len() as f64 * bounds.ratio * RATIO_SHARE;
        let constant = (bounds.slack / instances) as f64 * RATIO_SHARE;
        if (window.repeats.len() as f64) + 1.0 > by_requests + constant {
            return false;
        }
        window.repeats.push_back(now_ms);
        true
    }

    fn window(&mut self, now_ms: u64, service: &str) -> &mut Window {
        let oldest_ms = now_ms.saturating_sub(self.bounds.window_ms);
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Window::default());
        }
        let window = self.services.get_mut(service).expect("the entry was just inserted");
        for times in [&mut window.requests, &mut window.repeats] {
            while times.front().is_some_and(|time_ms| *time_ms < oldest_ms) {
                times.pop_front();
            }
        }
        window
    }
}

#[cfg(test)]
mod tests;
