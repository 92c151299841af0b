use super::{LimitedServers, MAX_LIMITED_SERVERS, RequestLimit};
use crate::{ids::BackendKey, request_rate::RequestRate};

fn limit(server: u64, milli_per_s: u64) -> RequestLimit {
    RequestLimit { server: BackendKey(server), rate: Some(RequestRate { milli_per_s }) }
}

#[test]
fn a_changed_limit_is_new() {
    let mut limits: LimitedServers<()> = LimitedServers::default();
    assert!(limits.set(1_000, limit(1, 2_000)));
    assert!(!limits.set(1_100, limit(1, 2_000)));
    assert!(limits.set(1_200, limit(1, 500)));
    assert_eq!(limits.limits(), [limit(1, 500)]);
    let ended = RequestLimit { rate: None, ..limit(1, 0) };
    assert!(limits.set(1_300, ended));
    assert!(!limits.set(1_400, ended));
    assert!(limits.is_empty());
}

#[test]
fn the_number_of_limits_is_bounded() {
    let mut limits: LimitedServers<()> = LimitedServers::default();
    for number in 0..=MAX_LIMITED_SERVERS as u64 {
        limits.set(number, limit(number, 2_000));
    }
    assert!(limits.get(BackendKey(0)).is_none());
    assert!(limits.get(BackendKey(1)).is_some());
    assert!(limits.get(BackendKey(MAX_LIMITED_SERVERS as u64)).is_some());
}
