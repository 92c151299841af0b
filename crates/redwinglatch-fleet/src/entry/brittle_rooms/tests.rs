use super::{BackendKey, BrittleRooms};

const SERVICE: &str = "desk";
const SERVER: BackendKey = BackendKey(1);
const SLOTS: u32 = 6;
const DURATION_MS: u64 = 200;

/// Twelve processes without a coordinator send as much as they may to one server: hardly any request meets a full
/// one, and it isn't idle.
#[test]
fn processes_without_a_coordinator_rarely_meet_at_a_server() {
    const PROCESSES: usize = 12;
    let mut processes: Vec<BrittleRooms> =
        (0..PROCESSES).map(|_| BrittleRooms::default()).collect();
    for process in &mut processes {
        process.record_duration(SERVICE, DURATION_MS);
    }
    let mut running_until_ms: Vec<u64> = Vec::new();
    let (mut sent, mut rejected) = (0, 0);
    for now_ms in 0..60_000 {
        running_until_ms.retain(|until_ms| now_ms < *until_ms);
        for process in &mut processes {
            if process.try_take_turn(now_ms, SERVICE, SERVER, SLOTS, PROCESSES).is_ok() {
                sent += 1;
                if running_until_ms.len() < SLOTS as usize {
                    running_until_ms.push(now_ms + DURATION_MS);
                } else {
                    rejected += 1;
                }
            }
        }
    }
    let possible = 60_000 / DURATION_MS * u64::from(SLOTS);
    assert!(sent * 6 > possible, "{sent} of {possible} are sent");
    assert!(rejected <= 6, "{rejected} of {sent} are rejected");
}

#[test]
fn mean_duration_follows_the_requests() {
    let mut rooms = BrittleRooms::default();
    rooms.record_duration(SERVICE, 100);
    for _ in 0..100 {
        rooms.record_duration(SERVICE, 300);
    }
    assert!((rooms.durations_ms[SERVICE] - 300.0).abs() < 1.0);
}

#[test]
fn denied_server_is_asked_for_again_later() {
    let mut rooms = BrittleRooms::default();
    rooms.deny_until(SERVER, 1_500);
    assert_eq!(rooms.denied_until_ms(1_499, SERVER), Some(1_500));
    assert_eq!(rooms.denied_until_ms(1_500, SERVER), None);
}
