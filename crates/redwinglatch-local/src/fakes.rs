//! The outside systems of a local deployment.

use std::io;
use std::net::SocketAddr;

use redwinglatch_fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, FakeWeightStore, Fencing, InstanceState,
    PlatformSettings, ServiceSettings, WeightStoreSettings,
};

/// Sizes of the outside systems.
#[derive(Debug, Clone, Copy)]
pub struct FakesOptions {
    /// The number of engines.
    pub engines: usize,
    /// The number of replicas of the plain service.
    pub services: usize,
    /// Adapters that an engine holds.
    pub slots: usize,
    /// Requests in a step.
    pub max_batch: usize,
    /// The duration of a step.
    pub step_ms: u64,
    /// Loads per second of the weight store.
    pub loads_per_s: f64,
    /// Loads at once at full speed.
    pub parallel_loads: usize,
    /// Whether engines refuse old fencing tokens.
    pub fencing: bool,
    /// How long a call of the plain service takes.
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
            fencing: true,
            work_ms: 5,
        }
    }
}

/// Engines, a plain service, a weight store and the platform's list.
pub struct Fakes {
    /// The engines, all of one pool.
    pub engines: Vec<FakeEngine>,
    /// The replicas of the plain service.
    pub services: Vec<FakeService>,
    /// The weight store.
    pub weight_store: FakeWeightStore,
    /// The platform's list.
    pub platform: FakePlatform,
}

impl Fakes {
    /// The engines' pool.
    pub const ENGINE_POOL: &str = "scope-writer";
    /// The engines' base model.
    pub const MODEL: &str = "scope-base";
    /// The plain service.
    pub const SERVICE: &str = "dispatch-desk";
    const DATA_CENTRES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

    /// Starts the outside systems.
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
        let fencing = if options.fencing { Fencing::Enforced } else { Fencing::Ignored };
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
        fakes.list_all();
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

    /// The addresses of the plain service.
    #[must_use]
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(FakeService::address).collect()
    }

    fn list_all(&self) {
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
