//! Invariants after each step and at the end of a schedule.

use redwinglatch_control::{
    LeaseHolder, Share,
    history::{check_contracts, check_once},
};
use redwinglatch_core::prelude::*;

use crate::{
    network::{CUSTOMERS, Process},
    simulation::{CELLS, Simulation},
};

impl Simulation {
    pub(crate) fn check_invariants(&mut self) {
        let now_ms = self.now_ms;
        let mut sums = [Share::NONE; CUSTOMERS.len()];
        let mut current_coordinators = [None; CELLS as usize];
        for process in self.processes.iter_mut().filter(|process| process.alive) {
            let local_ms = process.clock.at(now_ms);
            let view = process.client.configuration();
            assert!(
                view.revision() >= process.last_revision,
                "the configuration revision decreased at {now_ms}"
            );
            process.last_revision = view.revision();
            let serves = process.client.may_serve(local_ms);
            let holder =
                LeaseHolder { instance: process.instance, incarnation: process.incarnation };
            let has_expired = self.leader.as_ref().is_some_and(|leader| {
                leader.state.leases().has_expired(leader.clock.at(now_ms), holder)
            });
            assert!(
                !(serves && has_expired),
                "{holder:?} counts as expired but serves at {now_ms}"
            );
            for (customer, name) in CUSTOMERS.iter().enumerate() {
                let revision = view.contract(name).map(|contract| contract.revision);
                let last = &mut process.last_contracts[customer];
                assert!(
                    revision.is_none_or(|revision| revision >= *last),
                    "the contract revision of {name} decreased"
                );
                *last = revision.unwrap_or(*last);
                let reported = self.reported[customer];
                assert!(
                    !serves || view.revision() >= reported,
                    "{name} is served at {} after {reported} was reported, at {now_ms}",
                    view.revision()
                );
                let usable = process.client.usable_share(local_ms, name);
                sums[customer] = sums[customer].plus(usable);
            }
            for cell in 0..CELLS {
                let Some(epoch) = process.client.ordering_epoch(local_ms, CellId(cell)) else {
                    continue;
                };
                let other = current_coordinators[cell as usize].replace(holder);
                assert_eq!(other, None, "two coordinators of cell {cell} at {now_ms}");
                let first = *self.coordinators_by_epoch.entry((cell, epoch)).or_insert(holder);
                assert_eq!(first, holder, "two coordinators in epoch {epoch} of cell {cell}");
            }
        }
        for (customer, sum) in sums.iter().enumerate() {
            // A change must be in force once it is reported; until then an older contract may be in
            // force.
            let reported = self.reported[customer];
            let from = self.totals[customer].partition_point(|(revision, _)| *revision < reported);
            let allowed = self.totals[customer][from..].iter();
            let allowed = allowed.fold(Share::NONE, |most, (_, total)| most.max(*total));
            assert!(
                sum.fits(&allowed),
                "shares of {} sum to {sum:?} of {allowed:?} at {now_ms}",
                CUSTOMERS[customer]
            );
        }
    }

    /// Checks the histories, and that the system converges once the faults end.
    pub(crate) fn check_converged(&mut self) {
        check_contracts(&self.writes, &self.decisions).unwrap();
        check_once(&self.once).unwrap();
        assert_eq!(self.replica, self.control, "replicas differ");
        let open: Vec<_> = self.writes.iter().filter(|write| write.end.is_none()).collect();
        assert!(open.is_empty(), "changes without a response: {open:?}");
        for process in self.processes.iter().filter(|process| process.alive) {
            let now_ms = process.clock.at(self.now_ms);
            assert!(process.client.may_serve(now_ms), "{} does not serve", process.instance);
            let view = process.client.configuration();
            assert_eq!(view.revision(), self.control.revision());
            for (customer, name) in CUSTOMERS.iter().enumerate() {
                let current = self.control.contract(name);
                let in_force = view.contract(name).map(|known| (known.revision, &known.contract));
                assert_eq!(
                    in_force, current,
                    "{} has another contract than the log",
                    process.instance
                );
                let total = current.map(|(_, contract)| Share::whole(contract));
                let is_large_enough = total.is_some_and(|total| {
                    total.concurrent_requests >= 2 * self.processes.len() as u64
                });
                let usable = process.client.usable_share(now_ms, name);
                assert!(
                    !is_large_enough
                        || process.demand[customer] == 0
                        || usable.concurrent_requests > 0,
                    "{} has demand for {name} but no share",
                    process.instance
                );
            }
        }
        for cell in (0..CELLS).map(CellId) {
            let orders = |process: &&Process| {
                process.alive
                    && process.client.ordering_epoch(process.clock.at(self.now_ms), cell).is_some()
            };
            assert_eq!(
                self.processes.iter().filter(orders).count(),
                1,
                "{cell} has no coordinator"
            );
        }
        for (instance, incarnation) in self.control.claimants() {
            let alive = self.processes.iter().any(|process| {
                process.alive && (process.instance, process.incarnation) == (instance, incarnation)
            });
            assert!(alive, "a claim of an ended process of {instance} is still running");
        }
    }
}
