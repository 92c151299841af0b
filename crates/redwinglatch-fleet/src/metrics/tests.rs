use super::Metrics;

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
