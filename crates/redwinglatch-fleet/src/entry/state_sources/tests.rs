use std::net::SocketAddr;

use super::StateSources;

fn core(number: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, number], 7_000))
}

/// Three core processes, of which the second is in the own data centre.
fn sources(front: u8) -> StateSources {
    let mut sources = StateSources::new(core(100 + front), "hall-b".into());
    for (number, data_centre) in [(1, "hall-a"), (2, "hall-b"), (3, "hall-c")] {
        sources.connected(core(number));
        sources.set_data_centre(core(number), data_centre.into());
    }
    sources
}

/// All core processes announce a change, and only the nearest one is asked for it.
#[test]
fn configuration_is_requested_once_from_the_own_data_centre() {
    let mut sources = sources(0);
    sources.configuration_announced(0, core(1), 5);
    assert_eq!(sources.take_configuration_request(0, 4), None);
    sources.configuration_announced(20, core(2), 5);
    assert_eq!(sources.take_configuration_request(20, 4), Some(core(2)));
    sources.configuration_announced(30, core(3), 5);
    assert_eq!(sources.take_configuration_request(400, 4), None);
    assert_eq!(sources.take_configuration_request(2_000, 5), None);
}

/// The core process in the own data centre has lost its connection to the leader.
#[test]
fn another_core_process_is_asked_if_the_nearest_has_no_new_configuration() {
    let mut sources = sources(0);
    sources.configuration_announced(0, core(1), 5);
    assert_eq!(sources.take_configuration_request(149, 4), None);
    assert_eq!(sources.take_configuration_request(150, 4), Some(core(1)));
}

/// The core process that was asked has stopped responding.
#[test]
fn unanswered_request_is_sent_to_another_core_process() {
    let mut sources = sources(0);
    for number in 1..=3 {
        sources.configuration_announced(0, core(number), 5);
    }
    assert_eq!(sources.take_configuration_request(0, 4), Some(core(2)));
    assert_eq!(sources.take_configuration_request(699, 4), None);
    let second = sources.take_configuration_request(700, 4).expect("another request");
    assert_ne!(second, core(2));
    sources.disconnected(second);
    assert!(sources.take_configuration_request(710, 4).is_some());
}

/// Entry processes of a data centre without a core process don't all ask the same one.
#[test]
fn remote_core_processes_share_the_requests() {
    let mut counts = [0; 3];
    for front in 0..100 {
        let mut sources = StateSources::new(core(100 + front), "hall-z".into());
        for number in 1..=3 {
            sources.connected(core(number));
            sources.set_data_centre(core(number), "hall-a".into());
            sources.configuration_announced(0, core(number), 5);
        }
        let asked = sources.take_configuration_request(0, 4).expect("a request");
        let number = (1..=3).position(|number| core(number) == asked).expect("a core process");
        counts[number] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 20), "{counts:?}");
}

/// The lists of several core processes lag differently.
#[test]
fn list_of_a_remote_core_process_is_requested_only_while_the_nearest_is_silent() {
    let mut sources = sources(0);
    assert!(sources.should_request_list(0, core(1), false));
    assert!(!sources.should_request_list(10, core(3), false));
    assert!(sources.should_request_list(20, core(2), false));
    assert!(!sources.should_request_list(700, core(1), true));
    sources.list_confirmed(720, core(2));
    assert!(!sources.should_request_list(1_400, core(1), true));
    assert!(sources.should_request_list(2_320, core(1), true));
}

/// Guards against an entry process that installs nothing while the configuration changes all the time: every
/// notice restarted the delay after which it asked another core process than the one that it had asked.
#[test]
fn configuration_is_requested_again_and_again_during_a_storm_of_changes() {
    const CHANGE_INTERVAL_MS: u64 = 80;
    const MAX_LAG_MS: u64 = 600;
    let mut sources = sources(0);
    let mut own_version = 1;
    let mut response: Option<(u64, SocketAddr, u64)> = None;
    let mut requests = 0;
    for now_ms in 0..3_000 {
        let version = 2 + now_ms / CHANGE_INTERVAL_MS;
        if now_ms % CHANGE_INTERVAL_MS == 0 {
            for number in [1, 3, 2] {
                sources.configuration_announced(now_ms, core(number), version);
            }
        }
        if let Some((_, from, received)) = response.take_if(|(at_ms, ..)| *at_ms == now_ms) {
            own_version = received;
            sources.configuration_received(from);
        }
        if let Some(asked) = sources.take_configuration_request(now_ms, own_version) {
            requests += 1;
            response = Some((now_ms + 5, asked, version));
        }
        let overtaken = now_ms.checked_sub(MAX_LAG_MS).map(|at_ms| 2 + at_ms / CHANGE_INTERVAL_MS);
        assert!(Some(own_version) >= overtaken, "version {own_version} at {now_ms} ms");
    }
    assert!(requests <= 12, "{requests} requests of one process in 3 s");
}

/// Guards against a process that has just started and puts in force what the nearest core process has, although another
/// one has announced a newer configuration.
#[test]
fn first_configuration_is_the_newest_that_is_announced() {
    let mut sources = sources(0);
    sources.configuration_announced(0, core(2), 178);
    sources.configuration_announced(0, core(3), 230);
    assert_eq!(sources.take_configuration_request(150, 0), Some(core(3)));
}

/// Guards against hundreds of entry processes that all ask the leader, which is the first to have each change of a storm,
/// because the nearest core process is slow.
#[test]
fn requests_during_a_storm_are_shared_by_all_that_have_a_newer_configuration() {
    let mut counts = [0; 3];
    for front in 0..100 {
        let mut sources = sources(front);
        sources.configuration_announced(0, core(1), 10);
        sources.configuration_announced(0, core(3), 9);
        let asked = sources.take_configuration_request(150, 7).expect("a request");
        counts[usize::from(asked == core(3))] += 1;
    }
    assert!(counts[0] >= 20 && counts[1] >= 20, "{counts:?}");
}
