use super::*;

/// Guards against a log without a margin that nothing tells of, and against a line for each replacement.
#[test]
fn a_margin_is_reported_once_it_has_been_small_for_longer_than_a_replacement() {
    let mut margin = SmallMargin::default();
    assert_eq!(margin.observe(1_000, true), None);
    assert_eq!(margin.observe(4_000, false), None, "a replacement");
    assert_eq!(margin.observe(5_000, true), None);
    assert_eq!(margin.observe(8_500, true), None);
    assert_eq!(margin.observe(9_000, true), Some(MarginReport::Small { lasted_ms: 4_000 }));
    assert_eq!(margin.observe(18_500, true), None);
    assert_eq!(margin.observe(19_000, true), Some(MarginReport::Small { lasted_ms: 14_000 }));
    assert_eq!(margin.observe(20_000, false), Some(MarginReport::Restored { lasted_ms: 15_000 }));
    assert_eq!(margin.observe(20_500, false), None);
}
