//! The longest answers of services.

use super::*;

#[test]
fn longest_answer_is_known_for_a_window_and_then_forgotten() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest_ms(0, "desk"), None);
    times.record(100, "desk", 700);
    times.record(200, "desk", 30);
    times.record(200, "pages", 9);
    assert_eq!(times.longest_ms(300, "desk"), Some(700));
    assert_eq!(times.longest_ms(WINDOW_MS + 300, "desk"), Some(700));
    times.record(WINDOW_MS + 400, "desk", 40);
    assert_eq!(times.longest_ms(2 * WINDOW_MS, "desk"), Some(40));
    assert_eq!(times.longest_ms(9 * WINDOW_MS, "desk"), None);
}

/// Guards against memory that grows with each service that a configuration ever named.
#[test]
fn services_that_are_no_longer_asked_for_are_dropped() {
    let mut times = AnswerTimes::default();
    for number in 0..1_000 {
        times.record(number * WINDOW_MS, &format!("service-{number}"), 5);
    }
    assert!(times.services.len() <= 3, "{}", times.services.len());
}
