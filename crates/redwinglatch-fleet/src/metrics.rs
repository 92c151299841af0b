//! Counters and latency histograms of a process, served as text.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::http::Body;

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Customers that the page shows each on its own; the others are counted together.
const MAX_CUSTOMERS: usize = 256;
/// The name under which these are counted.
const OTHER_CUSTOMERS: &str = "*";
/// Longest time that a histogram distinguishes; longer latencies are counted as this one.
const MAX_MS: u64 = 120_000;
/// Significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles that the page shows.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Counters and latencies of a process since its start.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    values: Mutex<MetricValues>,
}

#[derive(Debug, Default)]
struct MetricValues {
    /// Counters by name and reason; both are constants of this package, so the number of counters
    /// is bounded.
    counters: BTreeMap<(&'static str, &'static str), u64>,
    latencies: BTreeMap<&'static str, LatencyHistogram>,
    /// Requests of customers, by name and outcome.
    customer_requests: BTreeMap<(Box<str>, &'static str), u64>,
    /// The customers whose requests are counted each on its own.
    customers: BTreeSet<Box<str>>,
    caps: Vec<CapValues>,
    log: Option<LogValues>,
}

/// State of the replicated log for the metrics page of a core process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogValues {
    pub(crate) voters: usize,
    pub(crate) connected_voters: usize,
    /// The number of voters that may still be lost, on the leader.
    pub(crate) tolerated_losses: Option<usize>,
    pub(crate) required_losses: usize,
    pub(crate) leader_silence_ms: u64,
}

/// What a core process may still grant of a customer's cap.
#[derive(Debug)]
pub(crate) struct CapValues {
    pub(crate) customer: Box<str>,
    pub(crate) cap_per_s: u64,
    pub(crate) level: i64,
    pub(crate) granted: u64,
}

#[derive(Debug)]
struct LatencyHistogram(Histogram<u32>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram(
            Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS).expect("the bounds are valid"),
        )
    }
}

impl Metrics {
    fn lock(&self) -> MutexGuard<'_, MetricValues> {
        // The values are consistent after every statement, so a poisoned lock is usable.
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn increment(&self, name: &'static str, reason: &'static str) {
        *self.lock().counters.entry((name, reason)).or_default() += 1;
    }

    fn record_latency(&self, name: &'static str, time_ms: u128) {
        let time_ms = u64::try_from(time_ms).unwrap_or(MAX_MS).min(MAX_MS);
        self.lock().latencies.entry(name).or_default().0.saturating_record(time_ms);
    }

    /// Counts a request that this process rejected or abandoned.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.increment("refusals", reason);
    }

    /// Counts a request of a customer, by what became of it.
    pub(crate) fn record_customer_request(&self, customer: &str, outcome: &'static str) {
        let mut values = self.lock();
        let is_known = values.customers.contains(customer)
            || (values.customers.len() < MAX_CUSTOMERS && values.customers.insert(customer.into()));
        let name = if is_known { customer } else { OTHER_CUSTOMERS };
        *values.customer_requests.entry((name.into(), outcome)).or_default() += 1;
    }

    /// Sets what this core process may still grant of the caps.
    pub(crate) fn set_caps(&self, mut caps: Vec<CapValues>) {
        caps.truncate(MAX_CUSTOMERS);
        self.lock().caps = caps;
    }

    /// Sets the state of the replicated log.
    pub(crate) fn set_log(&self, log: LogValues) {
        self.lock().log = Some(log);
    }

    /// Counts a retry of a request.
    pub(crate) fn record_retry(&self, reason: &'static str) {
        self.increment("repeats", reason);
    }

    /// Counts a request that entry processes pass on to each other, by what became of it.
    pub(crate) fn record_relay(&self, outcome: &'static str) {
        self.increment("relays", outcome);
    }

    /// Counts a connection or an answer of a backend server that failed, by kind.
    pub(crate) fn record_backend_failure(&self, kind: &'static str) {
        self.increment("backend_failures", kind);
    }

    /// Counts a server's stream by its framing and its end.
    pub(crate) fn record_stream_end(&self, end: &'static str) {
        self.increment("stream_ends", end);
    }

    /// Counts a request to a server that has named a request limit.
    pub(crate) fn record_limited_request(&self) {
        self.increment("limited_requests", "sent");
    }

    /// Counts a prompt part that is quarantined.
    pub(crate) fn record_quarantine(&self) {
        self.increment("quarantined_parts", "engines_ended");
    }

    /// Counts an order that is sent to an engine, by its kind.
    pub(crate) fn record_sent_order(&self, kind: &'static str) {
        self.increment("orders_sent", kind);
    }

    /// Counts an order by its outcome.
    pub(crate) fn record_order(&self, outcome: &'static str) {
        self.increment("orders", outcome);
    }

    /// Counts the bytes of a message that is sent to another process of the fleet.
    pub(crate) fn record_link_bytes(&self, kind: &'static str, bytes: usize) {
        *self.lock().counters.entry(("link_bytes", kind)).or_default() += bytes as u64;
    }

    /// Counts a link that is closed because its peer is slow, by the message that didn't fit.
    pub(crate) fn record_link_overflow(&self, kind: &'static str) {
        self.increment("link_overflows", kind);
    }

    /// Returns the bytes sent to other processes of the fleet, by the kind of the message.
    pub(crate) fn link_bytes(&self) -> Vec<(&'static str, u64)> {
        let values = self.lock();
        let counters = values.counters.iter().filter(|((name, _), _)| *name == "link_bytes");
        counters.map(|((_, kind), bytes)| (*kind, *bytes)).collect()
    }

    /// Counts a client's connection that was refused or closed, by the reason.
    pub(crate) fn record_client_connection(&self, reason: &'static str) {
        self.increment("client_connections", reason);
    }

    /// Records the time to the complete response, or to the head of a streamed response.
    pub(crate) fn record_response_time(&self, time_ms: u128) {
        self.record_latency("answer_ms", time_ms);
    }

    /// Records the time to the first event of a stream and the longest gap after it.
    pub(crate) fn record_stream_times(&self, first_event_ms: u128, largest_gap_ms: u128) {
        self.record_latency("first_event_ms", first_event_ms);
        self.record_latency("largest_gap_ms", largest_gap_ms);
    }

    /// Records the time until a backend server was selected for a request.
    pub(crate) fn record_placing_time(&self, time_ms: u128) {
        self.record_latency("placing_ms", time_ms);
    }

    /// Renders the metrics page.
    pub(crate) fn render(&self) -> String {
        let mut page = String::new();
        let values = self.lock();
        for ((name, reason), count) in &values.counters {
            let _ = writeln!(page, "redwinglatch_{name}{{reason=\"{reason}\"}} {count}");
        }
        for ((customer, outcome), count) in &values.customer_requests {
            let customer = escaped(customer);
            let _ = writeln!(
                page,
                "redwinglatch_customer_requests{{customer=\"{customer}\",outcome=\"{outcome}\"}} {count}"
            );
        }
        for CapValues { customer, cap_per_s, level, granted } in &values.caps {
            let customer = escaped(customer);
            let states = [
                ("cap_per_s", cap_per_s.to_string()),
                ("level", level.to_string()),
                ("granted", granted.to_string()),
            ];
            for (state, value) in states {
                let _ = writeln!(
                    page,
                    "redwinglatch_customer_tokens{{customer=\"{customer}\",state=\"{state}\"}} {value}"
                );
            }
        }
        if let Some(log) = &values.log {
            let LogValues { voters, connected_voters, required_losses, .. } = log;
            let _ = writeln!(page, "redwinglatch_log_voters{{state=\"all\"}} {voters}");
            let _ =
                writeln!(page, "redwinglatch_log_voters{{state=\"connected\"}} {connected_voters}");
            let _ =
                writeln!(page, "redwinglatch_log_losses{{state=\"required\"}} {required_losses}");
            if let Some(losses) = log.tolerated_losses {
                let _ = writeln!(page, "redwinglatch_log_losses{{state=\"tolerated\"}} {losses}");
            }
            let _ = writeln!(page, "redwinglatch_log_leader_silence_ms {}", log.leader_silence_ms);
        }
        for (name, LatencyHistogram(latencies)) in &values.latencies {
            for quantile in QUANTILES {
                let value = latencies.value_at_quantile(quantile);
                let _ = writeln!(page, "redwinglatch_{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(page, "redwinglatch_{name}_count {}", latencies.len());
        }
        page
    }
}

/// Returns a name as it stands in a label.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// Serves the metrics page.
pub(crate) async fn serve_page(
    metrics: Arc<Metrics>,
    request: Request<Incoming>,
) -> Response<Body> {
    let is_metrics_path = request.uri().path() == METRICS_PATH;
    let text = if is_metrics_path { metrics.render() } else { String::new() };
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    if !is_metrics_path {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

#[cfg(test)]
mod tests;
