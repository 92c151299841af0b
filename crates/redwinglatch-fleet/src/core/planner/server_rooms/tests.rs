use super::{
    FULL_MS, MAX_REQUEST_MS, NO_ROOM_RETRY_MS, REDUCED_MS, SETTLING_MS, ServerLoad, ServerRooms,
};
use crate::{brittle_services::BrittleService, ids::BackendKey};

const SERVICE: &str = "desk";
const SERVER: BackendKey = BackendKey(1);
const START_MS: u64 = 1_000;
/// Time after which only granted requests count.
const SETTLED_MS: u64 = START_MS + SETTLING_MS;
const IDLE: ServerLoad = ServerLoad { slots: 3, placed: 0, reported: 0 };

fn brittle() -> ServerRooms {
    let mut rooms = ServerRooms::default();
    rooms.set_active(START_MS, true);
    let service = BrittleService { service: SERVICE.into(), max_rejections_per_s: Some(2) };
    assert!(rooms.set_brittle(START_MS, &service));
    rooms
}

fn take(rooms: &mut ServerRooms, now_ms: u64, id: u64, load: ServerLoad) -> Result<(), u64> {
    rooms.take(now_ms, SERVICE, SERVER, (7, id), load)
}

/// Requests come at any rate, and end after some time; no more run at once than the server has slots.
#[test]
fn granted_requests_stay_within_the_slots_and_use_them() {
    let mut rooms = brittle();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let (mut granted, mut most) = (0, 0);
    for now_ms in SETTLED_MS..SETTLED_MS + 60_000 {
        running.retain(|(id, ends_ms)| {
            let has_ended = *ends_ms <= now_ms;
            if has_ended {
                rooms.release((7, *id));
            }
            !has_ended
        });
        if rng.u32(0..10) == 0 && take(&mut rooms, now_ms, now_ms, IDLE).is_ok() {
            running.push((now_ms, now_ms + rng.u64(100..300)));
            granted += 1;
        }
        most = most.max(running.len());
    }
    assert_eq!(most, 3);
    assert!(granted > 700, "{granted} of 900 that fit");
}

#[test]
fn sound_server_gets_all_requests() {
    let mut rooms = brittle();
    for id in 0..100 {
        assert_eq!(rooms.take(SETTLED_MS, "writer", SERVER, (7, id), IDLE), Ok(()));
    }
    rooms.set_brittle(
        SETTLED_MS,
        &BrittleService { service: SERVICE.into(), max_rejections_per_s: None },
    );
    assert!((0..100).all(|id| take(&mut rooms, SETTLED_MS, id, IDLE).is_ok()));
}

/// A coordinator that has just begun doesn't know the requests that its predecessor granted.
#[test]
fn reported_requests_count_at_first() {
    let mut rooms = brittle();
    let busy = ServerLoad { reported: 3, ..IDLE };
    assert_eq!(take(&mut rooms, SETTLED_MS - 1, 1, busy), Err(NO_ROOM_RETRY_MS));
    assert_eq!(take(&mut rooms, SETTLED_MS, 1, busy), Ok(()));
    rooms.set_active(SETTLED_MS, false);
    assert!(take(&mut rooms, SETTLED_MS, 2, IDLE).is_err());
    rooms.set_active(SETTLED_MS, true);
    assert!(take(&mut rooms, SETTLED_MS, 2, busy).is_err());
}

#[test]
fn placed_requests_take_room() {
    let mut rooms = brittle();
    let placed = ServerLoad { placed: 2, ..IDLE };
    assert_eq!(take(&mut rooms, SETTLED_MS, 1, placed), Ok(()));
    assert!(take(&mut rooms, SETTLED_MS, 2, placed).is_err());
    rooms.entry_disconnected(7);
    assert_eq!(take(&mut rooms, SETTLED_MS, 2, placed), Ok(()));
    assert_eq!(take(&mut rooms, SETTLED_MS + MAX_REQUEST_MS, 3, placed), Ok(()));
}

/// A server has less room than it has slots.
#[test]
fn full_server_gets_nothing_and_then_less() {
    let mut rooms = brittle();
    for id in 0..3 {
        assert_eq!(take(&mut rooms, SETTLED_MS, id, IDLE), Ok(()));
    }
    rooms.server_full(SETTLED_MS, SERVER, 0);
    for id in 0..3 {
        rooms.release((7, id));
    }
    assert_eq!(take(&mut rooms, SETTLED_MS, 4, IDLE), Err(FULL_MS));
    let later_ms = SETTLED_MS + FULL_MS;
    assert_eq!(take(&mut rooms, later_ms, 5, IDLE), Ok(()));
    assert_eq!(take(&mut rooms, later_ms, 6, IDLE), Ok(()));
    assert!(take(&mut rooms, later_ms, 7, IDLE).is_err());
    assert_eq!(take(&mut rooms, later_ms + REDUCED_MS, 7, IDLE), Ok(()));
}
