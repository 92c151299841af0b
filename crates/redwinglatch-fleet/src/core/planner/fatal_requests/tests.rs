use super::{COMMON_CAUSE_MS, FATAL_ENDS, FATAL_ENDS_AFTER_COMPLETION, FatalParts};
use crate::ids::BackendKey;

/// The first part of every prompt, and the part that ends engines.
const COMMON: u64 = 1;
const FATAL: u64 = 666;

/// The end of an engine with requests of these parts in progress.
fn end_engine(fatal_parts: &mut FatalParts, now_ms: u64, prompts: &[&[u64]]) -> Option<u64> {
    let engine = BackendKey(now_ms);
    for parts in prompts {
        fatal_parts.count_request(parts.iter().copied());
        fatal_parts.record_failure(now_ms, engine, parts);
    }
    fatal_parts.engine_ended(engine, now_ms + 5)
}

/// Sound requests that share all other parts are answered between the ends of engines.
#[test]
fn part_under_which_engines_end_is_found_among_sound_ones() {
    let mut fatal_parts = FatalParts::default();
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS as u64 {
        let now_ms = 1_000 + number * 700;
        let sound = 10 + number % 2;
        found.extend(end_engine(&mut fatal_parts, now_ms, &[&[COMMON, sound], &[COMMON, FATAL]]));
        fatal_parts.count_request([COMMON, sound]);
        fatal_parts.record_completions(now_ms + 100, &[COMMON, sound]);
    }
    assert_eq!(found, [FATAL]);
}

/// The first requests of a deployment end engines, so no answer was complete yet.
#[test]
fn fatal_part_is_the_rarest_while_no_answer_was_complete() {
    let mut fatal_parts = FatalParts::default();
    fatal_parts.count_request([COMMON, 10]);
    let ends = (0..FATAL_ENDS as u64)
        .map(|number| end_engine(&mut fatal_parts, number * 700, &[&[COMMON, FATAL]]));
    let found: Vec<Option<u64>> = ends.collect();
    assert_eq!(found, [None, None, Some(FATAL)]);
    let later = end_engine(&mut fatal_parts, 10_000, &[&[COMMON, 11]]);
    assert_eq!(later, None, "the ends were explained by the other part");
}

#[test]
fn part_that_was_sound_before_needs_more_ends() {
    let mut fatal_parts = FatalParts::default();
    fatal_parts.record_completions(500, &[COMMON, FATAL]);
    let mut found = Vec::new();
    for number in 0..FATAL_ENDS_AFTER_COMPLETION as u64 {
        let now_ms = 1_000 + number * 700;
        found.push(end_engine(&mut fatal_parts, now_ms, &[&[COMMON, FATAL]]));
        fatal_parts.record_completions(now_ms + 100, &[COMMON]);
    }
    assert_eq!(found, [None, None, None, None, Some(FATAL)]);
}

/// Engines crash for reasons of their own, one after the other, for minutes.
#[test]
fn crashes_without_a_common_part_quarantine_nothing() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fatal_parts = FatalParts::default();
        for step in 0..1_000 {
            let now_ms = step * 100;
            for _ in 0..5 {
                let parts = [rng.u64(1..4), rng.u64(10..76)];
                fatal_parts.count_request(parts);
                fatal_parts.record_completions(now_ms, &parts);
            }
            if rng.u32(0..10) == 0 {
                let prompts = [[rng.u64(1..4), rng.u64(10..76)], [rng.u64(1..4), rng.u64(10..76)]];
                let found = end_engine(&mut fatal_parts, now_ms + 50, &[&prompts[0], &prompts[1]]);
                assert_eq!(found, None, "seed {seed} at {now_ms}");
            }
        }
    }
}

/// All engines of a rack lose power: many ends, one cause.
#[test]
fn ends_at_the_same_time_count_once() {
    let mut fatal_parts = FatalParts::default();
    for engine in 0..20 {
        let now_ms = 1_000 + engine * COMMON_CAUSE_MS / 20;
        assert_eq!(end_engine(&mut fatal_parts, now_ms, &[&[COMMON, 10]]), None);
    }
}

/// Connections are reset, and the engines go on.
#[test]
fn failures_at_an_engine_that_answers_are_no_evidence() {
    let mut fatal_parts = FatalParts::default();
    for number in 0..10 {
        let (now_ms, engine) = (number * 700, BackendKey(1));
        fatal_parts.record_failure(now_ms, engine, &[COMMON, FATAL]);
        assert!(fatal_parts.is_suspected(engine));
        fatal_parts.engine_answered(engine, now_ms + 1);
        assert!(!fatal_parts.is_suspected(engine));
        assert_eq!(fatal_parts.engine_ended(engine, now_ms + 2), None);
    }
}

/// After a quarantine a part gets one trial.
#[test]
fn part_that_was_fatal_before_is_quarantined_at_its_next_end() {
    let mut fatal_parts = FatalParts::default();
    let ends = (0..FATAL_ENDS as u64)
        .map(|number| end_engine(&mut fatal_parts, number * 700, &[&[COMMON, FATAL]]));
    assert_eq!(ends.last().flatten(), Some(FATAL));
    assert_eq!(end_engine(&mut fatal_parts, 700_000, &[&[COMMON, FATAL]]), Some(FATAL));
}
