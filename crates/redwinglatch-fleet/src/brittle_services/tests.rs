use super::{BrittleService, BrittleServices};

fn named(max_rejections_per_s: Option<u32>) -> BrittleService {
    BrittleService { service: "desk".into(), max_rejections_per_s }
}

#[test]
fn service_is_brittle_until_a_later_request_shows_otherwise() {
    let mut services = BrittleServices::default();
    assert!(!services.record_answer(900, 800, &named(None)));
    assert!(services.record_answer(1_000, 900, &named(Some(3))));
    assert!(!services.record_answer(1_010, 950, &named(Some(3))));
    assert!(!services.record_answer(1_020, 990, &named(None)), "it was sent before");
    assert!(services.is_brittle("desk") && !services.is_brittle("writer"));
    assert_eq!(services.learned_ms("desk"), Some(1_000));
    assert_eq!(services.all(), [named(Some(3))]);
    assert!(services.record_answer(1_100, 1_001, &named(None)));
    assert!(!services.is_brittle("desk"));
}
