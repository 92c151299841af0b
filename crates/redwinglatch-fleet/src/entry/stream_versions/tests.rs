use std::net::SocketAddr;

use super::{MAX_LIST_AGE_MS, MIN_LIFETIME_MS, StreamVersions};
use crate::{
    ids::{SoftwareVersion, StreamKey},
    message::StreamVersionReply,
};

const START_MS: u64 = 1_000;

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new("writer", name)
}

/// A process that got a list with these versions at `START_MS`.
fn listed(names: &[&str]) -> StreamVersions {
    let mut versions = StreamVersions::default();
    set_listed(&mut versions, START_MS, names);
    versions
}

fn set_listed(versions: &mut StreamVersions, now_ms: u64, names: &[&str]) {
    let listed = names.iter().map(|name| ("writer".into(), version(name)));
    versions.set_listed(now_ms, listed.collect());
}

fn decide(
    versions: &StreamVersions,
    now_ms: u64,
    replies: &[StreamVersionReply],
) -> Option<SoftwareVersion> {
    let possible = versions.possible(now_ms, ["writer"].into_iter());
    versions.decide(now_ms, StreamKey::new("a1"), &possible, replies)
}

const NOT_KNOWN: StreamVersionReply = StreamVersionReply { began: None, is_current: true };

#[test]
fn stream_goes_on_at_the_version_that_a_process_knows() {
    let mut versions = listed(&["v1", "v1.1"]);
    assert_eq!(decide(&versions, START_MS, &[NOT_KNOWN]), None);
    let began = StreamVersionReply { began: Some(version("v1.1")), is_current: false };
    assert_eq!(decide(&versions, START_MS, &[NOT_KNOWN, began]), Some(version("v1.1")));
    versions.record(START_MS, StreamKey::new("a1"), version("v1"));
    assert_eq!(decide(&versions, START_MS, &[]), Some(version("v1")));
    let later_ms = START_MS + MIN_LIFETIME_MS + 1;
    assert!(versions.recent(later_ms).is_empty());
}

/// No server of another version can have begun the stream.
#[test]
fn unknown_stream_goes_on_at_the_only_version() {
    let versions = listed(&["v1"]);
    assert_eq!(decide(&versions, START_MS, &[NOT_KNOWN]), Some(version("v1")));
    let outdated = StreamVersionReply { began: None, is_current: false };
    assert_eq!(decide(&versions, START_MS, &[outdated]), None);
}

/// A release has replaced all servers, and streams of the old version may still be taken up.
#[test]
fn version_that_is_no_longer_listed_may_have_begun_a_stream() {
    let mut versions = listed(&["v1"]);
    set_listed(&mut versions, 2_000, &["v1.1"]);
    assert!(versions.was_listed(version("v1")));
    assert_eq!(decide(&versions, 2_000 + MIN_LIFETIME_MS, &[NOT_KNOWN]), None);
    assert_eq!(decide(&versions, 2_001 + MIN_LIFETIME_MS, &[NOT_KNOWN]), Some(version("v1.1")));
}

/// A core process has listed a version that this process doesn't know yet, or no longer.
#[test]
fn announced_version_may_have_begun_a_stream() {
    let mut versions = listed(&["v1"]);
    let core = SocketAddr::from(([192, 0, 2, 1], 80));
    let announced = ["v1", "v1.1"].map(|name| ("writer".into(), version(name)));
    versions.set_announced(core, announced.into_iter().collect());
    assert_eq!(decide(&versions, START_MS, &[NOT_KNOWN]), None);
    versions.core_disconnected(core);
    assert_eq!(decide(&versions, START_MS, &[NOT_KNOWN]), Some(version("v1")));
}

/// Without core processes, only a process whose own list is current and old enough knows all versions.
#[test]
fn process_without_core_processes_needs_a_history_and_a_current_list() {
    let mut versions = listed(&["v1"]);
    assert_eq!(decide(&versions, START_MS, &[]), None);
    let later_ms = START_MS + MIN_LIFETIME_MS;
    assert_eq!(decide(&versions, later_ms, &[]), None, "the list may be outdated");
    versions.list_confirmed(later_ms);
    assert_eq!(decide(&versions, later_ms, &[]), Some(version("v1")));
    let outdated = StreamVersionReply { began: None, is_current: false };
    assert_eq!(decide(&versions, later_ms, &[outdated]), Some(version("v1")));
    assert_eq!(decide(&versions, later_ms + MAX_LIST_AGE_MS + 1, &[]), None);
}

/// The same version name in two services is two versions.
#[test]
fn versions_of_two_services_differ() {
    let mut versions = listed(&["v1"]);
    let both =
        [("writer".into(), version("v1")), ("desk".into(), SoftwareVersion::new("desk", "v1"))];
    versions.set_listed(START_MS, both.into_iter().collect());
    assert_eq!(versions.possible(START_MS, ["writer"].into_iter()).len(), 1);
    assert_eq!(versions.possible(START_MS, ["writer", "desk"].into_iter()).len(), 2);
}
