//! The fakes of the external systems that a local deployment uses.

use std::io;
use std::net::SocketAddr;

use redwinglatch_fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, FakeWeightStore, FencingMode,
    InstanceState, PlatformSettings, ServiceSettings, WeightStoreSettings,
};

/// Sizes and speeds of the fakes.
#[derive(Debug, Clone, Copy)]
pub struct FakesOptions {
    /// The number of engines.
    pub engines: usize,
    /// The number of replicas of the plain service.
    pub services: usize,
    /// Number of adapter slots of an engine.
    pub slots: usize,
    /// Largest number of requests in an engine's batch.
    pub max_batch: usize,
    /// Duration of an engine's step.
    pub step_ms: u64,
    /// Loads per second that the weight store completes under continuous load.
    pub loads_per_s: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub parallel_loads: usize,
    /// Whether engines reject orders with an old fencing token.
    pub is_fencing_enforced: bool,
    /// Duration of a run at the plain service.
    pub work_ms: u64,
}

impl Default for FakesOptions {
    fn default() -> FakesOptions {
        FakesOptions {
            engines: 2,
            services: 1,
            slots: 3,
            max_batch: 8,
            step_ms: 10,
            loads_per_s: 10.0,
            parallel_loads: 1,
            is_fencing_enforced: true,
            work_ms: 5,
        }
    }
}

/// Engines, replicas of a plain service, a weight store and the platform.
pub struct Fakes {
    /// The engines, all of one pool.
    pub engines: Vec<FakeEngine>,
    /// The replicas of the plain service.
    pub services: Vec<FakeService>,
    /// The weight store.
    pub weight_store: FakeWeightStore,
    /// The platform, which lists the engines and replicas.
    pub platform: FakePlatform,
}

impl Fakes {
    /// Name of the engines' pool.
    pub const ENGINE_POOL: &str = "scope-writer";
    /// Name of the engines' base model.
    pub const MODEL: &str = "scope-base";
    /// Name of the plain service and of its pool.
    pub const SERVICE: &str = "dispatch-desk";
    const DATA_CENTRES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

    /// Starts the fakes and lists them with the platform.
    ///
    /// # Errors
    ///
    /// Fails when a loopback port can't be opened.
    pub fn start(options: &FakesOptions) -> io::Result<Fakes> {
        let store = WeightStoreSettings::new()
            .loads_per_s(options.loads_per_s)
            .parallel_loads(options.parallel_loads);
        let weight_store = FakeWeightStore::start(store)?;
        let platform = FakePlatform::start(PlatformSettings::new())?;
        let fencing =
            if options.is_fencing_enforced { FencingMode::Enforced } else { FencingMode::Ignored };
        let engines: io::Result<Vec<FakeEngine>> = (0..options.engines)
            .map(|position| {
                FakeEngine::start(
                    EngineSettings::new(Fakes::MODEL)
                        .slots(options.slots)
                        .max_batch(options.max_batch)
                        .step_ms(options.step_ms)
                        .weight_store(weight_store.address())
                        .fencing(fencing)
                        .data_centre(Fakes::data_centre(position)),
                )
            })
            .collect();
        let services: io::Result<Vec<FakeService>> = (0..options.services)
            .map(|position| {
                let settings = ServiceSettings::new()
                    .work_ms(options.work_ms)
                    .data_centre(Fakes::data_centre(position));
                FakeService::start(settings)
            })
            .collect();
        let fakes = Fakes { engines: engines?, services: services?, weight_store, platform };
        fakes.list_backends();
        Ok(fakes)
    }

    /// The data centre of the instance or backend server at `position`.
    #[must_use]
    pub fn data_centre(position: usize) -> &'static str {
        Fakes::DATA_CENTRES[position % Fakes::DATA_CENTRES.len()]
    }

    /// The addresses of the engines.
    #[must_use]
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(FakeEngine::address).collect()
    }

    /// The addresses of the plain service's replicas.
    #[must_use]
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(FakeService::address).collect()
    }

    fn list_backends(&self) {
        for engine in &self.engines {
            let data_centre = engine.data_centre();
            let (pool, live) = (Fakes::ENGINE_POOL, InstanceState::Live);
            self.platform.set(pool, engine.address(), &data_centre, live);
        }
        for service in &self.services {
            let data_centre = service.data_centre();
            let (pool, live) = (Fakes::SERVICE, InstanceState::Live);
            self.platform.set(pool, service.address(), &data_centre, live);
        }
    }
}
