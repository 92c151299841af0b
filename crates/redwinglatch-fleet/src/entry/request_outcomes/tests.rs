use super::{
    MAX_EVENTS_OF_PART, MAX_EVENTS_OF_REQUEST, MAX_RECENT, MAX_UNREPORTED, MAX_UNREPORTED_MS,
    RECENT_MS, RecentCompletions, UnreportedFailures, suspect,
};
use crate::{
    ids::BackendKey,
    request_digests::RequestDigests,
    suspects::{FailedRequest, Suspect},
};

fn digests(content: u64) -> RequestDigests {
    RequestDigests { content, content_and_caller: content + 1_000_000 }
}

#[test]
fn complete_answers_are_reported_once_they_are_wanted() {
    let mut recent = RecentCompletions::default();
    recent.record(1_000, digests(1));
    recent.record(1_000, digests(2));
    assert_eq!(recent.take(2_000, &[1, 1_000_001, 3]), [1, 1_000_001]);
    assert_eq!(recent.take(2_000, &[1]), [], "nothing was completed since");
    assert_eq!(recent.take(1_000 + RECENT_MS + 1, &[2]), [], "it is too long ago");
}

#[test]
fn the_number_of_remembered_answers_is_bounded() {
    let mut recent = RecentCompletions::default();
    for content in 0..=MAX_RECENT as u64 {
        recent.record(content, digests(content));
    }
    assert_eq!(recent.take(3_000, &[0]), []);
    assert_eq!(recent.take(3_000, &[1]), [1]);
}

#[test]
fn failures_wait_for_a_coordinator() {
    let failure = |server| FailedRequest {
        server: BackendKey(server),
        suspect: Suspect::default(),
        has_ended: true,
    };
    let mut unreported = UnreportedFailures::default();
    for number in 0..=MAX_UNREPORTED as u64 {
        unreported.add(1_000, failure(number));
    }
    assert_eq!(unreported.take(2_000).count(), MAX_UNREPORTED);
    assert_eq!(unreported.take(2_000).count(), 0);
    unreported.add(1_000, failure(1));
    assert_eq!(unreported.take(1_001 + MAX_UNREPORTED_MS).count(), 0);
}

#[test]
fn parts_are_suspect_for_a_shorter_time_than_the_request() {
    let parts = [(1, 100), (2, 50)];
    let suspect = |events| suspect(events, &parts, || digests(7));
    let early = suspect(MAX_EVENTS_OF_PART).expect("a suspect");
    assert_eq!((early.parts, early.digests), (vec![1, 2], vec![7, 1_000_007]));
    let later = suspect(MAX_EVENTS_OF_REQUEST).expect("a suspect");
    assert_eq!((later.parts, later.digests), (vec![], vec![7, 1_000_007]));
    assert_eq!(suspect(MAX_EVENTS_OF_REQUEST + 1), None);
}
