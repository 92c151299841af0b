use std::net::SocketAddr;

use redwinglatch_routing::{Configuration, RequestLimits, RouteTable};

use super::{Choice, View};
use crate::{
    ids::{BackendKey, ModelName},
    message::{Backend, EntryEndpoint, ModelLocation, ModelLocationChange},
};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, last], 80))
}

fn backend(number: u8, service: &str) -> Backend {
    let id = format!("s-{number}");
    Backend {
        key: BackendKey::new(&id, address(number), 0),
        id: id.into(),
        service: service.into(),
        address: address(number),
        data_centre: "hall-a".into(),
        slots: 6,
        leaving: false,
    }
}

fn table(version: u64) -> RouteTable {
    let limits = RequestLimits::default();
    let configuration = Configuration { version, routes: vec![], services: vec![], limits };
    RouteTable::new(configuration).expect("valid")
}

fn chosen(choice: &Choice) -> Option<SocketAddr> {
    match choice {
        Choice::Use(chosen) => Some(chosen.address),
        Choice::Load(_) | Choice::Nothing => None,
    }
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut view = View::new(address(100));
    view.set_table(table(5));
    view.set_table(table(4));
    assert_eq!(view.version(), 5);
}

#[test]
fn a_leaving_server_gets_nothing() {
    let mut view = View::new(address(100));
    let leaving = Backend { leaving: true, ..backend(1, "desk") };
    view.set_backends(1, vec![leaving, backend(2, "desk")]);
    for _ in 0..50 {
        let choice = view.choose_plain(0, "desk", "hall-a", &[]);
        assert_eq!(chosen(&choice), Some(address(2)));
    }
}

#[test]
fn a_server_that_failed_is_passed_over_and_tried_again() {
    let mut view = View::new(address(100));
    view.set_backends(1, vec![backend(1, "desk"), backend(2, "desk")]);
    let failed = backend(1, "desk").key;
    view.failed(1_000, failed);
    for _ in 0..50 {
        let choice = view.choose_plain(1_100, "desk", "hall-a", &[]);
        assert_eq!(chosen(&choice), Some(address(2)));
    }
    let again = (0..50).any(|_| {
        let choice = view.choose_plain(2_000, "desk", "hall-a", &[]);
        chosen(&choice) == Some(address(1))
    });
    assert!(again);
    // Without another server it is used at once.
    let other = backend(2, "desk").key;
    view.failed(1_000, other);
    assert!(chosen(&view.choose_plain(1_010, "desk", "hall-a", &[other])).is_some());
}

#[test]
fn busy_servers_get_less() {
    let mut view = View::new(address(100));
    view.set_backends(1, vec![backend(1, "desk"), backend(2, "desk")]);
    let busy = backend(1, "desk").key;
    view.set_loads(&[(busy, 5)], &[], 0);
    for _ in 0..50 {
        let choice = view.choose_plain(0, "desk", "hall-a", &[]);
        assert_eq!(chosen(&choice), Some(address(2)));
    }
}

#[test]
fn without_a_coordinator_an_engine_is_chosen_by_what_it_holds() {
    let mut view = View::new(address(100));
    view.set_backends(1, vec![backend(1, "writer"), backend(2, "writer")]);
    let model: ModelName = "m/a1".into();
    let engine = backend(2, "writer").key;
    let held = ModelLocation { engine, model: model.clone(), version: 1 };
    view.change_holdings(vec![ModelLocationChange::Added(held)]);
    let choice = view.choose_engine(0, "writer", &model, "hall-a", &[]);
    assert_eq!(chosen(&choice), Some(address(2)));
    // A copy of an older version than the newest one doesn't count.
    view.set_versions(vec![(model.clone(), 2)]);
    let choice = view.choose_engine(0, "writer", &model, "hall-a", &[]);
    assert!(matches!(choice, Choice::Load(_)));
}

#[test]
fn callers_are_sent_to_ready_entry_processes_only() {
    let mut view = View::new(address(100));
    let core = address(50);
    let member = |last| EntryEndpoint { front: address(last), data_centre: "hall-a".into() };
    view.set_members(core, vec![member(101), member(102)]);
    assert_eq!(view.usable_entries(), [address(101), address(102)]);
    view.set_table(table(1));
    view.set_backends(1, vec![backend(1, "desk")]);
    assert_eq!(view.usable_entries(), [address(100), address(101), address(102)]);
    view.start_draining(0);
    assert_eq!(view.usable_entries(), [address(101), address(102)]);
}
