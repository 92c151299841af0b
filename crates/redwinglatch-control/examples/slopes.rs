//! Prints the cost of the control state and of renewals at several sizes: bytes and microseconds
//! for each renewal, the cost of each command, and the size of snapshots, records and contracts.
//!
//! Run it with `cargo run --release -p redwinglatch-control --example slopes`.

use std::{hint::black_box, time::Duration};

use redwinglatch_control::{
    CommandOutcome, ControlCommand, ControlState, InstanceProfile, LeaderState, LeaseSettings,
    OnceOutcome, RenewalClient, Share,
};
use redwinglatch_core::{AdapterRule, prelude::*};
use tokio::time::Instant;

const CONTRACTS: u64 = 3_000;
const CHANGES_PER_DAY: u64 = 9_000;
const ACTIVE_CUSTOMERS: u64 = 20;

fn main() {
    sizes();
    commands();
    println!("\nrenewals ({CONTRACTS} contracts, one renewal a second for each instance)");
    println!(
        "instances  load      up B  down B  sum  leader us  send us  receive us  leader core %"
    );
    for instances in [3, 6, 12, 24, 380] {
        for load in [Load::Idle, Load::Changes, Load::Demand] {
            renewals(instances, load);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    /// Nothing changes.
    Idle,
    /// Contracts change 9,000 times a day.
    Changes,
    /// As `Changes`, and each instance also has 20 customers whose demand changes each second.
    Demand,
}

fn renewals(instances: u32, load: Load) {
    let mut state = ControlState::new();
    for index in 1..=CONTRACTS {
        apply(&mut state, &change(&customer(index), index, 0));
    }
    let settings = LeaseSettings::default();
    let mut leader = LeaderState::new(settings, 1, 0);
    let mut clients: Vec<RenewalClient> = (0..instances)
        .map(|id| {
            let address = format!("10.{}.{}.1:8080", id / 250, id % 250).into();
            let profile =
                InstanceProfile { addresses: vec![address], data_centre: "hall-a".into() };
            let incarnation = Incarnation((u64::from(id) << 40) | 0x7777_7777);
            RenewalClient::new(InstanceId(id), incarnation, settings, profile)
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let seconds = if instances > 100 { 100 } else { 1_000 };
    let (mut sent_bytes, mut received_bytes, mut count) = (0, 0, 0);
    let mut durations = [Duration::ZERO; 3];
    let mut next_change = CONTRACTS + 1;
    // The first 10 seconds contain the full copy, the instance list and the waiting period, so they
    // are not counted.
    for second in 0..seconds + 10 {
        let now_ms = second * 1_000;
        let is_change_due = second * CHANGES_PER_DAY / 86_400 > (next_change - CONTRACTS - 1);
        if load != Load::Idle && is_change_due {
            let name = customer(1 + rng.u64(0..CONTRACTS));
            let revision = state.contract(&name).map_or(Revision(0), |(revision, _)| revision);
            apply(&mut state, &change(&name, next_change, revision.0));
            next_change += 1;
        }
        for (id, client) in clients.iter_mut().enumerate() {
            if load == Load::Demand {
                for active in 0..ACTIVE_CUSTOMERS {
                    let name = customer(1 + (id as u64 * 7 + active * 131) % CONTRACTS);
                    client.shares_mut().set_demand(&name, random_demand(&mut rng));
                }
            }
            for _ in 0..4 {
                let started = Instant::now();
                let renewal = client.next_renewal(now_ms);
                let sent = Instant::now();
                let reply =
                    leader.renew(now_ms, &state, &renewal).expect("a new renewal gets a reply");
                let replied = Instant::now();
                let result = client.apply_reply(&reply);
                let received = Instant::now();
                if second >= 10 {
                    sent_bytes += postcard::to_allocvec(&renewal).map_or(0, |bytes| bytes.len());
                    received_bytes += postcard::to_allocvec(&reply).map_or(0, |bytes| bytes.len());
                    count += 1;
                    durations[0] += replied - sent;
                    durations[1] += sent - started;
                    durations[2] += received - replied;
                }
                if !matches!(
                    result,
                    redwinglatch_control::ReplyResult::Applied { renew_now: true, .. }
                ) {
                    break;
                }
            }
        }
    }
    let mean = |bytes: usize| bytes as f64 / f64::from(count);
    let micros = durations.map(|durations| durations.as_secs_f64() * 1e6 / f64::from(count));
    println!(
        "{instances:9}  {:8} {:5.0} {:7.0} {:4.0} {:10.2} {:8.2} {:11.2} {:14.3}",
        format!("{load:?}"),
        mean(sent_bytes),
        mean(received_bytes),
        mean(sent_bytes) + mean(received_bytes),
        micros[0],
        micros[1],
        micros[2],
        micros[0] * f64::from(instances) / 1e4,
    );
}

fn commands() {
    println!("\ncommand              mean us  (100,000 of each; answers of 2,000 bytes)");
    let mut state = ControlState::new();
    let total = 100_000;
    let print = |name: &str, started: Instant| {
        let micros = started.elapsed().as_secs_f64() * 1e6 / total as f64;
        println!("{name:20} {micros:7.2}");
    };
    let mut revisions = vec![0; CONTRACTS as usize];
    let changes: Vec<(usize, ControlCommand)> = (0..total)
        .map(|number| {
            let customer_index = number % revisions.len();
            let expected = std::mem::replace(&mut revisions[customer_index], number as u64 + 1);
            (customer_index, change(&customer(customer_index as u64), number as u64 + 1, expected))
        })
        .collect();
    let started = Instant::now();
    for (_, command) in &changes {
        apply(&mut state, command);
    }
    print("ApplyContract", started);
    let started = Instant::now();
    for epoch in 0..total as u64 {
        apply(&mut state, &assign(epoch));
    }
    print("AssignCoordinator", started);
    let claims: Vec<ControlCommand> = (0..total as u64).map(claim).collect();
    let started = Instant::now();
    let first = state.applied() + 1;
    for command in &claims {
        apply(&mut state, command);
    }
    print("ClaimOnce", started);
    let finishes: Vec<ControlCommand> =
        (0..total as u64 / 2).map(|n| finish(n, first + n)).collect();
    let started = Instant::now();
    for command in &finishes {
        apply(&mut state, command);
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / finishes.len() as f64;
    println!("{:20} {micros:7.2}", "FinishOnce");
    let started = Instant::now();
    let lost = ControlCommand::EndClaims { instance: InstanceId(1), incarnation: Incarnation(1) };
    apply(&mut state, &lost);
    let micros = started.elapsed().as_secs_f64() * 1e6;
    println!("{:20} {micros:7.0}  (one command, ends 50,000 claims)", "EndClaims");
    let started = Instant::now();
    apply(&mut state, &ControlCommand::ExpireOnce { now_wall_s: 100_000 });
    let micros = started.elapsed().as_secs_f64() * 1e6;
    println!("{:20} {micros:7.0}  (one command, removes 20,000 records)", "ExpireOnce");
}

fn sizes() {
    // All states are built before any is encoded, so that none reuses memory that another one has
    // freed.
    let mut states = Vec::new();
    let mut build = |name, count: u64, fill: &dyn Fn(&mut ControlState, u64)| {
        let before = resident_bytes();
        let mut state = ControlState::new();
        for number in 0..count {
            fill(&mut state, number);
        }
        states.push((name, count, resident_bytes().saturating_sub(before), state));
    };
    for count in [3_000, 12_000, 51_000] {
        build("contracts", count, &|state, number| {
            apply(state, &change(&customer(number), number, 0));
        });
    }
    // The limit of 256 MiB allows about 717,000 claims with such keys.
    for count in [10_000, 100_000, 700_000] {
        build("running claims", count, &|state, number| apply(state, &claim(number)));
    }
    build("answers of 2,000 B", 50_000, &|state, number| {
        apply(state, &claim(number));
        let index = state.applied();
        apply(state, &finish(number, index));
    });
    println!(
        "state                 count  snapshot B  B each  resident B  counted B  encode ms  decode ms"
    );
    for (name, count, resident, state) in states {
        let started = Instant::now();
        let snapshot = state.snapshot();
        let encoded_ms = started.elapsed().as_secs_f64() * 1e3;
        let started = Instant::now();
        black_box(ControlState::restore(&snapshot).expect("a new snapshot can be restored"));
        let decoded_ms = started.elapsed().as_secs_f64() * 1e3;
        let each = snapshot.len() as u64 / count;
        let counted = state.once_usage().bytes as u64 / count;
        println!(
            "{name:18} {count:8} {:11} {each:7} {:11} {counted:10} {encoded_ms:10.1} {decoded_ms:10.1}",
            snapshot.len(),
            resident / count,
        );
    }
}

fn apply(state: &mut ControlState, command: &ControlCommand) {
    let index = state.applied() + 1;
    let outcome = black_box(state.apply(index, command));
    assert!(
        !matches!(
            outcome,
            CommandOutcome::Conflict { .. } | CommandOutcome::Invalid(_) | CommandOutcome::Full
        ),
        "{command:?} got {outcome:?}"
    );
}

fn customer(number: u64) -> Box<str> {
    format!("customer-{number:05}").into()
}

fn change(name: &str, number: u64, expected: u64) -> ControlCommand {
    let rules = (0..4).map(|rule| AdapterRule {
        adapter: format!("{name}-adapter-{rule}-*").into(),
        min_version: 1,
        max_version: 9,
    });
    ControlCommand::ApplyContract {
        change_id: format!("change-{number:08}").into(),
        customer: name.into(),
        expected_revision: Revision(expected),
        contract: Contract {
            customer: name.into(),
            adapters: rules.collect(),
            services: vec!["dispatch-desk".into()],
            request_rate_per_s: 100 + (number % 50) as u32,
            concurrent_requests: 40,
            token_rate_per_s: 20_000,
            load_share_permille: 10,
            default_priority: 4,
            max_priority: 9,
            default_deadline_ms: 10_000,
            max_deadline_ms: 60_000,
        },
        now_wall_s: number,
    }
}

fn assign(epoch: u64) -> ControlCommand {
    ControlCommand::AssignCoordinator {
        cell: CellId(0),
        instance: InstanceId(1),
        incarnation: Incarnation(epoch),
        expected_epoch: Epoch(epoch),
    }
}

fn key(number: u64) -> Box<str> {
    format!("0198f7c2-7d1e-7a40-9c1b-{number:012x}").into()
}

fn claim(number: u64) -> ControlCommand {
    ControlCommand::ClaimOnce {
        key: key(number),
        customer: customer(number % CONTRACTS),
        request_digest: number,
        instance: InstanceId(1),
        incarnation: Incarnation(1),
        request: RequestId(number),
        at_most_once: true,
        now_wall_s: 1_000,
    }
}

fn finish(number: u64, claim: u64) -> ControlCommand {
    ControlCommand::FinishOnce {
        key: key(number),
        customer: customer(number % CONTRACTS),
        claim,
        incarnation: Incarnation(1),
        outcome: OnceOutcome::Answered { status: 200, body: vec![7; 2_000].into() },
    }
}

fn random_demand(rng: &mut fastrand::Rng) -> Share {
    let requests = rng.u64(0..6);
    Share {
        request_rate_milli: requests * 1_000,
        concurrent_requests: requests,
        token_rate_per_s: requests * 200,
    }
}

/// Returns the resident memory of this process as reported by the kernel, or 0 if it can't be read.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}
