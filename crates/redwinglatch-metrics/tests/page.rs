//! The metrics page.

use std::time::Duration;

use redwinglatch_core::{RefusalReason, RetryReason};
use redwinglatch_metrics::{Counter, Gauge, Metrics, Timing};

/// Guards against a reason that appears on the page only after its first event, which alerts on a
/// rate would miss.
#[test]
fn page_has_every_reason_and_series_from_the_start() {
    let page = Metrics::new().render();
    let lines: Vec<&str> = page.lines().collect();
    for reason in RefusalReason::ALL {
        let line = format!("redwinglatch_refusals_total{{reason=\"{}\"}} 0", reason.code());
        assert!(lines.contains(&&*line), "missing: {line}");
    }
    for reason in RetryReason::ALL {
        let line = format!("redwinglatch_retries_total{{reason=\"{}\"}} 0", reason.code());
        assert!(lines.contains(&&*line), "missing: {line}");
    }
    let series = Counter::ALL.iter().map(|counter| counter.series());
    for name in series.chain(Gauge::ALL.iter().map(|gauge| gauge.series())) {
        assert!(lines.contains(&&*format!("{name} 0")), "missing: {name}");
    }
    for timing in Timing::ALL {
        assert!(lines.contains(&&*format!("{}_count 0", timing.series())));
    }
}

/// Guards against an event that is counted under a neighbouring reason.
#[test]
fn each_reason_has_its_own_count() {
    let metrics = Metrics::new();
    for (times, reason) in RefusalReason::ALL.iter().enumerate() {
        (0..times).for_each(|_| metrics.refused(*reason));
    }
    for (times, reason) in RetryReason::ALL.iter().enumerate() {
        (0..times).for_each(|_| metrics.retried(*reason));
    }
    for (times, reason) in RefusalReason::ALL.iter().enumerate() {
        assert_eq!(metrics.refusals(*reason), times as u64, "{}", reason.code());
    }
    for (times, reason) in RetryReason::ALL.iter().enumerate() {
        assert_eq!(metrics.retries(*reason), times as u64, "{}", reason.code());
    }
}

/// Guards against a series name that occurs twice or is not a valid Prometheus name, either of
/// which makes a scraper drop the whole page.
#[test]
fn page_follows_the_text_format() {
    let metrics = Metrics::new();
    metrics.set(Gauge::LeaseValid, 1);
    metrics.adjust(Gauge::Pins, -2);
    metrics.add(Counter::TokensSent, 7);
    let page = metrics.render();
    assert!(page.contains("\nredwinglatch_lease_valid 1\n"));
    assert!(page.contains("\nredwinglatch_pins -2\n"));
    assert!(page.contains("\nredwinglatch_tokens_sent_total 7\n"));
    assert!(page.ends_with('\n'));

    let mut types: Vec<&str> =
        page.lines().filter_map(|line| line.strip_prefix("# TYPE ")).collect();
    let count = types.len();
    types.sort_unstable();
    types.dedup();
    assert_eq!(types.len(), count);
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let (series, value) = line.rsplit_once(' ').expect("a sample has a value");
        let name = series.split('{').next().unwrap_or_default();
        assert!(name.chars().all(|c| c.is_ascii_lowercase() || c == '_'), "{line}");
        assert!(value.parse::<f64>().is_ok(), "{line}");
    }
}

/// Guards against a wrong unit, and against a panic on a time beyond the histogram's range.
#[test]
fn times_are_seconds_and_never_out_of_range() {
    let metrics = Metrics::new();
    for ms in 1..=100 {
        metrics.record(Timing::TimeToFirstToken, Duration::from_millis(ms));
    }
    let p95_ms = metrics.quantile(Timing::TimeToFirstToken, 0.95).as_millis();
    assert!((95..=96).contains(&p95_ms), "{p95_ms}");
    let page = metrics.render();
    assert!(page.contains("\nredwinglatch_time_to_first_token_seconds_sum 5.05\n"), "{page}");
    assert!(page.contains("\nredwinglatch_time_to_first_token_seconds_count 100\n"));

    metrics.record(Timing::LoadStall, Duration::MAX);
    metrics.record(Timing::LoadStall, Duration::ZERO);
    assert!(metrics.render().contains("\nredwinglatch_load_stall_seconds_count 2\n"));
}

/// Guards against a reason on the metrics page that the operators' documentation does not explain.
#[test]
fn every_reason_is_documented_for_operators() {
    let page = include_str!("../../../docs/OPERATING.md");
    let refusals = RefusalReason::ALL.iter().map(|reason| reason.code());
    for code in refusals.chain(RetryReason::ALL.iter().map(|reason| reason.code())) {
        assert!(page.contains(&format!("\n| `{code}` | ")), "missing: {code}");
    }
}
