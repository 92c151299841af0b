//! Simulation of a random schedule: its state and its steps.

use std::collections::{BTreeMap, VecDeque};

use redwinglatch_control::{
    CommandOutcome, ControlCommand, ControlState, InstanceProfile, LeaderState, LeaseHolder,
    LeaseSettings, Renewal, RenewalClient, ReplyResult, Share, StateLimits,
    history::{ContractDecision, ContractWrite, OnceEvent, WriteResult},
};
use redwinglatch_core::prelude::*;

use crate::{
    coverage::Coverage,
    network::{CUSTOMERS, Clock, Event, Process},
};

pub(crate) const CELLS: u16 = 2;

/// Rates of faults and changes in a schedule.
struct FaultRates {
    drop_percent: u32,
    slow_percent: u32,
    change_every_ms: u64,
    leader_every_ms: u64,
}

pub(crate) struct Leader {
    pub(crate) clock: Clock,
    pub(crate) state: LeaderState,
}

pub(crate) struct Simulation {
    pub(crate) rng: fastrand::Rng,
    pub(crate) now_ms: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    settings: LeaseSettings,
    faults: bool,
    fault_rates: FaultRates,
    /// Index of the last committed command. Two replicas apply each command, and one of them
    /// restarts from snapshots.
    index: u64,
    pub(crate) control: ControlState,
    pub(crate) replica: ControlState,
    limits: StateLimits,
    term: u64,
    pub(crate) leader: Option<Leader>,
    pub(crate) processes: Vec<Process>,
    pub(crate) writes: Vec<ContractWrite>,
    change_commands: Vec<ControlCommand>,
    pub(crate) reported: [Revision; CUSTOMERS.len()],
    pub(crate) totals: [Vec<(Revision, Share)>; CUSTOMERS.len()],
    pub(crate) decisions: Vec<ContractDecision>,
    pub(crate) coordinators_by_epoch: BTreeMap<(u16, Epoch), LeaseHolder>,
    pub(crate) once: Vec<OnceEvent>,
    pub(crate) next_attempt: u64,
    pub(crate) coverage: Coverage,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limits = StateLimits {
            removed_customers: rng.usize(0..3),
            update_bytes: [50, 1_000_000][rng.usize(0..2)],
            ..StateLimits::default()
        };
        let fault_rates = FaultRates {
            drop_percent: [2, 10, 30][rng.usize(0..3)],
            slow_percent: [2, 10, 40][rng.usize(0..3)],
            change_every_ms: [300, 2_500][rng.usize(0..2)],
            leader_every_ms: [4_000, 9_000, 25_000][rng.usize(0..3)],
        };
        let mut simulation = Simulation {
            now_ms: 0,
            fault_rates,
            queue: BTreeMap::new(),
            next_event: 0,
            settings: LeaseSettings::default(),
            faults: true,
            index: 0,
            control: ControlState::with_limits(limits),
            replica: ControlState::with_limits(limits),
            limits,
            term: 0,
            leader: None,
            processes: Vec::new(),
            writes: Vec::new(),
            change_commands: Vec::new(),
            reported: [Revision(0); CUSTOMERS.len()],
            totals: Default::default(),
            decisions: Vec::new(),
            coordinators_by_epoch: BTreeMap::new(),
            once: Vec::new(),
            next_attempt: 0,
            coverage: Coverage::default(),
            rng,
        };
        for instance in 1..=simulation.rng.u32(3..=5) {
            simulation.after(0, Event::Start(InstanceId(instance)));
        }
        for event in [Event::Elected, Event::LeaderTick, Event::NewChange, Event::CallerRequest] {
            simulation.after(0, event);
        }
        simulation.after(2_000, Event::Fault);
        simulation.after(3_000, Event::LeaderChange);
        simulation
    }

    pub(crate) fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    /// Sends an event over a network that drops, delays, reorders and duplicates.
    pub(crate) fn send(&mut self, process: usize, event: Event) {
        if !self.faults {
            let delay_ms = self.rng.u64(1..10);
            return self.after(delay_ms, event);
        }
        if self.processes[process].partitioned_until_ms > self.now_ms
            || self.rng.u32(0..100) < self.fault_rates.drop_percent
        {
            return;
        }
        if self.rng.u32(0..10) == 0 {
            let delay_ms = self.delay_ms();
            if let Some(copy) = duplicate(&event) {
                self.after(delay_ms, copy);
            }
        }
        let delay_ms = self.delay_ms();
        self.after(delay_ms, event);
    }

    fn delay_ms(&mut self) -> u64 {
        match self.rng.u32(0..100) {
            0..2 => self.rng.u64(1..9_000),
            slow if slow < 2 + self.fault_rates.slow_percent => self.rng.u64(1..2_500),
            _ => self.rng.u64(1..40),
        }
    }

    pub(crate) fn run_with_faults(&mut self, duration_ms: u64) {
        self.run_until(duration_ms);
    }

    pub(crate) fn run_without_faults(&mut self, duration_ms: u64) {
        self.faults = false;
        for process in &mut self.processes {
            process.paused_until_ms = process.paused_until_ms.min(self.now_ms);
            process.partitioned_until_ms = 0;
        }
        self.run_until(self.now_ms + duration_ms);
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(((at_ms, _), event)) = self.queue.pop_first() {
            if at_ms >= end_ms {
                self.now_ms = end_ms;
                self.after(at_ms - end_ms, event);
                return;
            }
            self.now_ms = at_ms;
            self.step(event);
            self.check_invariants();
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Renew(process) => {
                self.after(1_000, Event::Renew(process));
                self.at_process(process, Event::RenewNow(process));
            }
            Event::ToProcess(process, _)
            | Event::RenewNow(process)
            | Event::Outcome(process, ..)
            | Event::RetryProposal(process, _)
            | Event::FinishRun(process, _) => self.at_process(process, event),
            Event::ToLeader(renewal) => {
                let process =
                    self.processes.iter().position(|p| p.incarnation == renewal.incarnation);
                let Some(leader) = &mut self.leader else { return };
                let now_ms = leader.clock.at(self.now_ms);
                if let (Some(reply), Some(process)) =
                    (leader.state.renew(now_ms, &self.control, &renewal), process)
                {
                    let update = reply.configuration.as_ref();
                    self.coverage.full_copies += u64::from(update.is_some_and(|u| u.is_full));
                    self.coverage.staged +=
                        u64::from(update.is_some_and(|u| u.to < reply.latest_revision));
                    self.send(process, Event::ToProcess(process, reply));
                }
                self.report();
            }
            Event::Propose(process, attempt, command) => {
                if self.leader.is_some() {
                    let outcome = self.commit(&command);
                    self.send(process, Event::Outcome(process, attempt, outcome));
                }
            }
            Event::CallerRequest => {
                let delay_ms = self.rng.u64(100..600);
                self.after(delay_ms, Event::CallerRequest);
                self.start_call();
            }
            Event::NewChange => {
                let delay_ms = self.rng.u64(100..self.fault_rates.change_every_ms);
                self.after(delay_ms, Event::NewChange);
                if self.faults {
                    self.new_change();
                }
            }
            Event::SendChange(number) => self.send_change(number),
            Event::LeaderTick => {
                self.after(200, Event::LeaderTick);
                self.leader_tick();
            }
            Event::LeaderChange => {
                let delay_ms = self.rng.u64(500..self.fault_rates.leader_every_ms);
                self.after(delay_ms, Event::LeaderChange);
                if self.faults && self.leader.is_some() {
                    self.leader = None;
                    let delay_ms = self.rng.u64(0..2_500);
                    self.after(delay_ms, Event::Elected);
                }
            }
            Event::Elected => {
                self.term += 1;
                let clock = Clock::random(&mut self.rng);
                let state = LeaderState::new(self.settings, self.term, clock.at(self.now_ms));
                self.leader = Some(Leader { clock, state });
                self.coverage.leaders += 1;
            }
            Event::Fault => {
                let delay_ms = self.rng.u64(300..4_000);
                self.after(delay_ms, Event::Fault);
                if self.faults {
                    self.fault();
                }
            }
            Event::Start(instance) => self.start(instance),
        }
    }

    fn start(&mut self, instance: InstanceId) {
        let incarnation = Incarnation(self.rng.u64(..));
        let profile = InstanceProfile { addresses: Vec::new(), data_centre: "hall-a".into() };
        self.processes.push(Process {
            instance,
            incarnation,
            client: RenewalClient::new(instance, incarnation, self.settings, profile),
            clock: Clock::random(&mut self.rng),
            alive: true,
            paused_until_ms: 0,
            partitioned_until_ms: 0,
            inbox: VecDeque::new(),
            in_use: [0; CUSTOMERS.len()],
            demand: [0; CUSTOMERS.len()],
            last_revision: Revision(0),
            last_contracts: [Revision(0); CUSTOMERS.len()],
            attempts: BTreeMap::new(),
        });
        self.after(0, Event::Renew(self.processes.len() - 1));
    }

    fn fault(&mut self) {
        let index = self.rng.usize(0..self.processes.len());
        let (now_ms, length_ms) = (self.now_ms, self.rng.u64(100..9_000));
        let process = &mut self.processes[index];
        if !process.alive {
            return;
        }
        let instance = process.instance;
        match self.rng.u32(0..10) {
            0..3 => process.paused_until_ms = now_ms + length_ms,
            3..6 => process.partitioned_until_ms = now_ms + length_ms,
            6..9 => {
                process.alive = false;
                self.after(length_ms / 2, Event::Start(instance));
            }
            // A second process with the same instance id, by mistake.
            _ => self.after(0, Event::Start(instance)),
        }
    }

    fn at_process(&mut self, index: usize, event: Event) {
        let process = &mut self.processes[index];
        if !process.alive {
            return;
        }
        if process.paused_until_ms > self.now_ms {
            let resumed_after_ms = process.paused_until_ms - self.now_ms;
            process.inbox.push_back(event);
            if process.inbox.len() == 1 {
                self.after(resumed_after_ms, Event::RenewNow(index));
            }
            return;
        }
        while let Some(earlier) = self.processes[index].inbox.pop_front() {
            self.handle(index, earlier);
        }
        self.handle(index, event);
        self.serve(index);
    }

    fn handle(&mut self, index: usize, event: Event) {
        match event {
            Event::RenewNow(_) => {
                let renewal =
                    self.processes[index].renewal(self.now_ms, self.faults, &mut self.rng);
                self.send(index, Event::ToLeader(renewal));
            }
            Event::ToProcess(_, reply) => {
                let result = self.processes[index].client.apply_reply(&reply);
                match result {
                    ReplyResult::Applied { renew_now: true, .. } => {
                        self.after(5, Event::RenewNow(index));
                    }
                    ReplyResult::Superseded => {
                        self.processes[index].alive = false;
                        self.coverage.superseded += 1;
                    }
                    _ => {}
                }
            }
            Event::Outcome(_, attempt, outcome) => self.apply_outcome(index, attempt, &outcome),
            Event::RetryProposal(_, attempt) => self.propose_attempt(index, attempt),
            Event::FinishRun(_, attempt) => self.finish_run(index, attempt),
            other => panic!("{other:?} is not for a process"),
        }
    }

    /// Starts and ends requests within the usable shares, and sometimes records a decision under a
    /// contract.
    fn serve(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let now_ms = process.clock.at(self.now_ms);
        if !process.client.may_serve(now_ms) {
            return;
        }
        for (customer, name) in CUSTOMERS.iter().enumerate() {
            let usable = process.client.usable_share(now_ms, name).concurrent_requests;
            let in_use = &mut process.in_use[customer];
            if *in_use < usable && self.rng.bool() {
                *in_use += 1;
                self.coverage.shares_in_use += 1;
            } else if *in_use > 0 && self.rng.bool() {
                *in_use -= 1;
            }
        }
        if self.rng.u32(0..4) == 0 {
            let customer = CUSTOMERS[self.rng.usize(0..CUSTOMERS.len())];
            let contract = process.client.configuration().contract(customer);
            self.decisions.push(ContractDecision {
                instance: process.instance,
                incarnation: process.incarnation,
                at: self.now_ms,
                customer: customer.into(),
                revision: contract.map_or(Revision(0), |contract| contract.revision),
            });
        }
    }

    /// Appends a command to the log and applies it on both replicas.
    fn commit(&mut self, command: &ControlCommand) -> CommandOutcome {
        self.index += 1;
        let outcome = self.control.apply(self.index, command);
        assert_eq!(self.replica.apply(self.index, command), outcome, "replicas differ");
        if self.rng.u32(0..20) == 0 {
            let snapshot = self.replica.snapshot();
            assert_eq!(snapshot, self.control.snapshot(), "snapshots differ");
            self.replica = ControlState::restore_with_limits(&snapshot, self.limits).unwrap();
        }
        if let CommandOutcome::Accepted { revision } = outcome
            && revision == Revision(self.index)
        {
            let (ControlCommand::ApplyContract { customer, .. }
            | ControlCommand::RemoveContract { customer, .. }) = command
            else {
                panic!("{command:?} is not a contract change")
            };
            let total = self.control.contract(customer);
            let total = total.map_or(Share::NONE, |(_, contract)| Share::whole(contract));
            let customer = CUSTOMERS.iter().position(|name| **name == **customer).unwrap();
            self.totals[customer].push((revision, total));
        }
        outcome
    }

    fn new_change(&mut self) {
        let customer = CUSTOMERS[self.rng.usize(0..CUSTOMERS.len())];
        let current = self.control.contract(customer).map_or(Revision(0), |(current, _)| current);
        let expected_revision = match self.rng.u32(0..10) {
            0 => Revision(self.rng.u64(0..=self.index)),
            _ => current,
        };
        let number = self.writes.len();
        let change_id: Box<str> = format!("change-{number}").into();
        let customer_name: Box<str> = customer.into();
        let removal = self.rng.u32(0..6) == 0;
        let now_wall_s = 1_000_000 + self.now_ms / 1_000;
        let contract = self.random_contract(customer);
        self.change_commands.push(if removal {
            let customer = customer_name.clone();
            ControlCommand::RemoveContract { change_id, customer, expected_revision, now_wall_s }
        } else {
            ControlCommand::ApplyContract {
                change_id,
                customer: customer_name.clone(),
                expected_revision,
                contract,
                now_wall_s,
            }
        });
        self.writes.push(ContractWrite {
            customer: customer_name,
            expected: expected_revision,
            content_digest: (!removal).then_some(number as u64),
            start: self.now_ms,
            end: None,
        });
        // Two operators may send at the same moment.
        let delay_ms = self.rng.u64(0..300);
        self.after(delay_ms, Event::SendChange(number));
    }

    fn random_contract(&mut self, customer: &str) -> Contract {
        Contract {
            customer: customer.into(),
            adapters: Vec::new(),
            services: vec!["portal-app".into()],
            request_rate_per_s: self.rng.u32(1..200),
            concurrent_requests: self.rng.u32(1..60),
            token_rate_per_s: self.rng.u32(1..10_000),
            load_share_permille: 100,
            default_priority: 4,
            max_priority: 9,
            default_deadline_ms: 10_000,
            max_deadline_ms: 60_000,
        }
    }

    fn send_change(&mut self, number: usize) {
        if self.writes[number].end.is_some() {
            return;
        }
        self.after(2_000, Event::SendChange(number));
        let lost = self.faults && self.rng.u32(0..5) == 0;
        if self.leader.is_none() || lost {
            return;
        }
        let command = self.change_commands[number].clone();
        let outcome = self.commit(&command);
        match outcome {
            CommandOutcome::Accepted { revision } => {
                let Some(leader) = &mut self.leader else { return };
                leader.state.pending_mut().cancel(number as u64);
                leader.state.pending_mut().add(revision, number as u64);
            }
            CommandOutcome::Conflict { current_revision, .. } => {
                let result = WriteResult::Conflict { current_revision };
                self.writes[number].end = Some((self.now_ms, result));
                self.coverage.conflicts += 1;
            }
            other => panic!("a valid change got {other:?}"),
        }
    }

    fn report(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        let now_ms = leader.clock.at(self.now_ms);
        for (revision, number) in leader.state.take_reportable(now_ms) {
            let write = &mut self.writes[number as usize];
            write.end = Some((self.now_ms, WriteResult::Accepted { revision }));
            let customer = CUSTOMERS.iter().position(|name| **name == *write.customer).unwrap();
            self.reported[customer] = self.reported[customer].max(revision);
            self.coverage.reported += 1;
        }
    }

    fn leader_tick(&mut self) {
        let Some(leader) = &self.leader else { return };
        let now_ms = leader.clock.at(self.now_ms);
        let mut commands = Vec::new();
        for holder in leader.state.expired_claimants(now_ms, &self.control) {
            let LeaseHolder { instance, incarnation } = holder;
            commands.push(ControlCommand::EndClaims { instance, incarnation });
            self.coverage.ended_leases += 1;
        }
        let live: Vec<LeaseHolder> = leader.state.leases().holders(now_ms).collect();
        for cell in (0..CELLS).map(CellId) {
            let current = self.control.coordinator(cell).copied();
            let is_expired = current.is_none_or(|current| {
                let (instance, incarnation) = (current.instance, current.incarnation);
                leader.state.leases().has_expired(now_ms, LeaseHolder { instance, incarnation })
            });
            let is_moved = self.faults && self.rng.u32(0..40) == 0;
            if live.is_empty() || !(is_expired || is_moved) {
                continue;
            }
            let next = live[self.rng.usize(0..live.len())];
            commands.push(ControlCommand::AssignCoordinator {
                cell,
                instance: next.instance,
                incarnation: next.incarnation,
                expected_epoch: current.map_or(Epoch(0), |current| current.epoch),
            });
            self.coverage.coordinators += 1;
        }
        if self.rng.u32(0..50) == 0 {
            commands
                .push(ControlCommand::ExpireOnce { now_wall_s: 1_000_000 + self.now_ms / 1_000 });
        }
        for command in commands {
            self.commit(&command);
        }
        self.report();
    }
}

impl Process {
    fn renewal(&mut self, now_ms: u64, changes: bool, rng: &mut fastrand::Rng) -> Renewal {
        for (customer, name) in CUSTOMERS.iter().enumerate() {
            if changes && rng.u32(0..5) == 0 {
                self.demand[customer] = [0, 1, 5, 30, 100][rng.usize(0..5)];
            }
            let demand = Share {
                request_rate_milli: self.demand[customer] * 700,
                concurrent_requests: self.demand[customer],
                token_rate_per_s: self.demand[customer] * 90,
            };
            self.client.shares_mut().set_demand(name, demand);
            self.client.shares_mut().set_in_use(name, self.in_use[customer]);
        }
        self.client.next_renewal(self.clock.at(now_ms))
    }
}

fn duplicate(event: &Event) -> Option<Event> {
    match event {
        Event::ToLeader(renewal) => Some(Event::ToLeader(renewal.clone())),
        Event::ToProcess(process, reply) => Some(Event::ToProcess(*process, reply.clone())),
        Event::Propose(process, attempt, command) => {
            Some(Event::Propose(*process, *attempt, command.clone()))
        }
        Event::Outcome(process, attempt, outcome) => {
            Some(Event::Outcome(*process, *attempt, outcome.clone()))
        }
        _ => None,
    }
}
