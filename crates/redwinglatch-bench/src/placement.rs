//! Placement policies side by side on virtual time.

mod baseline;
mod coordinated;
mod engine;
mod figures;
mod workload;
mod world;

use redwinglatch_placement::PlacementSettings;

use crate::{Options, PlacementRow};
use baseline::{Baseline, Routing};
use coordinated::Coordinated;
pub(crate) use workload::Zipf;
use workload::{Site, Span, Workload, arrivals};
use world::{Policy, World};

pub(crate) const COORDINATED: &str = "coordinated";
pub(crate) const ROUND_ROBIN: &str = "round-robin";
pub(crate) const LEAST_LOADED: &str = "least-loaded";
pub(crate) const AFFINITY: &str = "affinity";

/// Runs all policies under all workloads with the settings of both customers.
pub(crate) fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Vec<PlacementRow> {
    let span = Span::new(options.short);
    let mut rows = Vec::new();
    for (site, settings) in [
        (Site::great_lakes(), PlacementSettings::stalls_first()),
        (Site::cz_morava(), PlacementSettings::batches_first()),
    ] {
        for workload in Workload::ALL {
            if options.workload.as_ref().is_some_and(|it| *it != workload.name()) {
                continue;
            }
            progress(&format!("placement: {} {}", site.name, workload.name()));
            let requests = arrivals(&site, workload, span, options.seed);
            let policies = [
                (COORDINATED, None),
                (ROUND_ROBIN, Some(Routing::RoundRobin)),
                (LEAST_LOADED, Some(Routing::LeastLoaded)),
                (AFFINITY, Some(Routing::Affinity)),
            ];
            for (name, routing) in policies {
                let policy = match routing {
                    Some(routing) => Policy::Baseline(Baseline::new(routing)),
                    None => Policy::Coordinated(Box::new(Coordinated::new(
                        settings.clone(),
                        site.engines,
                        options,
                    ))),
                };
                let world = World::new(&site, workload, span, &requests, options.seed);
                rows.push(world.run(policy, name));
            }
        }
    }
    rows
}
