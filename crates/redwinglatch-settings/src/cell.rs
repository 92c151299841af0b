//! Cells: engine pools that share one weight store.

use crate::section::Section;

/// `[cell.NAME]`: the weight store of a cell and how its coordinator weighs costs.
#[derive(Debug, Clone, PartialEq)]
pub struct CellSettings {
    /// The cell's name.
    pub name: Box<str>,
    /// How many loads are in flight at once at most.
    pub parallel_loads: u32,
    /// How long one load takes while the store is not over its limit.
    pub load_ms: u64,
    /// How long a load may wait behind loads of more popular adapters.
    pub load_starvation_ms: u64,
    /// The weight of load stall in the cost of a placement.
    pub stall_weight: f64,
    /// The weight of the step time in the cost of a placement.
    pub batch_weight: f64,
}

impl CellSettings {
    pub(crate) fn read(name: Box<str>, section: &mut Section) -> CellSettings {
        CellSettings {
            name,
            parallel_loads: section.number("parallel_loads", None, 1..=64),
            load_ms: section.number("load_ms", None, 1..=600_000),
            load_starvation_ms: section.number("load_starvation_ms", Some(10_000), 1..=600_000),
            stall_weight: section.decimal("stall_weight", 1.0, 0.0..=1_000.0),
            batch_weight: section.decimal("batch_weight", 0.25, 0.0..=1_000.0),
        }
    }
}
