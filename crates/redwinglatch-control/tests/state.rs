//! Tests of the control state machine, command by command.

mod support;

use redwinglatch_control::{
    CommandOutcome, ConfigurationCursor, ControlCommand, ControlState, OnceOutcome, RestoreError,
    StateLimits, validate_contract,
};
use redwinglatch_core::{AdapterRule, prelude::*};
use support::{accept, apply_contract, contract, remove_contract};

/// Guards against a resent change that gets another result, or is made twice.
#[test]
fn a_resent_change_gets_its_first_result() {
    let mut state = ControlState::new();
    let first = apply_contract("a", 0, contract("lakeshore", 10));
    accept(&mut state, 1, &first);
    let late = apply_contract("b", 0, contract("lakeshore", 20));
    let conflict = CommandOutcome::Conflict {
        current_revision: Revision(1),
        current: Some(contract("lakeshore", 10)),
    };
    assert_eq!(state.apply(2, &late), conflict);
    accept(&mut state, 3, &apply_contract("c", 1, contract("lakeshore", 30)));
    let restored = ControlState::restore(&state.snapshot()).unwrap();
    for mut state in [state, restored] {
        assert_eq!(state.apply(4, &first), CommandOutcome::Accepted { revision: Revision(1) });
        assert_eq!(state.apply(5, &late), conflict);
        let reused = apply_contract("a", 0, contract("lakeshore", 11));
        assert_eq!(state.apply(6, &reused), CommandOutcome::ChangeIdReused);
        assert_eq!(state.contract("lakeshore").unwrap().0, Revision(3));
        assert_eq!(state.apply(6, &reused), CommandOutcome::AlreadyApplied);
    }
}

/// Guards against unbounded change ids and histories.
#[test]
fn change_ids_and_histories_are_bounded() {
    let limits = StateLimits { change_ids: 3, history_entries: 2, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    for index in 1..=5 {
        let change = apply_contract(&format!("c{index}"), index - 1, contract("third", 10));
        accept(&mut state, index, &change);
    }
    let history: Vec<u64> = state.contract_history("third").map(|entry| entry.revision.0).collect();
    assert_eq!(history, [4, 5]);
    // The oldest change id is forgotten, so the expected revision decides. A stored change id
    // expires after its retention.
    let forgotten = apply_contract("c2", 1, contract("third", 10));
    assert!(matches!(state.apply(6, &forgotten), CommandOutcome::Conflict { .. }));
    let kept = apply_contract("c5", 4, contract("third", 10));
    assert_eq!(state.apply(7, &kept), CommandOutcome::Accepted { revision: Revision(5) });
    let _ = state.apply(8, &ControlCommand::ExpireOnce { now_wall_s: 100 + 7 * 24 * 3_600 });
    assert!(matches!(state.apply(9, &kept), CommandOutcome::Conflict { .. }));
}

/// Guards against accepting contracts that can't be enforced, and against errors without a
/// correction.
#[test]
fn an_invalid_contract_is_rejected_with_field_and_remedy() {
    type Edit = fn(&mut Contract);
    let cases: [(&str, &str, Edit); 9] = [
        ("request_rate_per_s", "from 1 to", |c| c.request_rate_per_s = 0),
        ("concurrent_requests", "from 1 to", |c| c.concurrent_requests = 0),
        ("default_priority", "from 0 to 9", |c| c.default_priority = 10),
        ("default_deadline_ms", "from 1 to 60000", |c| c.default_deadline_ms = 60_001),
        ("load_share_permille", "from 0 to 1000", |c| c.load_share_permille = 1_001),
        ("customer", "write `lakeshore`", |c| c.customer = "other".into()),
        ("services[0]", "without spaces", |c| c.services = vec!["a b".into()]),
        ("adapters", "at least one", |c| c.services.clear()),
        ("adapters[0].min_version", "min_version <=", |c| {
            c.adapters = vec![AdapterRule { adapter: "a*".into(), min_version: 3, max_version: 2 }];
        }),
    ];
    for (field, remedy, edit) in cases {
        let mut contract = contract("lakeshore", 10);
        edit(&mut contract);
        let error = validate_contract("lakeshore", &contract).unwrap_err();
        assert_eq!(&*error.field, field);
        assert!(error.remedy.contains(remedy), "{field}: {}", error.remedy);
        let outcome = ControlState::new().apply(1, &apply_contract("a", 0, contract));
        let expected = if field == "customer" {
            CommandOutcome::Accepted { revision: Revision(1) }
        } else {
            CommandOutcome::Invalid(error)
        };
        assert_eq!(outcome, expected);
    }
    validate_contract("lakeshore", &contract("lakeshore", 10)).unwrap();
}

/// Guards against deltas that lack a removal or a change.
#[test]
fn updates_contain_each_changed_customer_once_or_everything() {
    let limits = StateLimits { removed_customers: 1, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    for (index, name) in [(1, "a"), (2, "b"), (3, "c")] {
        accept(&mut state, index, &apply_contract(name, 0, contract(name, 10)));
    }
    accept(&mut state, 4, &apply_contract("a2", 1, contract("a", 20)));
    accept(&mut state, 5, &remove_contract("b2", "b", 2));
    let changes = |state: &ControlState, since: u64| {
        let cursor = ConfigurationCursor::complete(Revision(since));
        let update = state.update_since(cursor)?;
        let changes = update.changes.iter();
        let names = changes.map(|change| (change.customer.to_string(), change.contract.is_some()));
        Some((update.is_full, names.collect::<Vec<_>>()))
    };
    let expected = vec![("a".to_owned(), true), ("b".to_owned(), false)];
    assert_eq!(changes(&state, 3), Some((false, expected)));
    assert_eq!(changes(&state, 5), None);
    // The removal of `b` is forgotten, so an instance that may still have it gets a full copy.
    accept(&mut state, 6, &remove_contract("c2", "c", 3));
    assert_eq!(changes(&state, 3), Some((true, vec![("a".to_owned(), true)])));
    assert_eq!(changes(&state, 5), Some((false, vec![("c".to_owned(), false)])));
}

/// Guards against restoring a damaged snapshot, or one of another format, as an empty state.
#[test]
fn a_damaged_snapshot_is_rejected() {
    let snapshot = ControlState::new().snapshot();
    assert!(matches!(ControlState::restore(&[]), Err(RestoreError::Damaged(_))));
    assert!(matches!(ControlState::restore(&[9, 0]), Err(RestoreError::Version { found: 9 })));
    let short = &snapshot[..snapshot.len() - 1];
    assert!(matches!(ControlState::restore(short), Err(RestoreError::Damaged(_))));
}

fn claim(key: &str, incarnation: u64, request: u64, at_most_once: bool) -> ControlCommand {
    ControlCommand::ClaimOnce {
        key: key.into(),
        customer: "lakeshore".into(),
        request_digest: 7,
        instance: InstanceId(1),
        incarnation: Incarnation(incarnation),
        request: RequestId(request),
        at_most_once,
        now_wall_s: 1_000,
    }
}

fn finish(key: &str, claim: u64, incarnation: u64, outcome: OnceOutcome) -> ControlCommand {
    ControlCommand::FinishOnce {
        key: key.into(),
        customer: "lakeshore".into(),
        claim,
        incarnation: Incarnation(incarnation),
        outcome,
    }
}

fn answered(body: &[u8]) -> OnceOutcome {
    OnceOutcome::Answered { status: 200, body: body.into() }
}

fn apply_all(state: &mut ControlState, steps: &[(ControlCommand, CommandOutcome)]) {
    for (command, expected) in steps {
        let index = state.applied() + 1;
        assert_eq!(state.apply(index, command), *expected, "entry {index}: {command:?}");
    }
}

/// Guards against a second run of a marked key after a lost instance, a late or repeated finish
/// or a duplicated claim.
#[test]
fn a_marked_key_is_granted_again_only_if_it_is_known_not_to_have_run() {
    let lost = ControlCommand::EndClaims { instance: InstanceId(1), incarnation: Incarnation(1) };
    let mut state = ControlState::new();
    apply_all(
        &mut state,
        &[
            (claim("a", 1, 1, true), CommandOutcome::Granted { claim: 1 }),
            (claim("a", 1, 1, true), CommandOutcome::Granted { claim: 1 }),
            (claim("a", 2, 1, true), CommandOutcome::Running { instance: InstanceId(1) }),
            (finish("a", 1, 1, OnceOutcome::NotRun), CommandOutcome::Finished),
            // A duplicate of the ended claim must not occupy the key.
            (claim("a", 1, 1, true), CommandOutcome::Superseded),
            (claim("a", 2, 2, true), CommandOutcome::Granted { claim: 6 }),
            (finish("a", 1, 1, OnceOutcome::NotRun), CommandOutcome::Superseded),
            (finish("a", 6, 2, OnceOutcome::Unknown), CommandOutcome::Finished),
            // The claimant has already finished the claim; a second outcome must not release the
            // key.
            (finish("a", 6, 2, OnceOutcome::NotRun), CommandOutcome::Superseded),
            (claim("a", 3, 1, true), CommandOutcome::Unknown),
            (claim("b", 1, 2, true), CommandOutcome::Granted { claim: 11 }),
            (claim("c", 1, 3, false), CommandOutcome::Granted { claim: 12 }),
            (lost, CommandOutcome::ClaimsEnded { unknown: 1, released: 1 }),
            (claim("b", 2, 3, false), CommandOutcome::Unknown),
            (claim("c", 2, 4, true), CommandOutcome::Unknown),
            (claim("c", 2, 5, false), CommandOutcome::Granted { claim: 16 }),
            // The lost instance finishes late: superseded for the key that was granted again, but
            // still the only run of the other one.
            (finish("c", 12, 1, answered(b"old")), CommandOutcome::Superseded),
            (finish("b", 11, 1, answered(b"late")), CommandOutcome::Finished),
            (
                claim("b", 2, 6, true),
                CommandOutcome::Answered { status: 200, body: b"late"[..].into() },
            ),
            // An earlier claim of `c` may have run, so "not run" for the second claim doesn't
            // release the key.
            (finish("c", 16, 2, OnceOutcome::NotRun), CommandOutcome::Finished),
            (claim("c", 3, 1, true), CommandOutcome::Unknown),
        ],
    );
    assert_eq!(ControlState::restore(&state.snapshot()).unwrap(), state);
    assert_eq!(state.claimants().count(), 0);
}

/// Guards against unbounded records, and against records that expire early because of a slow clock.
#[test]
fn records_are_bounded_in_number_bytes_and_time() {
    let limits = StateLimits { once_records: 2, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    let big = vec![0; 64 * 1024 + 1];
    let other_digest = match claim("a", 1, 9, true) {
        ControlCommand::ClaimOnce { key, customer, instance, incarnation, request, .. } => {
            let (request_digest, at_most_once, now_wall_s) = (8, true, 1_000);
            ControlCommand::ClaimOnce {
                key,
                customer,
                request_digest,
                instance,
                incarnation,
                request,
                at_most_once,
                now_wall_s,
            }
        }
        other => panic!("{other:?} is not a claim"),
    };
    apply_all(
        &mut state,
        &[
            (
                ControlCommand::ExpireOnce { now_wall_s: 50_000 },
                CommandOutcome::Expired { records: 0 },
            ),
            (claim("a", 1, 1, true), CommandOutcome::Granted { claim: 2 }),
            (other_digest, CommandOutcome::KeyReused),
            (claim("b", 1, 2, false), CommandOutcome::Granted { claim: 4 }),
            (claim("c", 1, 3, false), CommandOutcome::Full),
            (finish("b", 4, 1, answered(&big)), CommandOutcome::FinishedWithoutBody),
            (claim("b", 1, 4, false), CommandOutcome::Unknown),
            (
                ControlCommand::ExpireOnce { now_wall_s: 50_000 + 86_399 },
                CommandOutcome::Expired { records: 0 },
            ),
            (
                ControlCommand::ExpireOnce { now_wall_s: 50_000 + 86_400 },
                CommandOutcome::Expired { records: 2 },
            ),
            (claim("c", 1, 3, false), CommandOutcome::Granted { claim: 10 }),
        ],
    );
    let limits = StateLimits { once_bytes: 400, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    apply_all(
        &mut state,
        &[
            (claim("a", 1, 1, true), CommandOutcome::Granted { claim: 1 }),
            (claim("b", 1, 2, true), CommandOutcome::Full),
            (finish("a", 1, 1, answered(&[0; 300])), CommandOutcome::FinishedWithoutBody),
        ],
    );
    assert!(state.once_usage().bytes <= 400);
}

/// Guards against two coordinators in one epoch.
#[test]
fn an_assignment_with_an_old_epoch_is_stale() {
    let assign = |incarnation, epoch| ControlCommand::AssignCoordinator {
        cell: CellId(1),
        instance: InstanceId(1),
        incarnation: Incarnation(incarnation),
        expected_epoch: Epoch(epoch),
    };
    let mut state = ControlState::new();
    apply_all(
        &mut state,
        &[
            (assign(1, 0), CommandOutcome::Assigned { epoch: Epoch(1) }),
            (assign(2, 0), CommandOutcome::Stale { epoch: Epoch(1) }),
            (assign(2, 1), CommandOutcome::Assigned { epoch: Epoch(2) }),
        ],
    );
    let coordinator = state.coordinator(CellId(1)).unwrap();
    assert_eq!((coordinator.epoch, coordinator.incarnation), (Epoch(2), Incarnation(2)));
}
