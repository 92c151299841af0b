//! Tests that the history checks reject histories that a correct system can't produce.

use redwinglatch_control::history::{
    ContractDecision, ContractWrite, OnceEvent, OnceReply, WriteResult, check_contracts, check_once,
};
use redwinglatch_core::prelude::*;

fn accepted(expected: u64, revision: u64, start: u64, end: u64) -> ContractWrite {
    let result = WriteResult::Accepted { revision: Revision(revision) };
    write(expected, Some(revision), start, Some((end, result)))
}

fn conflict(expected: u64, current: u64, start: u64, end: u64) -> ContractWrite {
    let result = WriteResult::Conflict { current_revision: Revision(current) };
    write(expected, Some(1_000 + start), start, Some((end, result)))
}

fn write(
    expected: u64,
    content_digest: Option<u64>,
    start: u64,
    end: Option<(u64, WriteResult)>,
) -> ContractWrite {
    ContractWrite {
        customer: "lakeshore".into(),
        expected: Revision(expected),
        content_digest,
        start,
        end,
    }
}

fn decided(at: u64, revision: u64) -> ContractDecision {
    ContractDecision {
        instance: InstanceId(1),
        incarnation: Incarnation(1),
        at,
        customer: "lakeshore".into(),
        revision: Revision(revision),
    }
}

fn problem(writes: &[ContractWrite], decisions: &[ContractDecision]) -> String {
    check_contracts(writes, decisions).expect_err("the history is impossible").problem
}

/// Guards against a checker that rejects correct runs.
#[test]
fn possible_histories_of_contracts_are_accepted() {
    let removal = WriteResult::Accepted { revision: Revision(9) };
    let writes = [
        accepted(0, 5, 1, 10),
        // Concurrent with the first write, so it may read the state before or after it.
        conflict(3, 5, 2, 4),
        // There was no response, but the change was made as revision 6.
        write(5, Some(600), 11, None),
        accepted(6, 7, 12, 20),
        conflict(5, 7, 15, 25),
        write(7, None, 30, Some((35, removal))),
        accepted(0, 12, 40, 50),
    ];
    // An instance may have no contract, then an older one, while a removal is in progress.
    let decisions = [
        decided(3, 0),
        decided(9, 5),
        decided(13, 6),
        decided(21, 7),
        decided(36, 0),
        decided(60, 12),
    ];
    check_contracts(&writes, &decisions).unwrap();
    check_contracts(
        &[accepted(0, 5, 1, 10), write(5, None, 11, None)],
        &[decided(12, 0), decided(13, 5)],
    )
    .unwrap();
}

/// Guards against a checker that accepts lost updates, stale reads or reverted changes.
#[test]
fn impossible_histories_of_contracts_are_rejected() {
    let lost = [accepted(0, 5, 1, 2), accepted(0, 6, 3, 4)];
    assert!(problem(&lost, &[]).contains("replaced 5 but expected 0"));

    let twice = [accepted(0, 5, 1, 9), accepted(0, 5, 1, 9)];
    assert!(problem(&twice, &[]).contains("two writes were accepted"));

    let order = [accepted(0, 5, 10, 12), accepted(5, 6, 1, 3)];
    assert!(problem(&order, &[]).contains("was current before 5 was"));

    let stale = [accepted(0, 5, 1, 2), accepted(5, 6, 3, 4), conflict(2, 5, 10, 11)];
    assert!(problem(&stale, &[]).contains("revision 6 was current before 5 was"));

    let spurious = [accepted(0, 5, 1, 2), conflict(5, 5, 3, 4)];
    assert!(problem(&spurious, &[]).contains("found it and still conflicted"));

    let invented = [accepted(0, 5, 1, 2), conflict(5, 8, 3, 4)];
    assert!(problem(&invented, &[]).contains("nothing wrote it"));

    let two = [accepted(0, 5, 1, 2), accepted(5, 6, 3, 10)];
    assert!(problem(&two, &[decided(11, 5)]).contains("after 6 was reported"));
    assert!(problem(&two, &[decided(5, 6), decided(6, 5)]).contains("went back from 6 to 5"));
    assert!(problem(&two, &[decided(2, 6)]).contains("before it was written"));
    let unreported = [accepted(0, 5, 1, 20)];
    assert!(
        problem(&unreported, &[decided(5, 5), decided(6, 0)]).contains("went back from 5 to 0")
    );
}

fn called(attempt: u64, at_most_once: bool) -> OnceEvent {
    OnceEvent::Called { attempt, key: "lakeshore/1".into(), at_most_once, at: attempt }
}

fn run_started(attempt: u64, at: u64) -> OnceEvent {
    OnceEvent::RunStarted { attempt, digest: attempt * 10, at }
}

fn replied(attempt: u64, reply: OnceReply, at: u64) -> OnceEvent {
    OnceEvent::Replied { attempt, reply, at }
}

/// Guards against a checker that rejects correct runs: an unmarked key may run again.
#[test]
fn possible_histories_of_keys_are_accepted() {
    let stored = [
        called(1, true),
        run_started(1, 5),
        replied(1, OnceReply::Answered(10), 6),
        called(2, true),
        replied(2, OnceReply::Answered(10), 8),
    ];
    check_once(&stored).unwrap();
    let again = [
        called(1, false),
        run_started(1, 5),
        replied(1, OnceReply::Unknown, 6),
        called(2, true),
        replied(2, OnceReply::Unknown, 8),
        called(3, false),
        run_started(3, 9),
    ];
    check_once(&again).unwrap();
}

/// Guards against a checker that accepts a second run, a false "not run" or a response that no run
/// of the key produced.
#[test]
fn impossible_histories_of_keys_are_rejected() {
    let problem = |events: &[OnceEvent]| check_once(events).unwrap_err().problem;
    let twice = [called(1, true), called(2, true), run_started(1, 5), run_started(2, 9)];
    assert!(problem(&twice).contains("must run at most once"));
    let mixed = [called(1, false), called(2, true), run_started(1, 5), run_started(2, 9)];
    assert!(problem(&mixed).contains("must run at most once"));
    let not_run = [called(1, false), replied(1, OnceReply::NotRun, 3), run_started(1, 5)];
    assert!(problem(&not_run).contains("answered \"not run\""));
    let foreign = [called(1, false), run_started(1, 5), replied(1, OnceReply::Answered(20), 6)];
    assert!(problem(&foreign).contains("no run had produced"));
    let early = [called(1, false), replied(1, OnceReply::Answered(10), 4), run_started(1, 5)];
    assert!(problem(&early).contains("no run had produced"));
}
