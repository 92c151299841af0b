//! This process's share of the retry budget.

use std::collections::{HashMap, VecDeque};

use crate::RetryBudgetBounds;

/// Part of the allowed retries that is used. The rest covers requests that other observers count in
/// different windows.
const USABLE_SHARE: f64 = 0.8;
/// Minimum number of entry processes among which the slack is divided.
const MIN_PROCESSES: u64 = 12;

/// Limits the retries of each service by its requests within a sliding window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bounds: RetryBudgetBounds,
    processes: u64,
    services: HashMap<Box<str>, RequestWindow>,
}

#[derive(Debug, Default)]
struct RequestWindow {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudget {
    pub(crate) fn new(bounds: RetryBudgetBounds) -> RetryBudget {
        RetryBudget { bounds, processes: MIN_PROCESSES, services: HashMap::new() }
    }

    /// Sets the number of entry processes that share the budget.
    pub(crate) fn set_processes(&mut self, processes: usize) {
        self.processes = (processes as u64).max(MIN_PROCESSES);
    }

    pub(crate) fn count_request(&mut self, now_ms: u64, service: &str) {
        self.window(now_ms, service).requests.push_back(now_ms);
    }

    /// Takes one retry from the budget of `service`, and returns whether the budget allowed it.
    pub(crate) fn try_take_retry(&mut self, now_ms: u64, service: &str) -> bool {
        let (bounds, processes) = (self.bounds, self.processes);
        let window = self.window(now_ms, service);
        let from_requests = window.requests.len() as f64 * bounds.ratio * USABLE_SHARE;
        let from_slack = bounds.slack / processes as f64 * USABLE_SHARE;
        if (window.retries.len() as f64) + 1.0 > from_requests + from_slack {
            return false;
        }
        window.retries.push_back(now_ms);
        true
    }

    fn window(&mut self, now_ms: u64, service: &str) -> &mut RequestWindow {
        let oldest_ms = now_ms.saturating_sub(self.bounds.window_ms);
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), RequestWindow::default());
        }
        let window = self.services.get_mut(service).expect("the entry was just inserted");
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|time_ms| *time_ms < oldest_ms) {
                times.pop_front();
            }
        }
        window
    }
}

#[cfg(test)]
mod tests;
