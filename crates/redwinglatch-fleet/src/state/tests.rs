use redwinglatch_core::ReplicaId;

use super::{FleetState, MAX_QUARANTINED, MAX_SERVER_ENDS, StateChange, StateCommand};
use crate::{
    ids::BackendKey,
    suspects::{ServerEnd, Suspect},
};

fn put(version: u64, document: &[u8]) -> StateCommand {
    StateCommand::PutConfiguration { version, document: document.to_vec() }
}

#[test]
fn the_configuration_with_the_highest_version_wins() {
    let mut state = FleetState::default();
    assert_eq!(state.apply(1, put(3, b"three")), StateChange::Configuration);
    assert_eq!(state.apply(2, put(3, b"other")), StateChange::Nothing);
    assert_eq!(state.apply(3, put(2, b"two")), StateChange::Nothing);
    assert_eq!((state.version, &*state.document), (3, &b"three"[..]));
}

#[test]
fn an_older_version_of_an_adapter_changes_nothing() {
    let mut state = FleetState::default();
    let put = |version| StateCommand::PutVersion { model: "m/a1".into(), version };
    assert_eq!(state.apply(1, put(2)), StateChange::Version);
    assert_eq!(state.apply(2, put(1)), StateChange::Nothing);
    assert_eq!(state.versions["m/a1"], 2);
}

fn superseded(state: &FleetState, members: &[ReplicaId]) -> Option<ReplicaId> {
    members.iter().copied().find(|member| state.is_superseded(*member, members))
}

#[test]
fn a_replica_that_lost_its_disk_is_superseded_at_its_address() {
    let mut state = FleetState::default();
    let link = "192.0.2.1:7000".parse().expect("an address");
    let other = "192.0.2.2:7000".parse().expect("an address");
    state.apply(1, StateCommand::SetCoreAddress { replica: ReplicaId(1), link });
    state.apply(2, StateCommand::SetCoreAddress { replica: ReplicaId(2), link: other });
    let members = [ReplicaId(1), ReplicaId(2)];
    assert_eq!(superseded(&state, &members), None);
    state.apply(3, StateCommand::SetCoreAddress { replica: ReplicaId(5_000), link });
    assert_eq!(superseded(&state, &members), None, "the new replica doesn't vote yet");
    let members = [ReplicaId(1), ReplicaId(2), ReplicaId(5_000)];
    assert_eq!(superseded(&state, &members), Some(ReplicaId(1)));
}

/// Guards against a former process that passes for the newer one at its address, because it is recorded later.
#[test]
fn an_address_that_another_replica_has_is_not_recorded() {
    let mut state = FleetState::default();
    let link = |last| std::net::SocketAddr::from(([192, 0, 2, last], 7_000));
    state.apply(1, StateCommand::SetCoreAddress { replica: ReplicaId(5_000), link: link(3) });
    let known = [1, 2, 3].map(|id| (ReplicaId(u32::from(id)), link(id)));
    let unrecorded = state.unrecorded(known.into_iter());
    assert_eq!(unrecorded, [(ReplicaId(1), link(1)), (ReplicaId(2), link(2))]);
    state.apply(2, StateCommand::SetCoreAddress { replica: ReplicaId(1), link: link(1) });
    let unrecorded = state.unrecorded(known.into_iter());
    assert_eq!(unrecorded, [(ReplicaId(2), link(2))]);
}

#[test]
fn a_snapshot_restores_the_state() {
    let mut state = FleetState::default();
    state.apply(1, put(3, b"three"));
    state.apply(2, StateCommand::PutVersion { model: "m/a1".into(), version: 4 });
    state.apply(3, StateCommand::Quarantine { key: 0xbad });
    let add = StateCommand::AddSoftwareVersion { service: "writer".into(), version: "v1".into() };
    assert_eq!(state.apply(4, add), StateChange::SoftwareVersions);
    assert_eq!(FleetState::restore(&state.snapshot()), Ok(state));
}

/// Snapshots of versions without quarantines end with the addresses of the core processes.
#[test]
fn a_snapshot_without_quarantined_parts_is_restored() {
    let mut state = FleetState::default();
    state.apply(1, put(3, b"three"));
    let older = postcard::to_allocvec(&state).expect("the state encodes into memory");
    assert_eq!(FleetState::restore(&older), Ok(state));
}

#[test]
fn the_number_of_quarantined_parts_is_bounded() {
    let mut state = FleetState::default();
    for key in 0..1_000 {
        state.apply(key, StateCommand::Quarantine { key });
    }
    assert_eq!(state.quarantined.len(), MAX_QUARANTINED);
    assert_eq!(state.apply(1_000, StateCommand::EndQuarantine { key: 0 }), StateChange::Quarantine);
    assert!(!state.quarantined.contains(&0));
}

#[test]
fn ends_of_servers_outlast_a_snapshot_until_a_quarantine_explains_them() {
    let mut state = FleetState::default();
    let end = |server, part| {
        let suspects = vec![Suspect { parts: vec![part], digests: Vec::new() }];
        let end = ServerEnd { server: BackendKey(server), since_previous_ms: 5, suspects };
        StateCommand::ServerEnd(end)
    };
    state.apply(1, end(1, 7));
    state.apply(2, end(2, 8));
    let restored = FleetState::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
    state.apply(3, StateCommand::Quarantine { key: 7 });
    assert_eq!(state.server_ends.len(), 1);
    assert!(state.has_suspect(8));
    state.apply(3, StateCommand::Exonerate { key: 8 });
    assert!(!state.has_suspect(8));
    for server in 0..100 {
        state.apply(4, end(server, 9));
    }
    assert_eq!(state.server_ends.len(), MAX_SERVER_ENDS);
    let restored = FleetState::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
}

/// Guards against two ends that count as one because the time between them is lost with a record that a
/// complete answer removed.
#[test]
fn the_time_between_ends_outlasts_the_removal_of_a_record() {
    let mut state = FleetState::default();
    for (server, since_previous_ms, digest) in [(1, 0, 5), (2, 150, 6), (2, 2, 5)] {
        let suspects = vec![Suspect { parts: Vec::new(), digests: vec![digest] }];
        let end = ServerEnd { server: BackendKey(server), since_previous_ms, suspects };
        state.apply(1, StateCommand::ServerEnd(end));
    }
    state.apply(2, StateCommand::Exonerate { key: 6 });
    let times: Vec<u64> = state.server_ends.iter().map(|end| end.since_previous_ms).collect();
    assert_eq!(times, [0, 152]);
    state.apply(3, StateCommand::Exonerate { key: 5 });
    assert!(state.server_ends.is_empty());
}

/// The same if the record is removed before there is a later one.
#[test]
fn the_time_since_the_last_end_outlasts_its_removal() {
    let mut state = FleetState::default();
    let end = |server, since_previous_ms, digest| {
        let suspects = vec![Suspect { parts: Vec::new(), digests: vec![digest] }];
        StateCommand::ServerEnd(ServerEnd {
            server: BackendKey(server),
            since_previous_ms,
            suspects,
        })
    };
    state.apply(1, end(1, 0, 5));
    state.apply(2, end(2, 150, 6));
    state.apply(3, StateCommand::Exonerate { key: 6 });
    let mut restored = FleetState::restore(&state.snapshot()).expect("a snapshot");
    for state in [&mut state, &mut restored] {
        state.apply(4, end(2, 4, 5));
        let times: Vec<u64> = state.server_ends.iter().map(|end| end.since_previous_ms).collect();
        assert_eq!(times, [0, 154]);
    }
}
