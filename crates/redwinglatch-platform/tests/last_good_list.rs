//! The list of instances over real loopback sockets.

use std::net::SocketAddr;

use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings};
use redwinglatch_fakes::{FakePlatform, InstanceState, PlatformSettings};
use redwinglatch_platform::{MemberState, PlatformClient};
use tokio::time::Instant;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn list_of(platform: &FakePlatform, order_timeout_ms: u64) -> PlatformClient {
    let settings = BackendSettings { order_timeout_ms, ..BackendSettings::default() };
    PlatformClient::new(BackendClient::new(settings), platform.address())
}

/// Guards against losing the list when the platform fails, and against a wrong pool or state.
#[tokio::test]
async fn a_failed_refresh_keeps_the_last_list() {
    let platform = FakePlatform::start(PlatformSettings::new()).unwrap();
    platform.set("scope-writer", address(2), "hall-b", InstanceState::Live);
    platform.set("scope-writer", address(1), "hall-a", InstanceState::Live);
    platform.set("dispatch-desk", address(3), "hall-c", InstanceState::Live);
    let mut list = list_of(&platform, 5_000);
    assert_eq!(list.age_ms(), None);
    assert!(list.refresh().await.unwrap());
    assert!(!list.refresh().await.unwrap(), "an equal list is no change");
    let pool: Vec<SocketAddr> = list.pool("scope-writer").map(|member| member.address).collect();
    assert_eq!(pool, [address(1), address(2)]);

    platform.set("scope-writer", address(2), "hall-b", InstanceState::Leaving);
    platform.fail_next(1);
    list.refresh().await.unwrap_err();
    assert_eq!(list.members().len(), 3);
    assert!(list.members().iter().all(|member| member.state == MemberState::Live));
    assert!(list.age_ms().is_some());

    assert!(list.refresh().await.unwrap());
    let states: Vec<MemberState> = list.pool("scope-writer").map(|member| member.state).collect();
    assert_eq!(states, [MemberState::Live, MemberState::Leaving]);
    platform.remove(address(2));
    assert!(list.refresh().await.unwrap());
    assert_eq!(list.pool("scope-writer").count(), 1);
}

/// Guards against waiting for ever on a silent platform, and against using its dead connection.
#[tokio::test]
async fn a_silent_platform_times_out_and_the_next_refresh_works() {
    let platform = FakePlatform::start(PlatformSettings::new()).unwrap();
    platform.set("scope-writer", address(1), "hall-a", InstanceState::Live);
    let mut list = list_of(&platform, 1_000);
    list.refresh().await.unwrap();
    platform.stall_connections();
    let error = list.refresh().await.unwrap_err();
    assert_eq!(error.kind, BackendErrorKind::Silent);
    assert!(list.age_ms().is_some_and(|age_ms| age_ms >= 1_000));
    platform.remove(address(1));
    let before = Instant::now();
    assert!(list.refresh().await.unwrap());
    let age_ms = u128::from(list.age_ms().unwrap());
    assert!(age_ms <= before.elapsed().as_millis(), "the age counts from the last good list");
}

/// Guards against one entry in an unknown form hiding the valid ones, and against an address
/// that counts as live although one of its entries says that it is leaving.
#[tokio::test]
async fn malformed_entries_are_left_out_and_leaving_entries_count() {
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
    let mut list = list_of(&platform, 5_000);
    list.refresh().await.unwrap();
    let states: Vec<MemberState> = list.members().iter().map(|member| member.state).collect();
    assert_eq!(states, [MemberState::Leaving, MemberState::Live]);
    assert_eq!(list.skipped(), 3);

    for body in ["", "{}", "[1]", "{\"instances\":7}", "\u{0}"] {
        platform.respond_next_with(body.to_owned());
        let error = list.refresh().await.unwrap_err();
        assert_eq!(error.kind, BackendErrorKind::Malformed, "{body:?}");
        assert_eq!(list.members().len(), 2);
    }
}
