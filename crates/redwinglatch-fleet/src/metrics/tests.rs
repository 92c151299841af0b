use super::{LogValues, Metrics};

#[test]
fn the_page_lists_reasons_and_quantiles() {
    let metrics = Metrics::default();
    metrics.record_refusal("overloaded");
    metrics.record_refusal("overloaded");
    metrics.record_retry("not_run");
    metrics.record_response_time(20);
    metrics.record_response_time(1_000_000);
    let page = metrics.render();
    assert!(page.contains("redwinglatch_refusals{reason=\"overloaded\"} 2\n"), "{page}");
    assert!(page.contains("redwinglatch_repeats{reason=\"not_run\"} 1\n"), "{page}");
    assert!(page.contains("redwinglatch_answer_ms{quantile=\"0.5\"} 20\n"), "{page}");
    assert!(page.contains("redwinglatch_answer_ms_count 2\n"), "{page}");
}

/// Guards against a log without a margin that no metric shows.
#[test]
fn the_page_shows_how_many_losses_the_log_tolerates() {
    let metrics = Metrics::default();
    assert!(!metrics.render().contains("redwinglatch_log"), "an entry process has no log");
    let values = LogValues {
        voters: 5,
        connected_voters: 3,
        tolerated_losses: Some(0),
        required_losses: 1,
        leader_silence_ms: 0,
    };
    metrics.set_log(values);
    let page = metrics.render();
    assert!(page.contains("redwinglatch_log_voters{state=\"all\"} 5\n"), "{page}");
    assert!(page.contains("redwinglatch_log_voters{state=\"connected\"} 3\n"), "{page}");
    assert!(page.contains("redwinglatch_log_losses{state=\"required\"} 1\n"), "{page}");
    assert!(page.contains("redwinglatch_log_losses{state=\"tolerated\"} 0\n"), "{page}");
    metrics.set_log(LogValues { tolerated_losses: None, leader_silence_ms: 2_500, ..values });
    let page = metrics.render();
    assert!(!page.contains("tolerated"), "only the leader knows: {page}");
    assert!(page.contains("redwinglatch_log_leader_silence_ms 2500\n"), "{page}");
}
