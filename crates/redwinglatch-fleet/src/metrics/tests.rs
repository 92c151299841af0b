use super::Metrics;

#[test]
fn the_page_lists_reasons_and_quantiles() {
    let metrics = Metrics::default();
    metrics.refused("overloaded");
    metrics.refused("overloaded");
    metrics.repeated("not_run");
    metrics.answered(20);
    metrics.answered(1_000_000);
    let page = metrics.render();
    assert!(page.contains("redwinglatch_refusals{reason=\"overloaded\"} 2\n"), "{page}");
    assert!(page.contains("redwinglatch_repeats{reason=\"not_run\"} 1\n"), "{page}");
    assert!(page.contains("redwinglatch_answer_ms{quantile=\"0.5\"} 20\n"), "{page}");
    assert!(page.contains("redwinglatch_answer_ms_count 2\n"), "{page}");
}
