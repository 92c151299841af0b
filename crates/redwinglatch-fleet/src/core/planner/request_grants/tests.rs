use super::RequestGrants;
use crate::{ids::BackendKey, limited_servers::RequestLimit, request_rate::RequestRate};

const SERVER: BackendKey = BackendKey(1);
const WINDOW_MS: u64 = 4_000;

fn limit(milli_per_s: u64) -> RequestLimit {
    RequestLimit { server: SERVER, rate: Some(RequestRate { milli_per_s }) }
}

fn grants(milli_per_s: u64) -> RequestGrants {
    let mut grants = RequestGrants::default();
    grants.set_active(true);
    grants.set_limit(0, limit(milli_per_s));
    grants
}

/// Counts the requests that are granted in spans of 4 s while as many as possible are asked for, but for
/// pauses in which the unused part of the limit could be saved up.
#[test]
fn granted_requests_stay_within_the_limit_and_use_it() {
    for milli_per_s in [0, 300, 1_500, 2_700, 50_000] {
        let mut grants = grants(milli_per_s);
        let mut granted_ms: Vec<u64> = Vec::new();
        for now_ms in 0..60_000 {
            let is_pause = (20_000..30_000).contains(&now_ms);
            while !is_pause && grants.take(now_ms, SERVER).is_ok() {
                granted_ms.push(now_ms);
            }
        }
        let allowed = 1.5 * milli_per_s as f64 / 1_000.0 * 4.0 + 5.0;
        for (at, from_ms) in granted_ms.iter().enumerate() {
            let later = &granted_ms[at..];
            let count = later.partition_point(|at_ms| *at_ms < from_ms + WINDOW_MS);
            assert!(
                count as f64 <= allowed,
                "{milli_per_s}: {count} requests from {from_ms} ms on"
            );
        }
        let usable = milli_per_s as f64 / 1_000.0 * 50.0;
        let used = granted_ms.len() as f64;
        assert!(used >= usable * 0.95, "{milli_per_s}: {used} of {usable} requests");
    }
}

#[test]
fn a_process_that_may_not_be_the_only_coordinator_grants_nothing() {
    let mut grants = grants(5_000);
    grants.set_active(false);
    assert!(!grants.may_take(0, SERVER));
    assert!(grants.take(0, SERVER).is_err());
    assert!(grants.take(0, BackendKey(2)).is_ok(), "a server without a limit takes any request");
    grants.set_active(true);
    assert!(grants.may_take(0, SERVER));
    assert!(grants.take(0, SERVER).is_ok());
}

#[test]
fn a_raised_limit_grants_no_burst_and_an_ended_one_grants_all() {
    let mut grants = grants(1_000);
    assert!(grants.take(0, SERVER).is_ok());
    assert!(grants.take(0, SERVER).is_err());
    assert!(grants.set_limit(10, limit(100_000)));
    assert!(grants.take(10, SERVER).is_err());
    assert!(grants.set_limit(20, RequestLimit { rate: None, ..limit(0) }));
    assert!((0..100).all(|_| grants.take(20, SERVER).is_ok()));
}
