//! The coordinators of cells with their epochs.

use std::collections::BTreeMap;

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::CommandOutcome;

/// The coordinator of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// The cell.
    pub cell: CellId,
    /// The epoch, which is the fencing token of its orders.
    pub epoch: Epoch,
    /// The instance.
    pub instance: InstanceId,
    /// The process. Another process of the same instance is not the coordinator.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Coordinators {
    cells: BTreeMap<CellId, Coordinator>,
    version: u64,
}

impl Coordinators {
    /// Returns the log index of the latest assignment.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, cell: CellId) -> Option<&Coordinator> {
        self.cells.get(&cell)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Coordinator> {
        self.cells.values()
    }

    pub(crate) fn assign(
        &mut self,
        index: u64,
        next: Coordinator,
        expected: Epoch,
    ) -> CommandOutcome {
        let current = self.cells.get(&next.cell);
        let epoch = current.map_or(Epoch(0), |coordinator| coordinator.epoch);
        if epoch != expected {
            return CommandOutcome::Stale { epoch };
        }
        let epoch = Epoch(epoch.0 + 1);
        self.cells.insert(next.cell, Coordinator { epoch, ..next });
        self.version = index;
        CommandOutcome::Assigned { epoch }
    }
}
