use redwinglatch_core::ReplicaId;

use super::{FleetState, MAX_QUARANTINED_PARTS, StateChange, StateCommand};

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

#[test]
fn a_replica_that_lost_its_disk_is_superseded_at_its_address() {
    let mut state = FleetState::default();
    let link = "192.0.2.1:7000".parse().expect("an address");
    let other = "192.0.2.2:7000".parse().expect("an address");
    state.apply(1, StateCommand::SetCoreAddress { replica: ReplicaId(1), link });
    state.apply(2, StateCommand::SetCoreAddress { replica: ReplicaId(2), link: other });
    let members = [ReplicaId(1), ReplicaId(2)];
    assert_eq!(state.superseded_member(&members), None);
    state.apply(3, StateCommand::SetCoreAddress { replica: ReplicaId(5_000), link });
    assert_eq!(state.superseded_member(&members), None, "the new replica doesn't vote yet");
    let members = [ReplicaId(1), ReplicaId(2), ReplicaId(5_000)];
    assert_eq!(state.superseded_member(&members), Some(ReplicaId(1)));
}

#[test]
fn a_snapshot_restores_the_state() {
    let mut state = FleetState::default();
    state.apply(1, put(3, b"three"));
    state.apply(2, StateCommand::PutVersion { model: "m/a1".into(), version: 4 });
    state.apply(3, StateCommand::Quarantine { part: 0xbad });
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
    for part in 0..1_000 {
        state.apply(part, StateCommand::Quarantine { part });
    }
    assert_eq!(state.quarantined.len(), MAX_QUARANTINED_PARTS);
    assert_eq!(
        state.apply(1_000, StateCommand::EndQuarantine { part: 0 }),
        StateChange::Quarantine
    );
    assert!(!state.quarantined.contains(&0));
}
