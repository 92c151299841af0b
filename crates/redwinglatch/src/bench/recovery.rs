//! Benchmarks of the control log: recovery time of a replica, and the rate of synced appends.

use std::io;
use std::path::Path;
use std::time::Duration;

use redwinglatch_control::{CommandOutcome, ControlCommand, ControlState};
use redwinglatch_core::{ReplicaId, Revision};
use redwinglatch_local::Deployment;
use redwinglatch_log::{Entry, EntryKind, Membership, Replica, ReplicaConfig, Storage};
use redwinglatch_report::{Measurement, ReportSection, Table, format_number};
use serde::Serialize;
use tokio::time::Instant;

use super::durations::milliseconds;
use super::run::Run;

const REPLICA_ID: ReplicaId = ReplicaId(1);
/// Larger than any batch, because a second change of a customer needs the revision of the first,
/// which is known only after the batch.
const CUSTOMER_COUNT: u64 = 1_000;
/// Changes per sync while the log is filled.
const FILL_BATCH_CHANGES: u64 = 500;

#[derive(Debug, Clone, Serialize)]
struct RecoveryRow {
    changes: u64,
    /// Whether snapshots are taken at the default interval, as in the daemon.
    with_snapshots: bool,
    recovery_ms: f64,
}

#[derive(Debug, Clone, Serialize)]
struct AppendRow {
    batch: u64,
    appends_per_s: f64,
    sync_ms: f64,
}

/// Runs both benchmarks in directories below `work_dir`.
pub(crate) fn run(work_dir: &Path, run: &mut Run) -> io::Result<()> {
    let mut recoveries = Vec::new();
    for (changes, with_snapshots) in
        [(1_000, true), (100_000, true), (1_000, false), (100_000, false)]
    {
        run.progress(&format!("recovery: {changes} changes, snapshots {with_snapshots}"));
        let dir = work_dir.join(format!("recovery-{changes}-{with_snapshots}"));
        let mut node = Node::open(&dir, with_snapshots)?;
        for first in (0..changes).step_by(FILL_BATCH_CHANGES as usize) {
            node.append((first..changes.min(first + FILL_BATCH_CHANGES)).map(change))?;
        }
        let state = std::mem::take(&mut node.state);
        drop(node);
        let started_at = Instant::now();
        let recovered = Node::open(&dir, with_snapshots)?;
        let recovery_ms = milliseconds(started_at.elapsed());
        // The recovered leader appended a log entry of its own term, so the applied indices differ.
        if recovered.state.revision() != state.revision()
            || recovered.state.contract(&customer(0)) != state.contract(&customer(0))
        {
            let text = format!("the state after {changes} changes was not recovered");
            run.report.violations.push(text);
        }
        recoveries.push(RecoveryRow { changes, with_snapshots, recovery_ms });
    }
    let duration =
        if run.report.short { Duration::from_millis(500) } else { Duration::from_secs(3) };
    let mut appends = Vec::new();
    for batch in [1, 16, 256] {
        run.progress(&format!("appends: {batch} for each sync"));
        let mut node = Node::open(&work_dir.join(format!("appends-{batch}")), true)?;
        let (started_at, mut syncs) = (Instant::now(), 0);
        while started_at.elapsed() < duration {
            node.append((syncs * batch..(syncs + 1) * batch).map(change))?;
            syncs += 1;
        }
        let elapsed_s = started_at.elapsed().as_secs_f64();
        let appends_per_s = (syncs * batch) as f64 / elapsed_s;
        let sync_ms = elapsed_s * 1e3 / syncs as f64;
        appends.push(AppendRow { batch, appends_per_s, sync_ms });
    }
    add_section(run, &recoveries, &appends);
    Ok(())
}

fn add_section(run: &mut Run, recoveries: &[RecoveryRow], appends: &[AppendRow]) {
    let mut table = Table::new(&["measurement", "value", "unit"]);
    for row in recoveries {
        let with = if row.with_snapshots { "with" } else { "without" };
        let name = format!("recovery after {} changes, {with} snapshots", row.changes);
        table.push([name.clone(), format_number(row.recovery_ms), "ms".to_owned()]);
        run.report.figures.push(Measurement::lower(name, row.recovery_ms, "ms").timed());
    }
    for row in appends {
        let name = format!("changes applied, {} for each sync", row.batch);
        let value = format!(
            "{} ({} ms for each batch)",
            format_number(row.appends_per_s),
            format_number(row.sync_ms)
        );
        table.push([name.clone(), value, "1/s".to_owned()]);
        run.report.figures.push(Measurement::higher(name, row.appends_per_s, "1/s").timed());
    }
    run.add_rows("recovery", &recoveries);
    run.add_rows("appends", &appends);
    run.sections.push(ReportSection {
        title: "Control log".to_owned(),
        note: format!(
            "One replica that is the only voter, with real syncs. Recovery lasts from opening the \
             directory until all changes are applied to the control state; the election timeout \
             is not included. Load average of the machine {}.",
            super::process::load_average()
        ),
        charts: Vec::new(),
        table,
    });
}

fn customer(number: u64) -> String {
    format!("customer-{}", number % CUSTOMER_COUNT)
}

/// Returns the change with this number, based on the customer's current revision.
fn change(number: u64) -> impl FnOnce(&ControlState) -> ControlCommand {
    move |state| {
        let customer = customer(number);
        let revision = state.contract(&customer).map_or(Revision(0), |(revision, _)| revision);
        let contract = Deployment::contract(&customer, "district-");
        ControlCommand::ApplyContract {
            change_id: format!("change-{number}").into(),
            customer: customer.into(),
            expected_revision: revision,
            contract,
            now_wall_s: 1,
        }
    }
}

/// A replica that is the only voter, with the control state that results from its log.
struct Node {
    storage: Storage,
    replica: Replica,
    state: ControlState,
    with_snapshots: bool,
}

impl Node {
    /// Opens the data directory and applies the whole log.
    fn open(dir: &Path, with_snapshots: bool) -> io::Result<Node> {
        let (storage, durable) = Storage::open(dir, REPLICA_ID).map_err(io::Error::other)?;
        let state = match &durable.snapshot {
            Some(snapshot) => ControlState::restore(&snapshot.data).map_err(io::Error::other)?,
            None => ControlState::new(),
        };
        let config = ReplicaConfig::new(REPLICA_ID, Membership::new([REPLICA_ID]));
        let replica = Replica::new(config, durable, 0, fastrand::Rng::with_seed(1));
        let replica = replica.map_err(io::Error::other)?;
        let mut node = Node { storage, replica, state, with_snapshots };
        // The only voter elects itself after its election timeout.
        node.replica.tick(node.replica.next_tick_ms());
        node.process_effects()?;
        Ok(node)
    }

    /// Proposes changes of different customers as one batch and waits for its sync.
    fn append<F: FnOnce(&ControlState) -> ControlCommand>(
        &mut self,
        changes: impl Iterator<Item = F>,
    ) -> io::Result<()> {
        for change in changes {
            let command = change(&self.state);
            let data = postcard::to_allocvec(&command).map_err(io::Error::other)?;
            self.replica.propose(data, 0).map_err(io::Error::other)?;
        }
        self.process_effects()
    }

    fn process_effects(&mut self) -> io::Result<()> {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() {
                return Ok(());
            }
            if let Some(write) = effects.write {
                self.storage.save(&effects).map_err(io::Error::other)?;
                self.replica.persisted(write);
            }
            for entry in &effects.committed {
                self.apply(entry)?;
            }
            if self.with_snapshots && self.replica.snapshot_due() {
                let index = self.replica.applied_index();
                self.replica.compact(index, self.state.snapshot());
            }
        }
    }

    fn apply(&mut self, entry: &Entry) -> io::Result<()> {
        if let EntryKind::Data(data) = &entry.kind {
            let command: ControlCommand = postcard::from_bytes(data).map_err(io::Error::other)?;
            let outcome = self.state.apply(entry.index, &command);
            if !matches!(outcome, CommandOutcome::Accepted { .. }) {
                return Err(io::Error::other(format!("a change was not accepted: {outcome:?}")));
            }
        }
        Ok(())
    }
}
