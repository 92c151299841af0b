//! Which process may order in a cell.

use std::collections::BTreeMap;

use redwinglatch_core::prelude::*;

use crate::{CellGrant, ControlState, LeaseHolder, LeaseSettings, Renewal};

#[derive(Debug)]
struct PossibleHolder {
    holder: LeaseHolder,
    epoch: Epoch,
    /// The first reply without the grant. Once that reply was applied, the grant has ended.
    withdrawn_sequence: Option<u64>,
}

#[derive(Debug)]
struct Cell {
    holders: Vec<PossibleHolder>,
    free_at_ms: u64,
}

/// Grants the right to order in a cell to the coordinator that the log names, once no other
/// process can still believe that it has it.
///
/// An assignment in the log alone is not enough: the former coordinator may not know of it yet.
#[derive(Debug)]
pub struct CellGrants {
    settings: LeaseSettings,
    waiting_until_ms: u64,
    cells: BTreeMap<CellId, Cell>,
}

impl CellGrants {
    pub(crate) fn new(settings: LeaseSettings, waiting_until_ms: u64) -> CellGrants {
        CellGrants { settings, waiting_until_ms, cells: BTreeMap::new() }
    }

    /// Whether a process other than `holder` may still order in `cell`.
    #[must_use]
    pub fn held_by_other(&self, cell: CellId, holder: LeaseHolder) -> bool {
        self.cells
            .get(&cell)
            .is_some_and(|cell| cell.holders.iter().any(|other| other.holder != holder))
    }

    /// Takes over what a process that this leader didn't know says it holds.
    pub(crate) fn adopt(&mut self, holder: LeaseHolder, renewal: &Renewal) {
        for grant in &renewal.cells {
            self.hold(*grant, holder);
        }
    }

    pub(crate) fn lost(&mut self, now_ms: u64, holder: LeaseHolder) {
        self.release(now_ms, |possible| possible.holder == holder);
    }

    /// The grants for the reply to `renewal`.
    pub(crate) fn renew(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        holder: LeaseHolder,
        renewal: &Renewal,
        applied_sequence: u64,
    ) -> Vec<CellGrant> {
        self.release(now_ms, |possible| {
            let withdrawn = possible.withdrawn_sequence;
            possible.holder == holder && withdrawn.is_some_and(|at| at <= applied_sequence)
        });
        let mut grants = Vec::new();
        for coordinator in state.coordinators() {
            let named = LeaseHolder {
                instance: coordinator.instance,
                incarnation: coordinator.incarnation,
            };
            let grant = CellGrant { cell: coordinator.cell, epoch: coordinator.epoch };
            if named == holder && self.may_grant(now_ms, grant, holder) {
                self.hold(grant, holder);
                grants.push(grant);
            }
        }
        for (id, cell) in &mut self.cells {
            let granted = grants.iter().any(|grant| grant.cell == *id);
            for possible in cell.holders.iter_mut().filter(|other| other.holder == holder) {
                if granted {
                    possible.withdrawn_sequence = None;
                } else {
                    possible.withdrawn_sequence.get_or_insert(renewal.sequence);
                }
            }
        }
        grants
    }

    fn may_grant(&self, now_ms: u64, grant: CellGrant, holder: LeaseHolder) -> bool {
        let Some(cell) = self.cells.get(&grant.cell) else {
            // The first coordinator ever has no predecessor to wait for.
            let settled_at_ms = self.waiting_until_ms + self.settings.order_settle_ms;
            return grant.epoch == Epoch(1) || now_ms >= settled_at_ms;
        };
        if cell.holders.iter().any(|other| other.holder != holder) {
            return false;
        }
        // A process that holds this very epoch has no other coordinator beside it.
        let held = |other: &PossibleHolder| {
            other.epoch == grant.epoch && other.withdrawn_sequence.is_none()
        };
        cell.holders.iter().any(held) || now_ms >= cell.free_at_ms
    }

    fn hold(&mut self, grant: CellGrant, holder: LeaseHolder) {
        let free_at_ms = self.waiting_until_ms + self.settings.order_settle_ms;
        let cell = self.cells.entry(grant.cell).or_insert(Cell { holders: Vec::new(), free_at_ms });
        match cell.holders.iter_mut().find(|other| other.holder == holder) {
            Some(known) => known.epoch = grant.epoch,
            None => cell.holders.push(PossibleHolder {
                holder,
                epoch: grant.epoch,
                withdrawn_sequence: None,
            }),
        }
    }

    fn release(&mut self, now_ms: u64, ended: impl Fn(&PossibleHolder) -> bool) {
        for cell in self.cells.values_mut() {
            let before = cell.holders.len();
            cell.holders.retain(|possible| !ended(possible));
            if cell.holders.len() < before {
                cell.free_at_ms = cell.free_at_ms.max(now_ms + self.settings.order_settle_ms);
            }
        }
    }
}
