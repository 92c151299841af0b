//! Simulation that compares placement policies on virtual time.

mod baseline_policy;
mod coordinated_policy;
mod run_metrics;
mod simulated_engine;
mod simulation;
mod workload;

use redwinglatch_placement::PlacementSettings;

use crate::{Options, PlacementRow};
use baseline_policy::{BaselinePolicy, Routing};
use coordinated_policy::CoordinatedPolicy;
use simulation::{Policy, Simulation};
pub(crate) use workload::Zipf;
use workload::{CellProfile, MeasuredPeriod, Workload, arrivals};

pub(crate) const COORDINATED: &str = "coordinated";
pub(crate) const ROUND_ROBIN: &str = "round-robin";
pub(crate) const LEAST_LOADED: &str = "least-loaded";
pub(crate) const AFFINITY: &str = "affinity";

/// Runs all policies under all selected workloads, with the cell sizes and settings of both
/// customers.
pub(crate) fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Vec<PlacementRow> {
    let period = MeasuredPeriod::new(options.is_short);
    let mut rows = Vec::new();
    for (cell, settings) in [
        (CellProfile::great_lakes(), PlacementSettings::stalls_first()),
        (CellProfile::cz_morava(), PlacementSettings::batches_first()),
    ] {
        for workload in Workload::ALL {
            if options.workload.as_ref().is_some_and(|it| *it != workload.name()) {
                continue;
            }
            progress(&format!("placement: {} {}", cell.name, workload.name()));
            let requests = arrivals(&cell, workload, period, options.seed);
            let policies = [
                (COORDINATED, None),
                (ROUND_ROBIN, Some(Routing::RoundRobin)),
                (LEAST_LOADED, Some(Routing::LeastLoaded)),
                (AFFINITY, Some(Routing::Affinity)),
            ];
            for (name, routing) in policies {
                let policy = match routing {
                    Some(routing) => Policy::Baseline(BaselinePolicy::new(routing)),
                    None => Policy::Coordinated(Box::new(CoordinatedPolicy::new(
                        settings.clone(),
                        cell.engines,
                        options,
                    ))),
                };
                let simulation = Simulation::new(&cell, workload, period, &requests, options.seed);
                rows.push(simulation.run(policy, name));
            }
        }
    }
    rows
}
