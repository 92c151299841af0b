use super::{COMMON_CAUSE_MS, FATAL_ENDS, FATAL_ENDS_AFTER_COMPLETION, FatalRequests};
use crate::{ids::BackendKey, suspects::Suspect};

/// The first part of every prompt, and the part that ends engines.
const COMMON: u64 = 1;
const FATAL: u64 = 666;

fn prompt(parts: &[u64]) -> Suspect {
    Suspect { parts: parts.to_vec(), digests: Vec::new() }
}

fn caller_digest(content: u64, caller: u64) -> u64 {
    1_000_000 + content * 1_000 + caller
}

/// A request with this content, of one of several callers.
fn request(content: u64, caller: u64, parts: &[u64]) -> Suspect {
    Suspect { parts: parts.to_vec(), digests: vec![content, caller_digest(content, caller)] }
}

/// The end of a server with these requests in progress; returns what has become fatal.
fn end_server(
    fatal_requests: &mut FatalRequests,
    now_ms: u64,
    server: BackendKey,
    suspects: &[Suspect],
) -> Vec<u64> {
    for suspect in suspects {
        fatal_requests.record_failure(now_ms, 0, server, suspect.clone());
    }
    fatal_requests.server_ended(server, now_ms + 5);
    fatal_requests.take_fatal()
}

/// The end of an engine with requests of these parts in progress.
fn end_engine(fatal_requests: &mut FatalRequests, now_ms: u64, prompts: &[&[u64]]) -> Option<u64> {
    for parts in prompts {
        fatal_requests.count_request(parts.iter().copied());
    }
    let suspects: Vec<Suspect> = prompts.iter().map(|parts| prompt(parts)).collect();
    let fatal = end_server(fatal_requests, now_ms, BackendKey(now_ms), &suspects);
    assert!(fatal.len() <= 1, "{fatal:?}");
    fatal.first().copied()
}

/// Sound requests that share all other parts are answered between the ends of engines.
#[test]
fn part_under_which_engines_end_is_found_among_sound_ones() {
    let mut fatal_requests = FatalRequests::default();
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS as u64 {
        let now_ms = 1_000 + number * 700;
        let sound = 10 + number % 2;
        found.extend(end_engine(
            &mut fatal_requests,
            now_ms,
            &[&[COMMON, sound], &[COMMON, FATAL]],
        ));
        fatal_requests.count_request([COMMON, sound]);
        fatal_requests.record_completions(now_ms + 100, &[COMMON, sound]);
    }
    assert_eq!(found, [FATAL]);
}

/// The first requests of a deployment end engines, so no answer was complete yet.
#[test]
fn fatal_part_is_the_rarest_while_no_answer_was_complete() {
    let mut fatal_requests = FatalRequests::default();
    fatal_requests.count_request([COMMON, 10]);
    let ends = (0..FATAL_ENDS as u64)
        .map(|number| end_engine(&mut fatal_requests, number * 700, &[&[COMMON, FATAL]]));
    let found: Vec<Option<u64>> = ends.collect();
    assert_eq!(found, [None, None, Some(FATAL)]);
    let later = end_engine(&mut fatal_requests, 10_000, &[&[COMMON, 11]]);
    assert_eq!(later, None, "the ends were explained by the other part");
}

#[test]
fn part_that_was_sound_before_needs_more_ends() {
    let mut fatal_requests = FatalRequests::default();
    fatal_requests.record_completions(500, &[COMMON, FATAL]);
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS_AFTER_COMPLETION as u64 {
        let now_ms = 1_000 + number * 700;
        found.push(end_engine(&mut fatal_requests, now_ms, &[&[COMMON, FATAL]]));
        fatal_requests.record_completions(now_ms + 100, &[COMMON]);
    }
    assert_eq!(found, [None, None, None, None, Some(FATAL)]);
}

/// Engines crash for reasons of their own, one after the other, for minutes.
#[test]
fn crashes_without_a_common_part_quarantine_nothing() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fatal_requests = FatalRequests::default();
        for step in 0..1_000 {
            let now_ms = step * 100;
            for _ in 0..5 {
                let parts = [rng.u64(1..4), rng.u64(10..76)];
                fatal_requests.count_request(parts);
                fatal_requests.record_completions(now_ms, &parts);
            }
            if rng.u32(0..10) == 0 {
                let prompts = [[rng.u64(1..4), rng.u64(10..76)], [rng.u64(1..4), rng.u64(10..76)]];
                let found =
                    end_engine(&mut fatal_requests, now_ms + 50, &[&prompts[0], &prompts[1]]);
                assert_eq!(found, None, "seed {seed} at {now_ms}");
            }
        }
    }
}

/// All engines of a rack lose power: many ends, one cause.
#[test]
fn ends_at_the_same_time_count_once() {
    let mut fatal_requests = FatalRequests::default();
    for engine in 0..20 {
        let now_ms = 1_000 + engine * COMMON_CAUSE_MS / 20;
        assert_eq!(end_engine(&mut fatal_requests, now_ms, &[&[COMMON, 10]]), None);
    }
}

/// Connections are reset, and the engines go on.
#[test]
fn failures_at_an_engine_that_answers_are_no_evidence() {
    let mut fatal_requests = FatalRequests::default();
    for number in 0..10 {
        let (now_ms, engine) = (number * 700, BackendKey(1));
        fatal_requests.record_failure(now_ms, 0, engine, prompt(&[COMMON, FATAL]));
        assert!(fatal_requests.is_suspected(engine));
        fatal_requests.server_answered(engine, now_ms + 1);
        assert!(!fatal_requests.is_suspected(engine));
        fatal_requests.server_ended(engine, now_ms + 2);
        assert!(fatal_requests.take_fatal().is_empty());
    }
}

/// After a quarantine a part gets one trial.
#[test]
fn part_that_was_fatal_before_is_quarantined_at_its_next_end() {
    let mut fatal_requests = FatalRequests::default();
    let ends = (0..FATAL_ENDS as u64)
        .map(|number| end_engine(&mut fatal_requests, number * 700, &[&[COMMON, FATAL]]));
    assert_eq!(ends.last().flatten(), Some(FATAL));
    assert_eq!(end_engine(&mut fatal_requests, 700_000, &[&[COMMON, FATAL]]), Some(FATAL));
}

/// Another request of each end is sound: it was in progress by chance, or was sent once more.
#[test]
fn request_under_which_servers_end_is_found_among_sound_ones() {
    let mut fatal_requests = FatalRequests::default();
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS as u64 {
        let now_ms = 1_000 + number * 130;
        let sound = [request(10 + number, 1, &[]), request(20, 2, &[])];
        let suspects = [&sound[..1 + (number % 2) as usize], &[request(666, 3, &[])]].concat();
        found.extend(end_server(&mut fatal_requests, now_ms, BackendKey(number), &suspects));
    }
    assert_eq!(found, [666]);
    // One more end is enough for a request that was fatal before.
    let again = end_server(&mut fatal_requests, 9_000, BackendKey(9), &[request(666, 4, &[])]);
    assert_eq!(again, [666]);
}

/// Several processes report the end of one server, each with its own requests.
#[test]
fn reports_of_the_same_end_count_once() {
    let mut fatal_requests = FatalRequests::default();
    for report in 0..20 {
        let now_ms = 1_000 + report * 15;
        let found = end_server(&mut fatal_requests, now_ms, BackendKey(1), &[request(666, 1, &[])]);
        assert_eq!(found, []);
    }
    assert_eq!(end_server(&mut fatal_requests, 2_000, BackendKey(2), &[request(666, 1, &[])]), []);
    let found = end_server(&mut fatal_requests, 3_000, BackendKey(3), &[request(666, 1, &[])]);
    assert_eq!(found, [666]);
}

/// A rack loses power while a caller sends the same request again and again.
#[test]
fn ends_at_the_same_time_count_once_for_a_request() {
    let mut fatal_requests = FatalRequests::default();
    for server in 0..20 {
        let now_ms = 1_000 + server / 4;
        let suspects = [request(666, 1, &[])];
        assert_eq!(end_server(&mut fatal_requests, now_ms, BackendKey(server), &suspects), []);
    }
}

/// Other callers send the same request, and are served.
#[test]
fn only_the_requests_of_the_caller_are_fatal_if_those_of_others_are_answered() {
    let mut fatal_requests = FatalRequests::default();
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS as u64 {
        let now_ms = 1_000 + number * 700;
        let suspects = [request(666, 3, &[])];
        found.extend(end_server(&mut fatal_requests, now_ms, BackendKey(number), &suspects));
        assert!(number + 1 == FATAL_ENDS as u64 || fatal_requests.watched().contains(&666));
        fatal_requests.record_completions(now_ms + 100, &[666, caller_digest(666, 1)]);
    }
    assert_eq!(found, [caller_digest(666, 3)]);
}

/// A request ends engines; all other requests have the same prompt parts, and none is answered in between.
#[test]
fn the_prompt_parts_of_a_fatal_request_are_not_fatal() {
    let mut fatal_requests = FatalRequests::default();
    let mut found = Vec::new();
    for number in 0..6 {
        let now_ms = 1_000 + number * 130;
        let suspects = [request(10 + number, 1, &[COMMON]), request(666, 1, &[COMMON])];
        found.extend(end_server(&mut fatal_requests, now_ms, BackendKey(number), &suspects));
    }
    found.dedup();
    assert_eq!(found, [666]);
}

/// Each of many requests with the fatal part is sent several times.
#[test]
fn part_is_found_although_its_requests_are_repeated() {
    let mut fatal_requests = FatalRequests::default();
    let mut found = Vec::new();
    for number in 0..9 {
        let suspects = [request(600 + number / 3, 1, &[COMMON, FATAL])];
        fatal_requests.count_request([COMMON, FATAL]);
        fatal_requests.count_request([COMMON, 10]);
        let now_ms = 1_000 + number * 700;
        found.extend(end_server(&mut fatal_requests, now_ms, BackendKey(number), &suspects));
        fatal_requests.record_completions(now_ms + 100, &[COMMON]);
    }
    assert!(found.contains(&FATAL), "{found:?}");
    assert!(!found.contains(&COMMON), "{found:?}");
}

/// The coordinator is lost after each end. The uptime of its successor is shorter than the time between ends.
#[test]
fn ends_that_an_earlier_coordinator_recorded_count() {
    let mut recorded = Vec::new();
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS as u64 {
        let now_ms = 100;
        let mut fatal_requests = FatalRequests::default();
        fatal_requests.restore(9, recorded.iter().cloned());
        let suspects = [request(10 + number, 1, &[]), request(666, 1, &[])];
        found.extend(end_server(&mut fatal_requests, now_ms, BackendKey(number), &suspects));
        recorded.extend(fatal_requests.take_new_ends());
    }
    assert_eq!(found, [666]);
}

/// Guards against time that is counted for each of the reports of one end.
#[test]
fn the_recorded_times_between_ends_add_up() {
    let mut fatal_requests = FatalRequests::default();
    for (now_ms, server) in [(1_000, 1), (1_004, 2), (1_008, 2), (1_012, 2), (1_200, 3)] {
        end_server(&mut fatal_requests, now_ms, BackendKey(server), &[request(666, 1, &[])]);
    }
    let times = fatal_requests.take_new_ends().into_iter().map(|end| end.since_previous_ms);
    assert_eq!(times.collect::<Vec<u64>>(), [0, 4, 4, 4, 188]);
}

/// Servers crash for reasons of their own while callers repeat requests that failed.
#[test]
fn crashes_under_sound_requests_quarantine_nothing() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fatal_requests = FatalRequests::default();
        let mut repeated = Vec::new();
        for crash in 0..200 {
            let now_ms = crash * 900;
            let mut in_progress: Vec<Suspect> =
                (0..rng.u64(1..6)).map(|at| request(crash * 10 + at, at, &[])).collect();
            // A caller repeats a request once, and it is answered then.
            in_progress.append(&mut repeated);
            let server = BackendKey(crash);
            let found = end_server(&mut fatal_requests, now_ms, server, &in_progress);
            assert!(found.is_empty(), "seed {seed} at {now_ms}: {found:?}");
            let repeats = in_progress.into_iter().filter(|_| rng.bool());
            let news = |suspect: &Suspect| suspect.digests[0] >= crash * 10;
            repeated = repeats.filter(news).collect();
        }
    }
}

/// A popular request is in progress at each end, and its answers are not remembered.
#[test]
fn a_sound_request_that_counts_as_fatal_hides_no_fatal_one() {
    let mut fatal_requests = FatalRequests::default();
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS as u64 {
        let now_ms = 1_000 + number * 700;
        // Two processes report the end.
        for suspects in [[request(10, 1, &[])], [request(666, 1, &[])]] {
            found.extend(end_server(&mut fatal_requests, now_ms, BackendKey(number), &suspects));
        }
    }
    assert_eq!(found, [10, 666]);
}

#[test]
fn complete_answers_are_recorded_for_suspects_only() {
    let mut fatal_requests = FatalRequests::default();
    end_server(&mut fatal_requests, 1_000, BackendKey(1), &[request(10, 1, &[COMMON])]);
    fatal_requests.record_completions(1_100, &[COMMON, 10, 11]);
    assert_eq!(fatal_requests.take_exonerated(), [COMMON, 10]);
    fatal_requests.record_completions(1_200, &[COMMON, 10]);
    assert!(fatal_requests.take_exonerated().is_empty(), "they are recorded once for each end");
    end_server(&mut fatal_requests, 3_000, BackendKey(2), &[request(10, 1, &[])]);
    fatal_requests.record_completions(3_100, &[COMMON, 10]);
    assert_eq!(fatal_requests.take_exonerated(), [10]);
}
