//! Grants of the right to send orders in a cell.

use std::collections::BTreeMap;

use redwinglatch_core::prelude::*;

use crate::{CellGrant, ControlState, LeaseHolder, LeaseSettings, Renewal};

#[derive(Debug)]
struct PossibleHolder {
    holder: LeaseHolder,
    epoch: Epoch,
    /// Sequence of the first reply without the grant. The grant ends once the holder has applied
    /// that reply.
    withdrawn_sequence: Option<u64>,
}

#[derive(Debug)]
struct CellState {
    holders: Vec<PossibleHolder>,
    /// Earliest time at which the cell may be granted to a new holder or epoch.
    grantable_from_ms: u64,
}

/// Grants the right to send orders in a cell to the coordinator that the log names, once no other
/// process can still act on an earlier grant.
///
/// An assignment in the log alone is not enough, because the former coordinator may not have
/// applied it yet.
#[derive(Debug)]
pub struct CellGrants {
    settings: LeaseSettings,
    waiting_period_end_ms: u64,
    cells: BTreeMap<CellId, CellState>,
}

impl CellGrants {
    pub(crate) fn new(settings: LeaseSettings, waiting_period_end_ms: u64) -> CellGrants {
        CellGrants { settings, waiting_period_end_ms, cells: BTreeMap::new() }
    }

    /// Returns whether a process other than `holder` may still send orders in `cell`.
    #[must_use]
    pub fn has_other_possible_holder(&self, cell: CellId, holder: LeaseHolder) -> bool {
        self.cells
            .get(&cell)
            .is_some_and(|cell| cell.holders.iter().any(|other| other.holder != holder))
    }

    /// Records the grants that a process new to this leader reports in its first full renewal.
    pub(crate) fn record_reported_grants(&mut self, holder: LeaseHolder, renewal: &Renewal) {
        for grant in &renewal.cells {
            self.record_holder(*grant, holder);
        }
    }

    pub(crate) fn remove_holder(&mut self, now_ms: u64, holder: LeaseHolder) {
        self.release_matching(now_ms, |possible| possible.holder == holder);
    }

    /// Returns the grants for the reply to `renewal`.
    pub(crate) fn renew(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        holder: LeaseHolder,
        renewal: &Renewal,
        applied_sequence: u64,
    ) -> Vec<CellGrant> {
        self.release_matching(now_ms, |possible| {
            let withdrawn_sequence = possible.withdrawn_sequence;
            possible.holder == holder && withdrawn_sequence.is_some_and(|at| at <= applied_sequence)
        });
        let mut grants = Vec::new();
        for coordinator in state.coordinators() {
            let assignee = LeaseHolder {
                instance: coordinator.instance,
                incarnation: coordinator.incarnation,
            };
            let grant = CellGrant { cell: coordinator.cell, epoch: coordinator.epoch };
            if assignee == holder && self.may_grant(now_ms, grant, holder) {
                self.record_holder(grant, holder);
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
            let grantable_from_ms = self.waiting_period_end_ms + self.settings.order_settle_ms;
            return grant.epoch == Epoch(1) || now_ms >= grantable_from_ms;
        };
        if cell.holders.iter().any(|other| other.holder != holder) {
            return false;
        }
        // While a process holds the current epoch, no other coordinator can exist.
        let holds_epoch = |other: &PossibleHolder| {
            other.epoch == grant.epoch && other.withdrawn_sequence.is_none()
        };
        cell.holders.iter().any(holds_epoch) || now_ms >= cell.grantable_from_ms
    }

    fn record_holder(&mut self, grant: CellGrant, holder: LeaseHolder) {
        let grantable_from_ms = self.waiting_period_end_ms + self.settings.order_settle_ms;
        let cell = self
            .cells
            .entry(grant.cell)
            .or_insert(CellState { holders: Vec::new(), grantable_from_ms });
        match cell.holders.iter_mut().find(|other| other.holder == holder) {
            Some(existing) => existing.epoch = grant.epoch,
            None => cell.holders.push(PossibleHolder {
                holder,
                epoch: grant.epoch,
                withdrawn_sequence: None,
            }),
        }
    }

    fn release_matching(&mut self, now_ms: u64, has_ended: impl Fn(&PossibleHolder) -> bool) {
        for cell in self.cells.values_mut() {
            let count_before = cell.holders.len();
            cell.holders.retain(|possible| !has_ended(possible));
            if cell.holders.len() < count_before {
                cell.grantable_from_ms =
                    cell.grantable_from_ms.max(now_ms + self.settings.order_settle_ms);
            }
        }
    }
}
