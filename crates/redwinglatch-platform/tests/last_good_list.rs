//! Fetches of the platform's backend list over real loopback sockets.

use std::net::SocketAddr;

use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings};
use redwinglatch_fakes::{FakePlatform, InstanceState, PlatformSettings};
use redwinglatch_platform::{ListedBackendState, PlatformClient};
use tokio::time::Instant;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn platform_client(platform: &FakePlatform, order_timeout_ms: u64) -> PlatformClient {
    let settings = BackendSettings { order_timeout_ms, ..BackendSettings::default() };
    PlatformClient::new(BackendClient::new(settings), platform.address())
}

/// Guards against losing the list when a refresh fails, and against a wrong pool or state.
#[tokio::test]
async fn a_failed_refresh_keeps_the_last_list() {
    let platform = FakePlatform::start(PlatformSettings::new()).unwrap();
    platform.set("scope-writer", address(2), "hall-b", InstanceState::Live);
    platform.set("scope-writer", address(1), "hall-a", InstanceState::Live);
    platform.set("dispatch-desk", address(3), "hall-c", InstanceState::Live);
    let mut list = platform_client(&platform, 5_000);
    assert_eq!(list.age_ms(), None);
    assert!(list.refresh().await.unwrap());
    assert!(!list.refresh().await.unwrap(), "an equal list does not count as a change");
    let pool: Vec<SocketAddr> = list.pool("scope-writer").map(|backend| backend.address).collect();
    assert_eq!(pool, [address(1), address(2)]);

    platform.set("scope-writer", address(2), "hall-b", InstanceState::Leaving);
    platform.fail_next(1);
    list.refresh().await.unwrap_err();
    assert_eq!(list.backends().len(), 3);
    assert!(list.backends().iter().all(|backend| backend.state == ListedBackendState::Live));
    assert!(list.age_ms().is_some());

    assert!(list.refresh().await.unwrap());
    let states: Vec<ListedBackendState> =
        list.pool("scope-writer").map(|backend| backend.state).collect();
    assert_eq!(states, [ListedBackendState::Live, ListedBackendState::Leaving]);
    platform.remove(address(2));
    assert!(list.refresh().await.unwrap());
    assert_eq!(list.pool("scope-writer").count(), 1);
}

/// Guards against waiting for ever for an unresponsive platform, and against reusing its dead
/// connection.
#[tokio::test]
async fn an_unresponsive_platform_times_out_and_the_next_refresh_succeeds() {
    let platform = FakePlatform::start(PlatformSettings::new()).unwrap();
    platform.set("scope-writer", address(1), "hall-a", InstanceState::Live);
    let mut list = platform_client(&platform, 1_000);
    list.refresh().await.unwrap();
    platform.stall_connections();
    let error = list.refresh().await.unwrap_err();
    assert_eq!(error.kind, BackendErrorKind::Unresponsive);
    assert!(list.age_ms().is_some_and(|age_ms| age_ms >= 1_000));
    platform.remove(address(1));
    let before = Instant::now();
    assert!(list.refresh().await.unwrap());
    let age_ms = u128::from(list.age_ms().unwrap());
    assert!(age_ms <= before.elapsed().as_millis(), "the age counts from the last good list");
}

/// Guards against a malformed entry that hides the valid ones, and against listing an address as
/// live although one of its entries is leaving.
#[tokio::test]
async fn malformed_entries_are_ignored_and_leaving_entries_take_precedence() {
    let platform = FakePlatform::start(PlatformSettings::new()).unwrap();
    let live = r#"{"pool":"p","address":"10.0.0.1:1","data_centre":"hall-a","state":"live"}"#;
    let entries = [
        live.to_owned(),
        live.replace("\"live\"", "\"leaving\""),
        live.replace("10.0.0.1:1", "10.0.0.1:2"),
        live.replace("\"live\"", "\"starting\""),
        live.replace("10.0.0.1:1", "somewhere"),
        "7".to_owned(),
    ];
    platform.respond_next_with(format!("{{\"instances\":[{}]}}", entries.join(",")));
    let mut list = platform_client(&platform, 5_000);
    list.refresh().await.unwrap();
    let states: Vec<ListedBackendState> =
        list.backends().iter().map(|backend| backend.state).collect();
    assert_eq!(states, [ListedBackendState::Leaving, ListedBackendState::Live]);
    assert_eq!(list.malformed_entries(), 3);

    for body in ["", "{}", "[1]", "{\"instances\":7}", "\u{0}"] {
        platform.respond_next_with(body.to_owned());
        let error = list.refresh().await.unwrap_err();
        assert_eq!(error.kind, BackendErrorKind::Malformed, "{body:?}");
        assert_eq!(list.backends().len(), 2);
    }
}
