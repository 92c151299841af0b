//! Settings of a cell: engine pools that share one weight store.

use crate::section::Section;

/// `[cell.NAME]`: the weight store of a cell and the cost weights of its coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct CellSettings {
    /// The cell's name.
    pub name: Box<str>,
    /// Maximum number of loads in flight.
    pub parallel_loads: u32,
    /// Duration of a load while the store is within its limit.
    pub load_ms: u64,
    /// Maximum time that a load waits behind loads of more popular adapters.
    pub load_starvation_ms: u64,
    /// Weight of the load stall in the cost of a placement.
    pub stall_weight: f64,
    /// Weight of the step time in the cost of a placement.
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
