use std::{collections::BTreeMap, net::SocketAddr};

use super::{FAILED_MS, Peers, UNREACHABLE_MS};

const NOW_MS: u64 = 1_000;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, last], 80))
}

/// Chooses among `near` processes of the own data centre and two of another.
fn choose(peers: &mut Peers, now_ms: u64, near: u8, tried: &[SocketAddr]) -> Option<SocketAddr> {
    let near = (1..=near).map(|last| (address(last), "hall-a"));
    let far = [(address(101), "hall-b"), (address(102), "hall-b")];
    peers.choose(now_ms, "writer", "hall-a", near.chain(far), tried)
}

/// Most processes are cut off at the same moment and pass all their requests on.
#[test]
fn requests_spread_over_the_processes_of_the_own_data_centre() {
    let mut peers = Peers::default();
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..40 {
        let peer = choose(&mut peers, NOW_MS, 4, &[]).expect("a process");
        peers.started(peer);
        *counts.entry(peer).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [10; 4]);
}

#[test]
fn request_goes_to_another_data_centre_if_there_is_none_in_the_own() {
    let mut peers = Peers::default();
    assert!(choose(&mut peers, NOW_MS, 0, &[]).is_some());
    assert_eq!(choose(&mut peers, NOW_MS, 0, &[address(101)]), Some(address(102)));
    assert_eq!(choose(&mut peers, NOW_MS, 0, &[address(101), address(102)]), None);
}

#[test]
fn process_that_failed_gets_no_requests_for_some_time() {
    let mut peers = Peers::default();
    peers.failed(NOW_MS, address(1));
    assert_ne!(choose(&mut peers, NOW_MS + FAILED_MS - 1, 1, &[]), Some(address(1)));
    assert_eq!(choose(&mut peers, NOW_MS + FAILED_MS, 1, &[]), Some(address(1)));
}

/// The servers of a service have ended, so no process reaches them.
#[test]
fn request_is_refused_at_once_when_other_processes_do_not_reach_the_service_either() {
    let mut peers = Peers::default();
    for last in 1..=2 {
        peers.unreachable(NOW_MS, address(last), "writer");
    }
    assert!(choose(&mut peers, NOW_MS, 6, &[]).is_some());
    peers.unreachable(NOW_MS, address(3), "writer");
    assert_eq!(choose(&mut peers, NOW_MS, 6, &[]), None);
    let other = peers.choose(NOW_MS, "desk", "hall-a", [(address(1), "hall-a")].into_iter(), &[]);
    assert_eq!(other, Some(address(1)), "another service");
    assert!(choose(&mut peers, NOW_MS + UNREACHABLE_MS, 6, &[]).is_some());
    peers.answered(address(2), "writer");
    assert!(choose(&mut peers, NOW_MS, 6, &[]).is_some());
}

#[test]
fn processes_that_are_gone_are_forgotten() {
    let mut peers = Peers::default();
    for last in 1..=9 {
        peers.started(address(last));
    }
    peers.ended(address(1));
    peers.failed(NOW_MS, address(20));
    peers.retain(|front| front == address(20));
    assert_eq!(peers.peers.len(), 9, "requests are in flight at eight, and one is ready");
}
