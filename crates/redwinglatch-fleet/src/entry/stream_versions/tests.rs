use std::net::SocketAddr;

use super::{MIN_LIFETIME_MS, StreamQuestion, StreamVersions};
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
    decide_among(versions, now_ms, replies, replies.len())
}

/// The same with links to `cores` core processes, for a take-up that is received at `now_ms`.
fn decide_among(
    versions: &StreamVersions,
    now_ms: u64,
    replies: &[StreamVersionReply],
    cores: usize,
) -> Option<SoftwareVersion> {
    let possible = &versions.possible(now_ms, ["writer"].into_iter());
    let stream = StreamKey::new("a1");
    let question = StreamQuestion { stream, received_ms: now_ms, possible, replies, cores };
    versions.decide(now_ms, &question)
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

/// Guards against streams joined of two versions: a core process on the same machine may have stood still like this
/// process, or be cut off like it, and believe that it is current.
#[test]
fn half_of_the_core_processes_must_be_current() {
    let versions = listed(&["v1"]);
    assert_eq!(decide_among(&versions, START_MS, &[NOT_KNOWN], 3), None);
    let outdated = StreamVersionReply { began: None, is_current: false };
    assert_eq!(decide_among(&versions, START_MS, &[NOT_KNOWN, outdated, outdated], 3), None);
    let both = [NOT_KNOWN, NOT_KNOWN];
    assert_eq!(decide_among(&versions, START_MS, &both, 3), Some(version("v1")));
    assert_eq!(decide_among(&versions, START_MS, &both, 6), None);
    let began = StreamVersionReply { began: Some(version("v1")), is_current: false };
    assert_eq!(decide_among(&versions, START_MS, &[began], 6), Some(version("v1")));
}

/// Without core processes, only a process that has seen lists for long and has fetched one since the take-up knows all
/// versions. Guards against streams joined of two versions after a standstill, when an older list still seems current.
#[test]
fn process_without_core_processes_needs_a_history_and_a_newer_list() {
    let mut versions = listed(&["v1"]);
    assert_eq!(decide(&versions, START_MS, &[]), None);
    versions.list_fetched(START_MS);
    assert_eq!(decide(&versions, START_MS, &[]), None, "versions may have come and gone");
    let later_ms = START_MS + MIN_LIFETIME_MS;
    assert_eq!(decide(&versions, later_ms, &[]), None, "the list may be outdated");
    versions.list_fetched(later_ms - 1);
    assert_eq!(decide(&versions, later_ms, &[]), None, "the list may be outdated");
    versions.list_fetched(later_ms);
    assert_eq!(decide(&versions, later_ms, &[]), Some(version("v1")));
    let outdated = StreamVersionReply { began: None, is_current: false };
    assert_eq!(decide(&versions, later_ms, &[outdated]), Some(version("v1")));
    assert_eq!(decide(&versions, later_ms + 1, &[]), None);
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
