use std::{collections::BTreeSet, net::SocketAddr};

use super::{
    LogPosition, MAX_LEADER_SILENCE_MS, MAX_WITHHELD_MS, NamedVersion, UnrecordedVersions,
};
use crate::{ids::BackendKey, message::Backend};

fn server(number: u16, version: &str) -> Backend {
    let address = SocketAddr::from(([192, 0, 2, 1], number));
    let id = format!("s-{number}");
    Backend {
        key: BackendKey::new(&id, address, 0),
        id: id.into(),
        service: "writer".into(),
        address,
        data_centre: "hall-a".into(),
        slots: 8,
        leaving: false,
        software_version: version.into(),
    }
}

fn with_known_log() -> UnrecordedVersions {
    UnrecordedVersions { is_log_known: true, ..UnrecordedVersions::default() }
}

fn recorded(versions: &[&str]) -> BTreeSet<NamedVersion> {
    versions.iter().map(|version| ("writer".into(), (*version).into())).collect()
}

/// A release that replaces servers one after the other while the log can't be written.
#[test]
fn servers_of_a_new_version_are_announced_once_it_is_recorded() {
    let mut versions = with_known_log();
    let listed = [server(1, "v1"), server(2, "v2")];
    assert_eq!(versions.announced(0, &listed, &recorded(&["v1"])), listed[..1]);
    assert_eq!(versions.announced(50, &listed, &recorded(&["v1", "v2"])), listed);
}

#[test]
fn servers_of_a_new_version_are_announced_if_there_are_no_others() {
    let mut versions = with_known_log();
    let (old, new) = (server(1, "v1"), server(2, "v2"));
    let leaving = Backend { leaving: true, ..old.clone() };
    let only_new = [leaving, new.clone()];
    assert_eq!(versions.announced(0, &only_new, &recorded(&["v1"])), only_new);
    let both = [old, new];
    assert_eq!(versions.announced(100, &both, &recorded(&["v1"])), both, "withheld again");
}

#[test]
fn servers_of_a_new_version_are_not_withheld_for_long() {
    let mut versions = with_known_log();
    let listed = [server(1, "v1"), server(2, "v2")];
    let known = recorded(&["v1"]);
    assert_eq!(versions.announced(7, &listed, &known).len(), 1);
    assert_eq!(versions.announced(6 + MAX_WITHHELD_MS, &listed, &known).len(), 1);
    assert_eq!(versions.announced(7 + MAX_WITHHELD_MS, &listed, &known).len(), 2);
}

/// A fleet that starts has recorded nothing.
#[test]
fn first_version_of_a_service_is_announced_at_once() {
    let listed = [server(1, "v1"), server(2, "v2")];
    assert_eq!(with_known_log().announced(0, &listed, &recorded(&[])), listed);
}

/// A process that has just started restores a snapshot from before the newest version was recorded.
#[test]
fn nothing_is_withheld_before_the_log_is_known() {
    let listed = [server(1, "v1"), server(2, "v2")];
    let mut versions = UnrecordedVersions::default();
    assert_eq!(versions.announced(0, &listed, &recorded(&["v1"])), listed);
}

/// Guards against a process that restores a snapshot, hears the new leader and is sure of all versions before it has
/// applied the entries behind the snapshot.
#[test]
fn process_that_has_applied_nothing_of_the_term_is_not_current() {
    let follower =
        LogPosition { term: 4, applied_term: 3, is_leader: false, leader_heard_ms: Some(1_000) };
    assert!(!follower.is_current(1_010));
    assert!(LogPosition { applied_term: 4, ..follower }.is_current(1_010));
    assert!(!LogPosition { applied_term: 4, ..follower }.is_current(1_001 + MAX_LEADER_SILENCE_MS));
    assert!(!LogPosition { is_leader: true, leader_heard_ms: None, ..follower }.is_current(1_010));
}
