use redwinglatch_core::ReplicaId;

use super::{Applied, Command, FleetState};

fn put(version: u64, document: &[u8]) -> Command {
    Command::PutConfiguration { version, document: document.to_vec() }
}

#[test]
fn the_highest_version_is_in_force() {
    let mut state = FleetState::default();
    assert_eq!(state.apply(1, put(3, b"three")), Applied::Configuration);
    assert_eq!(state.apply(2, put(3, b"other")), Applied::Nothing);
    assert_eq!(state.apply(3, put(2, b"two")), Applied::Nothing);
    assert_eq!((state.version, &*state.document), (3, &b"three"[..]));
}

#[test]
fn an_older_version_of_an_adapter_changes_nothing() {
    let mut state = FleetState::default();
    let put = |version| Command::PutVersion { model: "m/a1".into(), version };
    assert_eq!(state.apply(1, put(2)), Applied::Version);
    assert_eq!(state.apply(2, put(1)), Applied::Nothing);
    assert_eq!(state.versions["m/a1"], 2);
}

#[test]
fn a_replica_that_lost_its_disk_is_superseded_at_its_address() {
    let mut state = FleetState::default();
    let link = "192.0.2.1:7000".parse().expect("an address");
    let other = "192.0.2.2:7000".parse().expect("an address");
    state.apply(1, Command::LocateCore { replica: ReplicaId(1), link });
    state.apply(2, Command::LocateCore { replica: ReplicaId(2), link: other });
    let members = [ReplicaId(1), ReplicaId(2)];
    assert_eq!(state.superseded(&members), None);
    state.apply(3, Command::LocateCore { replica: ReplicaId(5_000), link });
    assert_eq!(state.superseded(&members), None, "the new replica doesn't vote yet");
    let members = [ReplicaId(1), ReplicaId(2), ReplicaId(5_000)];
    assert_eq!(state.superseded(&members), Some(ReplicaId(1)));
}

#[test]
fn a_snapshot_restores_the_state() {
    let mut state = FleetState::default();
    state.apply(1, put(3, b"three"));
    state.apply(2, Command::PutVersion { model: "m/a1".into(), version: 4 });
    assert_eq!(FleetState::restore(&state.snapshot()), Ok(state));
}
