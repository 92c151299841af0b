use std::net::SocketAddr;

use super::{AnnouncedBackends, MAX_CHANGES};
use crate::{
    entry::FleetView,
    ids::BackendKey,
    link::Frame,
    message::{Backend, FleetMessage},
};

const LINK: u64 = 7;

fn backend(number: u32) -> Backend {
    let address = SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 + number), 80));
    let id = format!("i-{number:08x}");
    Backend {
        key: BackendKey::new(&id, address, 0),
        id: id.into(),
        service: "writer".into(),
        address,
        data_centre: "hall-a".into(),
        slots: 12,
        leaving: false,
        software_version: "v1".into(),
    }
}

fn decode(frame: &Frame) -> FleetMessage {
    let (_, message) = frame.bytes().split_at(size_of::<u32>());
    postcard::from_bytes(message).expect("an encoded message")
}

/// Applies a message as an entry process does; returns whether it has the list now.
fn apply(view: &mut FleetView, frame: &Frame) -> bool {
    match decode(frame) {
        FleetMessage::VersionedBackends { digest, entries, versions } => {
            view.set_backends(digest, Backend::with_versions(entries, versions));
        }
        FleetMessage::VersionedBackendChanges { mut changes, versions } => {
            changes.changed = Backend::with_versions(changes.changed, versions);
            return view.change_backends(changes);
        }
        other => panic!("unexpected {other:?}"),
    }
    true
}

/// Random servers come, go and start to leave; an entry process that follows has the same list as one
/// that gets it whole.
#[test]
fn changes_lead_to_the_same_list() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut announced = AnnouncedBackends::default();
    let mut list: Vec<Backend> = (0..40).map(backend).collect();
    let mut view = FleetView::new(SocketAddr::from(([192, 0, 2, 1], 80)));
    for step in 0..300 {
        for _ in 0..rng.usize(0..4) {
            let at = rng.usize(0..list.len());
            match rng.u32(0..4) {
                0 => list[at].leaving = !list[at].leaving,
                3 => list[at].software_version = format!("v{}", rng.u32(0..3)).into(),
                1 if list.len() > 10 => drop(list.swap_remove(at)),
                _ => list.push(backend(rng.u32(0..60))),
            }
        }
        announced.set(list.clone());
        if rng.u32(0..3) == 0 {
            let whole = apply(&mut view, &announced.frame_for(LINK));
            assert!(whole, "step {step}: the changes don't start from the list of the process");
            assert_eq!(view.backends_digest(), announced.digest());
            assert_eq!(view.listed_backends(), announced.list(), "step {step}");
        }
    }
}

#[test]
fn process_with_a_list_from_elsewhere_gets_the_whole_list() {
    let mut announced = AnnouncedBackends::default();
    announced.set(vec![backend(1)]);
    let mut view = FleetView::new(SocketAddr::from(([192, 0, 2, 1], 80)));
    assert!(apply(&mut view, &announced.frame_for(LINK)));
    view.set_backends(5, vec![backend(1), backend(2), backend(3)]);
    announced.set(vec![backend(1), backend(4)]);
    assert!(!apply(&mut view, &announced.frame_for(LINK)), "these changes start from another list");
    assert_eq!(view.listed_backends().len(), 3);
    assert!(matches!(decode(&announced.frame_for(LINK)), FleetMessage::VersionedBackends { .. }));
}

#[test]
fn old_changes_and_closed_links_are_forgotten() {
    let mut announced = AnnouncedBackends::default();
    announced.set(vec![backend(0)]);
    announced.frame_for(1);
    announced.frame_for(2);
    announced.link_closed(2);
    for number in 1..=MAX_CHANGES as u32 {
        announced.set(vec![backend(number)]);
    }
    assert!(matches!(
        decode(&announced.frame_for(1)),
        FleetMessage::VersionedBackendChanges { .. }
    ));
    assert!(matches!(decode(&announced.frame_for(2)), FleetMessage::VersionedBackends { .. }));
    announced.frame_for(3);
    for number in 100..=100 + MAX_CHANGES as u32 {
        announced.set(vec![backend(number)]);
    }
    assert!(matches!(decode(&announced.frame_for(3)), FleetMessage::VersionedBackends { .. }));
}

/// One server of 3,000 starts to leave, in front of 300 entry processes.
#[test]
fn change_of_a_large_list_costs_little() {
    let mut announced = AnnouncedBackends::default();
    let mut list: Vec<Backend> = (0..3_000).map(backend).collect();
    announced.set(list.clone());
    let whole_bytes: usize = (0..300).map(|link| announced.frame_for(link).bytes().len()).sum();
    list[1_000].leaving = true;
    announced.set(list);
    let change_bytes: usize = (0..300).map(|link| announced.frame_for(link).bytes().len()).sum();
    assert!(change_bytes * 1_000 < whole_bytes, "{change_bytes} of {whole_bytes} bytes");
}
