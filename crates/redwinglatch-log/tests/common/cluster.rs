//! A simulated cluster of replicas with a faulty network and faulty disks, which checks the
//! invariants of the log.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    ops::Range,
};

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    Effects, Index, LogMessage, Membership, MembershipChange, ReadId, Replica, ReplicaConfig,
    Storage, Term,
};

use super::{
    disk::Disk,
    history::{History, extend_log_hash},
};

/// Maximum clock drift, equal to the default of [`ReplicaConfig::clock_drift_permille`].
pub const DRIFT_PERMILLE: i64 = 10;

fn config(id: ReplicaId, members: Membership, max_batch_entries: usize) -> ReplicaConfig {
    ReplicaConfig {
        heartbeat_interval_ms: 50,
        election_timeout_ms: 400,
        // The longest lease that `ReplicaConfig::check` allows for this timeout and 1 % drift.
        leader_lease_ms: 390,
        max_batch_entries,
        max_in_flight_messages: 3,
        snapshot_chunk_bytes: 100,
        snapshot_interval_entries: 25,
        retained_entries: 10,
        ..ReplicaConfig::new(id, members)
    }
}

/// A running process: the state of a node that a crash loses.
pub struct Process {
    pub replica: Replica,
    storage: Storage,
    /// Effects that are not written to the disk yet.
    writes: VecDeque<Effects>,
    /// The index of the last applied entry, and the hash of the log up to it.
    applied: (Index, u32),
    /// The highest commit index of the cluster at the start of each pending read.
    reads: HashMap<ReadId, Index>,
}

pub struct Node {
    pub id: ReplicaId,
    pub disk: Disk,
    initial_membership: Membership,
    clock_offset_ms: u64,
    pub drift_permille: i64,
    paused_until_us: u64,
    pub process: Option<Process>,
}

/// The replacement of a replica whose disk was lost.
struct Repair {
    lost: ReplicaId,
    replacement: ReplicaId,
}

pub struct Cluster {
    pub rng: fastrand::Rng,
    pub nodes: Vec<Node>,
    pub has_faults: bool,
    /// The range of the time by which a step advances the clock.
    pub step_us: Range<u64>,
    /// The range of the delay of an ordinary message.
    pub delay_us: Range<u64>,
    max_batch_entries: usize,
    /// The rates of proposals, of faults of the leader and of ends of partitions in this schedule.
    proposals_per_256: u8,
    leader_faults_per_1000: u32,
    heals_per_1000: u32,
    now_us: u64,
    next_message: u64,
    network: BTreeMap<(u64, u64), (ReplicaId, ReplicaId, Vec<u8>)>,
    blocked: HashSet<(ReplicaId, ReplicaId)>,
    repair: Option<Repair>,
    pub repairs: u32,
    pub history: History,
}

impl Cluster {
    pub fn new(seed: u64, size: u32) -> Cluster {
        let membership = Membership::new((1..=size).map(ReplicaId));
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut cluster = Cluster {
            max_batch_entries: rng.usize(1..=8),
            proposals_per_256: rng.u8(5..120),
            leader_faults_per_1000: rng.u32(0..30),
            heals_per_1000: rng.u32(3..40),
            rng,
            step_us: 200..15_000,
            delay_us: 200..12_000,
            nodes: Vec::new(),
            has_faults: true,
            now_us: 0,
            next_message: 0,
            network: BTreeMap::new(),
            blocked: HashSet::new(),
            repair: None,
            repairs: 0,
            history: History::new(membership.clone()),
        };
        for _ in 0..size {
            cluster.add_node(membership.clone());
        }
        cluster
    }

    fn add_node(&mut self, initial_membership: Membership) -> ReplicaId {
        let id = ReplicaId(u32::try_from(self.nodes.len()).unwrap() + 1);
        self.nodes.push(Node {
            id,
            disk: Disk::default(),
            initial_membership,
            clock_offset_ms: 0,
            // Extreme values are the most likely to make two leases overlap.
            drift_permille: DRIFT_PERMILLE * self.rng.i64(-1..=1),
            paused_until_us: 0,
            process: None,
        });
        self.start(self.nodes.len() - 1);
        id
    }

    fn start(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        // Each process has its own clock origin.
        node.clock_offset_ms = self.rng.u64(0..10_000);
        let now_ms = node.clock_ms(self.now_us);
        let (storage, durable) =
            Storage::open_with("/log", node.id, node.disk.files()).expect("the storage must open");
        let storage = storage.segment_bytes(512);
        let snapshot = durable.snapshot.as_ref();
        let applied = snapshot.map_or((0, 0), |s| self.history.check_snapshot(s.index, &s.data));
        let config = config(node.id, node.initial_membership.clone(), self.max_batch_entries);
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let replica = Replica::new(config, durable, now_ms, rng).unwrap();
        let (writes, reads) = (VecDeque::new(), HashMap::new());
        node.process = Some(Process { replica, storage, writes, applied, reads });
    }

    fn crash(&mut self, at: usize) {
        self.nodes[at].process = None;
        self.nodes[at].disk.crash(&mut self.rng);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.process.as_ref().is_some_and(|p| p.replica.is_leader());
        let term = |at: &usize| self.nodes[*at].process.as_ref().map(|p| p.replica.term());
        (0..self.nodes.len()).filter(|&at| leads(&self.nodes[at])).max_by_key(term)
    }

    /// Advances the time, delivers due messages, injects faults and checks the invariants.
    pub fn step(&mut self) {
        self.now_us += self.rng.u64(self.step_us.clone());
        self.deliver();
        if self.has_faults {
            self.inject_fault();
        }
        self.use_leaders();
        self.continue_repair();
        for at in 0..self.nodes.len() {
            if let Some((process, now_ms)) = self.nodes[at].awake_process(self.now_us) {
                process.replica.tick(now_ms);
            }
            self.drive(at);
        }
        self.check_invariants();
    }

    fn deliver(&mut self) {
        while let Some(first) = self.network.first_entry()
            && first.key().0 <= self.now_us
        {
            let (from, to, bytes) = first.remove();
            let Some(at) = self.nodes.iter().position(|node| node.id == to) else { continue };
            let paused_until_us = self.nodes[at].paused_until_us;
            if paused_until_us > self.now_us {
                self.enqueue(paused_until_us, (from, to, bytes));
            } else if let Some((process, now_ms)) = self.nodes[at].awake_process(self.now_us) {
                process.replica.step(from, LogMessage::decode(&bytes).unwrap(), now_ms);
                if self.rng.u8(..) < 200 {
                    self.drive(at);
                }
            }
        }
    }

    /// Performs the effects of a node; writes may be delayed, and messages are sent before them.
    fn drive(&mut self, at: usize) {
        while let Some((process, _)) = self.nodes[at].awake_process(self.now_us) {
            let disk_lags = self.has_faults && self.rng.u8(..) < 50;
            let effects = process.replica.take_effects();
            if effects.is_empty() {
                if process.writes.is_empty() || disk_lags {
                    break;
                }
                self.flush_disk(at);
                continue;
            }
            self.history.check_appended(&process.replica, &effects);
            for outgoing in &effects.messages {
                self.send(self.nodes[at].id, outgoing.to, &outgoing.message);
            }
            self.apply(at, &effects);
            let Some(process) = &mut self.nodes[at].process else { break };
            if effects.write.is_some() {
                process.writes.push_back(effects);
            }
            if !disk_lags {
                self.flush_disk(at);
            }
        }
    }

    fn flush_disk(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(process) = &mut node.process else { return };
        while let Some(effects) = process.writes.pop_front() {
            if process.storage.save(&effects).is_ok() {
                process.replica.persisted(effects.write.unwrap());
            } else if node.disk.state().operations_until_crash.is_some() {
                self.crash(at);
                return;
            } else {
                // After a failed sync or on a full disk, the replica is replaced.
                process.replica.halt();
                assert!(process.storage.sync().is_err(), "a failed storage must stay failed");
                let id = node.id;
                if self.repair.is_none() && self.is_needed(id) {
                    self.lose_disk(at);
                } else {
                    self.crash(at);
                }
                return;
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: &LogMessage) {
        let bytes = message.encode().unwrap();
        if self.blocked.contains(&(from, to)) {
            return;
        }
        let copies = match self.rng.u8(0..100) {
            0..5 if self.has_faults => 0,
            5..8 if self.has_faults => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.has_faults && self.rng.u8(0..100) < 4;
            let delay_us = if slow { 200..1_500_000 } else { self.delay_us.clone() };
            let at_us = self.now_us + self.rng.u64(delay_us);
            self.enqueue(at_us, (from, to, bytes.clone()));
        }
    }

    fn enqueue(&mut self, at_us: u64, message: (ReplicaId, ReplicaId, Vec<u8>)) {
        self.next_message += 1;
        self.network.insert((at_us, self.next_message), message);
    }

    fn inject_fault(&mut self) {
        let at = self.rng.usize(0..self.nodes.len());
        if self.nodes[at].process.is_none() {
            let id = self.nodes[at].id;
            let lost = self.repair.as_ref().is_some_and(|repair| repair.lost == id);
            if !lost && self.is_needed(id) && self.rng.u8(..) < 40 {
                self.start(at);
            }
            return;
        }
        if self.rng.u32(0..1000) < self.heals_per_1000 {
            self.blocked.clear();
        }
        if self.rng.u32(0..1000) < self.leader_faults_per_1000
            && let Some(leader) = self.leader()
        {
            let remaining = self.rng.u32(0..12);
            match self.rng.u8(0..3) {
                0 => self.crash(leader),
                1 => self.nodes[leader].disk.state().operations_until_crash = Some(remaining),
                _ => {
                    // Only one other replica receives the leader's messages.
                    let (id, one) = (self.nodes[leader].id, self.rng.usize(0..self.nodes.len()));
                    let others = self.nodes.iter().enumerate().filter(|(other, _)| *other != one);
                    self.blocked.extend(others.map(|(_, other)| (id, other.id)));
                }
            }
            return;
        }
        let (id, others) = (self.nodes[at].id, self.nodes.iter().map(|n| n.id).collect::<Vec<_>>());
        let remaining = Some(self.rng.u32(0..20));
        match self.rng.u32(0..1000) {
            0..6 => self.blocked.extend(others.iter().flat_map(|&o| [(id, o), (o, id)])),
            6..10 => self.blocked.extend(others.iter().map(|&o| (id, o))),
            10..14 => self.blocked.extend(others.iter().map(|&o| (o, id))),
            14..18 => self.isolate_leader(),
            18..22 => {
                // Two replicas lose contact with each other only.
                let other = others[self.rng.usize(0..others.len())];
                self.blocked.extend([(id, other), (other, id)]);
            }
            45..52 => {
                self.crash(at);
                if self.rng.bool() {
                    self.start(at);
                }
            }
            52..60 => self.nodes[at].disk.state().operations_until_crash = remaining,
            60..66 => {
                self.nodes[at].paused_until_us = self.now_us + self.rng.u64(..1_500_000);
            }
            66..71 if self.repair.is_some() || !self.is_needed(id) => {}
            66..68 => self.lose_disk(at),
            68 => self.nodes[at].disk.state().syncs_fail = true,
            69 => self.nodes[at].disk.state().capacity_bytes = Some(0),
            70 => self.replace(at),
            _ => {}
        }
    }

    /// Partitions the leader from all other replicas; it still considers itself the leader.
    pub fn isolate_leader(&mut self) {
        let Some(id) = self.leader().map(|at| self.nodes[at].id) else { return };
        self.blocked.extend(self.nodes.iter().flat_map(|other| [(id, other.id), (other.id, id)]));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Runs steps for `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end_us = self.now_us + duration_ms * 1000;
        while self.now_us < end_us {
            self.step();
        }
    }

    /// Loses the disk of a node and replaces the replica.
    fn lose_disk(&mut self, at: usize) {
        self.nodes[at].process = None;
        self.nodes[at].disk.wipe();
        self.replace(at);
    }

    /// Starts to replace a replica, which may keep running, by one with a new id. Only one is
    /// replaced at a time.
    fn replace(&mut self, at: usize) {
        let lost = self.nodes[at].id;
        let replacement = self.add_node(Membership::default());
        self.repair = Some(Repair { lost, replacement });
    }

    /// Returns whether the replica is a member or about to become one.
    fn is_needed(&self, id: ReplicaId) -> bool {
        self.history.membership.members().any(|member| member == id)
            || self.repair.as_ref().is_some_and(|repair| repair.replacement == id)
    }

    fn continue_repair(&mut self) {
        let Some(Repair { lost, replacement }) = self.repair else { return };
        let members = &self.history.membership;
        let is_member = |id| members.members().any(|member| member == id);
        if members.is_voter(replacement) && !is_member(lost) {
            self.repair = None;
            self.repairs += 1;
            // Sometimes a second disk is lost right after the repair.
            let voters: Vec<_> = members.voters().to_vec();
            if self.has_faults && self.rng.bool() {
                let next = voters[self.rng.usize(0..voters.len())];
                let at = self.nodes.iter().position(|node| node.id == next).unwrap();
                self.lose_disk(at);
            }
            return;
        }
        let change = if !is_member(replacement) {
            MembershipChange::AddLearner(replacement)
        } else if !members.is_voter(replacement) {
            MembershipChange::Promote(replacement)
        } else if members.is_voter(lost) && self.rng.bool() {
            MembershipChange::Demote(lost)
        } else {
            MembershipChange::Remove(lost)
        };
        if let Some(at) = self.leader()
            && let Some((process, now_ms)) = self.nodes[at].awake_process(self.now_us)
        {
            let _ = process.replica.propose_membership(change, now_ms);
        }
    }

    /// Compacts logs; proposes, reads and transfers leadership on each node that considers itself
    /// the leader.
    fn use_leaders(&mut self) {
        let max_commit_index = self.history.committed.len() as u64 - 1;
        for node in &mut self.nodes {
            let Some((process, now_ms)) = node.awake_process(self.now_us) else { continue };
            if process.replica.snapshot_due() {
                let (index, hash) = process.applied;
                let mut data = hash.to_le_bytes().to_vec();
                data.resize(4 + self.rng.usize(0..400), 7);
                process.replica.compact(index, data);
            }
            if !process.replica.is_leader() {
                continue;
            }
            if self.rng.u8(..) < self.proposals_per_256 {
                for _ in 0..self.rng.usize(0..12) {
                    let data = vec![self.rng.u8(..); self.rng.usize(0..60)];
                    let _ = process.replica.propose(data, now_ms);
                }
            }
            if self.rng.u8(..) < 20
                && let Ok(read) = process.replica.request_read(now_ms)
            {
                process.reads.insert(read, max_commit_index);
            }
            if self.has_faults && self.rng.u8(..) < 2 {
                let _ = process.replica.transfer_leadership(None, now_ms);
            }
            if let Some(index) = process.replica.lease_read_index(now_ms) {
                assert!(
                    index >= max_commit_index,
                    "a lease read at {index} misses commit {max_commit_index}"
                );
            }
        }
    }

    fn apply(&mut self, at: usize, effects: &Effects) {
        if let Some(snapshot) = &effects.restore {
            let applied = self.history.check_snapshot(snapshot.index, &snapshot.data);
            if let Some(process) = &mut self.nodes[at].process {
                process.applied = applied;
            }
        }
        for entry in &effects.committed {
            let Some(process) = &mut self.nodes[at].process else { return };
            self.history.record_committed(entry, process.replica.term());
            assert_eq!(entry.index, process.applied.0 + 1, "an entry is applied out of order");
            process.applied = (entry.index, extend_log_hash(process.applied.1, entry));
        }
        let Some(process) = &mut self.nodes[at].process else { return };
        for read in &effects.reads {
            let min_index = process.reads.remove(&read.id).expect("each read ends once");
            let valid_indexes = min_index..=process.replica.commit_index();
            let is_valid = read.index.is_none_or(|index| valid_indexes.contains(&index));
            assert!(is_valid, "read at {:?} is outside {valid_indexes:?}", read.index);
        }
    }

    fn check_invariants(&mut self) {
        let mut lease: Option<(Term, ReplicaId)> = None;
        let mut newest_leader: Term = 0;
        for node in &self.nodes {
            let Some(Process { replica, .. }) = &node.process else { continue };
            let (id, term) = (node.id, replica.term());
            if replica.is_leader() {
                newest_leader = newest_leader.max(term);
                self.history.check_leader(replica);
            }
            if replica.leader_lease_valid(node.clock_ms(self.now_us)) {
                let (other_term, other) = *lease.get_or_insert((term, id));
                assert_eq!(other_term, term, "replicas {id} and {other} both hold a lease");
            }
            for index in self.history.committed.len() as u64..=replica.commit_index() {
                let Some(entry) = replica.entry(index) else { break };
                self.history.record_committed(entry, term);
            }
        }
        if let Some((term, id)) = lease {
            assert!(newest_leader <= term, "replica {id} holds a lease beside a newer leader");
        }
    }

    /// Ends all faults and checks that the cluster recovers and commits new entries within 60 s.
    pub fn settle(&mut self) {
        self.has_faults = false;
        self.blocked.clear();
        // A low rate, because with one entry in a message the replicas could not keep up.
        self.proposals_per_256 = 3;
        let lost = self.repair.as_ref().map(|repair| repair.lost);
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            node.paused_until_us = 0;
            node.disk.end_faults();
            let id = node.id;
            if node.process.is_none() && Some(id) != lost && self.is_needed(id) {
                self.start(at);
            }
        }
        let before = self.history.committed.len();
        let end_us = self.now_us + 60_000_000;
        while !self.is_settled(before) {
            assert!(self.now_us < end_us, "the cluster doesn't recover within 60 s");
            self.step();
        }
    }

    fn is_settled(&self, before: usize) -> bool {
        let members = &self.history.membership;
        let applied = |node: &&Node| node.process.as_ref().map(|process| process.applied.0);
        let voters = self.nodes.iter().filter(|node| members.is_voter(node.id));
        self.repair.is_none()
            && voters.filter_map(|node| applied(&node)).all(|index| index > before as u64)
    }
}

impl Node {
    /// Returns the time on the node's clock, which includes its offset and drift.
    pub fn clock_ms(&self, now_us: u64) -> u64 {
        let rate = u64::try_from(1000 + self.drift_permille).unwrap();
        self.clock_offset_ms + now_us * rate / 1_000_000
    }

    /// Returns the process and its clock, unless the node is down or paused.
    fn awake_process(&mut self, now_us: u64) -> Option<(&mut Process, u64)> {
        let now_ms = self.clock_ms(now_us);
        let awake = self.paused_until_us <= now_us;
        self.process.as_mut().filter(|_| awake).map(|process| (process, now_ms))
    }
}
