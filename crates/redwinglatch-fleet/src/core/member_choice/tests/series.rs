//! Seeded series of joins, ends, lost disks, cuts and suspensions, within the limits of what a deployment tolerates.

use super::*;

const SEEDS: std::ops::Range<u64> = 0..400;
/// Events, or groups of events at one moment, of a series.
const STEPS: usize = 25;
/// Time after which a process that has come, or whose successor has come, no longer counts as lost.
const CATCH_UP_MS: u64 = 4_000;
/// Time after which losses beside a cut are made good.
const RECOVERY_MS: u64 = 12_000;
const TICK_MS: u64 = 50;
/// Time without a leader before the next one is elected, at the longest.
const ELECTION_MS: u64 = 1_600;
/// Silence after which a leader takes a member for unresponsive.
const SILENCE_MS: u64 = 1_000;
/// Time that a new process takes to get the log, and that a slow one takes.
const TRANSFER_MS: std::ops::Range<u64> = 100..1_500;
const SLOW_TRANSFER_MS: u64 = 60_000;
/// Processes beyond those that the tolerance needs.
const SPARE_PROCESSES: usize = 3;

/// A core process. One that comes back without its disk has a new id at the same address.
#[derive(Debug, Clone, Copy)]
struct Process {
    id: ReplicaId,
    address: u32,
    /// Time from which it runs, after a restart or a suspension; the last of all times for one that is gone.
    runs_from_ms: u64,
    /// Time from which it has the log.
    has_log_from_ms: u64,
    /// Time at which the leader has heard from it last.
    heard_ms: u64,
    announces_stop: bool,
}

const GONE: u64 = u64::MAX;

/// The core processes with a model of the log: the membership is what a majority has agreed on.
#[derive(Debug)]
struct World {
    rng: fastrand::Rng,
    now_ms: u64,
    tolerance: LossTolerance,
    membership: Membership,
    processes: Vec<Process>,
    leader: Option<ReplicaId>,
    /// Time of the last election, or of the loss of the leader.
    elected_ms: u64,
    /// Time until which the processes with these ids are cut off from all others.
    cut: (u64, Vec<ReplicaId>),
    /// Processes that hold the entry that was acknowledged last.
    holders: Vec<ReplicaId>,
    history: Vec<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let tolerance = losses(rng.usize(1..=2));
        let mut world = World {
            rng,
            now_ms: 0,
            tolerance,
            membership: Membership::new(replicas(1..=3)),
            processes: Vec::new(),
            leader: None,
            elected_ms: 0,
            cut: (0, Vec::new()),
            holders: Vec::new(),
            history: vec![format!("seed {seed}, {tolerance:?}")],
        };
        for _ in 0..tolerance.min_voters() {
            world.join(0);
        }
        world
    }

    /// Adds a process that takes `transfer_ms` to get the log.
    fn join(&mut self, transfer_ms: u64) {
        let address = self.processes.len() as u32 + 1;
        self.start_at(address, 0, transfer_ms);
    }

    fn start_at(&mut self, address: u32, pause_ms: u64, transfer_ms: u64) {
        let runs_from_ms = self.now_ms + pause_ms;
        self.processes.push(Process {
            id: ReplicaId(self.processes.len() as u32 + 1),
            address,
            runs_from_ms,
            has_log_from_ms: runs_from_ms + transfer_ms,
            heard_ms: self.now_ms,
            announces_stop: false,
        });
    }

    fn process(&self, id: ReplicaId) -> &Process {
        &self.processes[id.0 as usize - 1]
    }

    fn process_mut(&mut self, id: ReplicaId) -> &mut Process {
        &mut self.processes[id.0 as usize - 1]
    }

    fn runs(&self, id: ReplicaId) -> bool {
        self.process(id).runs_from_ms <= self.now_ms
    }

    fn running(&self) -> Vec<ReplicaId> {
        let ids = self.processes.iter().map(|process| process.id);
        ids.filter(|id| self.runs(*id)).collect()
    }

    /// Returns the processes that run and have had their time to catch up.
    fn sound(&self) -> Vec<ReplicaId> {
        let mut sound = self.running();
        sound.retain(|id| self.process(*id).has_log_from_ms <= self.now_ms);
        sound
    }

    fn choose_sound(&mut self, count: usize) -> Vec<ReplicaId> {
        let sound = self.sound();
        self.rng.choose_multiple(sound, count)
    }

    fn is_connected(&self, one: ReplicaId, other: ReplicaId) -> bool {
        let (until_ms, side) = &self.cut;
        self.runs(one)
            && self.runs(other)
            && (*until_ms <= self.now_ms || side.contains(&one) == side.contains(&other))
    }

    /// Returns whether a majority of `membership` is connected to `id`.
    fn has_majority(&self, id: ReplicaId, membership: &Membership) -> bool {
        let voters = membership.voters().iter();
        voters.filter(|voter| self.is_connected(id, **voter)).count() >= membership.majority()
    }

    /// Returns the state of a member, as the leader sees it.
    fn state_of(&self, id: ReplicaId) -> MemberState {
        if Some(id) == self.leader {
            return MemberState::Responsive;
        }
        let process = self.process(id);
        let is_successor =
            |member: ReplicaId| member > id && self.process(member).address == process.address;
        if self.membership.members().any(is_successor) {
            return MemberState::Superseded;
        }
        match self.now_ms - process.heard_ms.max(self.elected_ms) {
            SILENCE_MS.. => MemberState::Unresponsive,
            _ if process.announces_stop => MemberState::Unresponsive,
            _ if self.membership.is_learner(id) && self.now_ms < process.has_log_from_ms => {
                MemberState::Lagging
            }
            _ => MemberState::Responsive,
        }
    }

    /// Returns how many voters may be lost, of those that are connected to the leader.
    fn margin(&self, leader: ReplicaId) -> usize {
        tolerated_losses(&self.membership, |id| match self.is_connected(leader, id) {
            true => MemberState::Responsive,
            false => MemberState::Unresponsive,
        })
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let Some(leader) =
            self.leader.filter(|leader| self.has_majority(*leader, &self.membership))
        else {
            if self.leader.take().is_some() {
                self.elected_ms = self.now_ms;
            } else if self.now_ms >= self.elected_ms + ELECTION_MS {
                self.elect();
            }
            return;
        };
        for id in self.running() {
            if self.is_connected(leader, id) {
                self.process_mut(id).heard_ms = self.now_ms;
                self.replicate_to(id);
            }
        }
        let change = self.next_join(leader).or_else(|| {
            next_change(&self.membership, leader, self.tolerance, |id| self.state_of(id))
        });
        let Some(change) = change else { return };
        let changed = self.membership.with_change(change).expect("a valid change");
        if self.has_majority(leader, &changed) {
            let fewest = self.tolerance.min_voters().min(self.membership.voters().len());
            assert!(changed.voters().len() + 1 >= fewest, "too few voters: {self:?}");
            self.membership = changed;
        }
    }

    fn replicate_to(&mut self, id: ReplicaId) {
        let has_log = self.process(id).has_log_from_ms <= self.now_ms;
        if has_log && membership_has(&self.membership, id) && !self.holders.contains(&id) {
            self.holders.push(id);
        }
    }

    /// Elects a voter that holds the last acknowledged entry.
    fn elect(&mut self) {
        let voters = self.membership.voters().iter().copied();
        let is_electable = |voter: &ReplicaId| {
            (self.holders.is_empty() || self.holders.contains(voter))
                && self.has_majority(*voter, &self.membership)
        };
        let electable: Vec<_> = voters.filter(is_electable).collect();
        self.leader = self.rng.choice(electable);
        self.elected_ms = self.now_ms;
    }

    /// Returns the change that adds a process that has never been a member.
    fn next_join(&self, leader: ReplicaId) -> Option<MembershipChange> {
        let is_new = |id: &ReplicaId| {
            !membership_has(&self.membership, *id) && self.is_connected(leader, *id)
        };
        let learner = self.running().into_iter().find(is_new);
        // The id of a learner that was removed, because many were silent, is never used again.
        learner
            .map(MembershipChange::AddLearner)
            .filter(|change| self.membership.with_change(*change).is_ok())
    }

    /// Acknowledges an entry that just a majority holds.
    fn acknowledge(&mut self) {
        let leader = self.leader.expect("a leader");
        let mut others = self.membership.voters().to_vec();
        others.retain(|voter| *voter != leader && self.is_connected(leader, *voter));
        self.rng.shuffle(&mut others);
        others.truncate(self.membership.majority() - 1);
        self.holders = others;
        self.holders.push(leader);
    }

    fn run(&mut self, time_ms: u64) {
        (0..time_ms / TICK_MS).for_each(|_| self.tick());
    }

    /// Checks that a process leads and that the deployment's losses are tolerated.
    fn check(&mut self) {
        let Some(leader) = self.leader else { panic!("no leader: {self:?}") };
        let margin = self.margin(leader);
        assert!(margin >= self.tolerance.processes, "{margin} losses are tolerated: {self:?}");
        assert!(!self.membership.voters().len().is_multiple_of(2), "an even number: {self:?}");
    }

    fn spare_processes(&self) -> usize {
        self.sound().len() - self.tolerance.min_voters()
    }

    /// Plays an event and returns the time after which it is made good.
    fn play(&mut self) -> u64 {
        match self.rng.u8(0..12) {
            0..=2 if self.spare_processes() < SPARE_PROCESSES => {
                let most = SPARE_PROCESSES - self.spare_processes();
                let count = self.rng.usize(1..=most);
                let transfer_ms = self.rng.u64(TRANSFER_MS);
                self.history.push(format!("{count} come"));
                (0..count).for_each(|_| self.join(transfer_ms));
                CATCH_UP_MS
            }
            3..=4 if self.spare_processes() > 0 => self.end(),
            5 => {
                self.end();
                let pause_ms = self.rng.u64(0..1_500);
                self.run(pause_ms);
                self.kill_all()
            }
            6 => self.replace_without_notice(),
            7 => self.lose_disks(),
            8 => self.suspend(),
            9 => self.kill_all(),
            10 => self.cut(),
            _ => {
                self.history.push("a slow process comes and goes".into());
                self.join(SLOW_TRANSFER_MS);
                let slow = ReplicaId(self.processes.len() as u32);
                let time_ms = CATCH_UP_MS + self.end();
                self.run(time_ms);
                self.process_mut(slow).runs_from_ms = GONE;
                CATCH_UP_MS
            }
        }
    }

    /// Ends processes for good whose successors have come before, if there are any.
    fn end(&mut self) -> u64 {
        let leader = self.leader.expect("a leader");
        // No majority outlasts more ends at one moment than it tolerates losses.
        let most = self.spare_processes().min(self.margin(leader));
        let count = self.rng.usize(0..=most);
        let ended = self.choose_sound(count);
        let is_announced = self.rng.bool();
        self.history.push(format!("{ended:?} end, announced={is_announced}"));
        if is_announced {
            ended.iter().for_each(|id| self.process_mut(*id).announces_stop = true);
            self.run(300);
        }
        ended.iter().for_each(|id| self.process_mut(*id).runs_from_ms = GONE);
        CATCH_UP_MS
    }

    /// Ends a process for good before its successor comes.
    fn replace_without_notice(&mut self) -> u64 {
        let ended = self.choose_sound(1);
        self.history.push(format!("{ended:?} is replaced without notice"));
        self.process_mut(ended[0]).runs_from_ms = GONE;
        let pause_ms = self.rng.u64(0..2_000);
        self.run(pause_ms);
        let transfer_ms = self.rng.u64(TRANSFER_MS);
        self.join(transfer_ms);
        CATCH_UP_MS
    }

    fn lose_disks(&mut self) -> u64 {
        let count = self.rng.usize(1..=self.tolerance.processes);
        let lost = self.choose_sound(count);
        self.history.push(format!("{lost:?} lose their disks"));
        let pause_ms = self.rng.u64(100..1_000);
        for id in lost {
            let address = self.process(id).address;
            self.process_mut(id).runs_from_ms = GONE;
            let transfer_ms = self.rng.u64(TRANSFER_MS);
            self.start_at(address, pause_ms, transfer_ms);
        }
        pause_ms + CATCH_UP_MS
    }

    fn suspend(&mut self) -> u64 {
        let count = self.rng.usize(1..=self.tolerance.processes);
        let time_ms = self.rng.u64(200..4_000);
        let suspended = self.choose_sound(count);
        self.history.push(format!("{suspended:?} are suspended for {time_ms} ms"));
        let runs_from_ms = self.now_ms + time_ms;
        suspended.iter().for_each(|id| self.process_mut(*id).runs_from_ms = runs_from_ms);
        time_ms + CATCH_UP_MS
    }

    fn kill_all(&mut self) -> u64 {
        self.history.push("all are killed".into());
        for id in self.running() {
            let pause_ms = self.rng.u64(100..1_000);
            self.process_mut(id).runs_from_ms = self.now_ms + pause_ms;
        }
        RECOVERY_MS
    }

    /// Cuts the processes into two halves, beside other events.
    fn cut(&mut self) -> u64 {
        let side = self.choose_sound(self.sound().len() / 2);
        let time_ms = self.rng.u64(1_000..6_000);
        self.history.push(format!("{side:?} are cut off for {time_ms} ms"));
        self.cut = (self.now_ms + time_ms, side);
        if self.rng.bool() {
            let pause_ms = self.rng.u64(0..time_ms);
            self.run(pause_ms);
            self.lose_disks();
        }
        time_ms + RECOVERY_MS
    }
}

/// Guards against any order of events after which the log tolerates fewer losses than the deployment asks for, once each
/// process has had its time to catch up: the next lost disk takes the majority for good.
#[test]
fn the_margin_is_back_after_each_event() {
    for seed in SEEDS {
        let mut world = World::new(seed);
        world.run(RECOVERY_MS);
        for _ in 0..STEPS {
            world.check();
            world.acknowledge();
            let time_ms = world.play();
            world.run(time_ms);
        }
        world.check();
    }
}
