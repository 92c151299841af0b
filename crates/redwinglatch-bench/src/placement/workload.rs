//! The workloads of section 1.1 as arrivals on virtual time.

/// The size of a customer's cell.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) slots: usize,
    pub(crate) max_batch: usize,
    pub(crate) adapters: usize,
    /// Loads that the store serves at full speed at the same time.
    pub(crate) parallel_loads: usize,
    /// The time of one load at full speed.
    pub(crate) load_us: u64,
    pub(crate) rate_per_s: f64,
    pub(crate) budget_ms: u64,
    pub(crate) min_tokens: u32,
    pub(crate) max_tokens: u32,
    /// The exponent of the adapters' Zipf popularity.
    pub(crate) zipf: f64,
}

impl Site {
    /// Lakeshore Clearwall Services: 3 loads/s, one at a time.
    pub(crate) fn great_lakes() -> Site {
        Site {
            name: "great-lakes",
            engines: 12,
            slots: 8,
            max_batch: 16,
            adapters: 3_000,
            parallel_loads: 1,
            load_us: 333_333,
            rate_per_s: 8.0,
            budget_ms: 15_000,
            min_tokens: 50,
            max_tokens: 250,
            zipf: 1.2,
        }
    }

    /// Příručka Družstvo Brno: 4.5 loads/s, two at a time.
    pub(crate) fn cz_morava() -> Site {
        Site {
            name: "cz-morava",
            engines: 18,
            parallel_loads: 2,
            load_us: 444_444,
            rate_per_s: 12.0,
            budget_ms: 12_000,
            ..Site::great_lakes()
        }
    }
}

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Workload {
    Zipf,
    PopularityShift,
    ShiftStart,
    ColdRestart,
    FailedLoads,
    LaggingReports,
    StoreLimit,
}

impl Workload {
    pub(crate) const ALL: [Workload; 7] = [
        Workload::Zipf,
        Workload::PopularityShift,
        Workload::ShiftStart,
        Workload::ColdRestart,
        Workload::FailedLoads,
        Workload::LaggingReports,
        Workload::StoreLimit,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Workload::Zipf => "zipf",
            Workload::PopularityShift => "popularity-shift",
            Workload::ShiftStart => "shift-start",
            Workload::ColdRestart => "cold-restart",
            Workload::FailedLoads => "failed-loads",
            Workload::LaggingReports => "lagging-reports",
            Workload::StoreLimit => "store-limit",
        }
    }

    /// The share of loads that fail.
    pub(crate) fn load_failure_share(self) -> f64 {
        if self == Workload::FailedLoads { 0.1 } else { 0.0 }
    }

    /// How late reports arrive, and the share of them that is lost.
    pub(crate) fn report_lag(self) -> (u64, f64) {
        if self == Workload::LaggingReports { (1_500, 0.3) } else { (5, 0.0) }
    }
}

/// When the measured time begins and ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

impl Span {
    pub(crate) fn new(short: bool) -> Span {
        if short {
            Span { from_ms: 120_000, until_ms: 300_000 }
        } else {
            Span { from_ms: 120_000, until_ms: 420_000 }
        }
    }

    /// The moment of the workload's event: a third of the measured time has passed.
    pub(crate) fn event_ms(self) -> u64 {
        self.from_ms + (self.until_ms - self.from_ms) / 3
    }
}

/// A request of the workload.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) adapter: u32,
    pub(crate) tokens: u32,
    pub(crate) customer: u8,
    pub(crate) hall: u8,
}

/// Draws ranks with Zipf popularity.
#[derive(Debug)]
pub(crate) struct Zipf {
    cumulated: Vec<f64>,
}

impl Zipf {
    pub(crate) fn new(count: usize, exponent: f64) -> Zipf {
        let mut total = 0.0;
        let cumulated = (1..=count)
            .map(|rank| {
                total += (rank as f64).powf(-exponent);
                total
            })
            .collect();
        Zipf { cumulated }
    }

    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> usize {
        let total = self.cumulated.last().copied().unwrap_or_default();
        let at = rng.f64() * total;
        self.cumulated.partition_point(|it| *it < at).min(self.cumulated.len() - 1)
    }
}

/// How long the surge at the start of a shift lasts.
const SURGE_MS: u64 = 60_000;
/// How much higher the rate is during the surge.
const SURGE_RATE: f64 = 4.0;
/// Adapters that the staff of a starting shift uses, and its share of the surge's requests.
const SURGE_ADAPTERS: usize = 40;
const SURGE_SHARE: f64 = 0.9;
/// How much higher the rate is at full load, and when the store is at its limit.
const FULL_LOAD: f64 = 1.25;
const STORE_LIMIT: f64 = 1.75;

/// All requests of a run, in order of time.
pub(crate) fn arrivals(site: &Site, workload: Workload, span: Span, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let zipf = Zipf::new(site.adapters, site.zipf);
    let surge = Zipf::new(SURGE_ADAPTERS, site.zipf);
    let event_ms = span.event_ms();
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    loop {
        let at_ms = (at_us / 1e3) as u64;
        let surging =
            workload == Workload::ShiftStart && (event_ms..event_ms + SURGE_MS).contains(&at_ms);
        let factor = match workload {
            Workload::ShiftStart if surging => SURGE_RATE,
            Workload::PopularityShift => FULL_LOAD,
            Workload::StoreLimit => STORE_LIMIT,
            _ => 1.0,
        };
        at_us += -rng.f64().max(1e-12).ln() / (site.rate_per_s * factor) * 1e6;
        if at_us >= span.until_ms as f64 * 1e3 {
            return arrivals;
        }
        let shifted = workload == Workload::PopularityShift && at_ms >= event_ms;
        let adapter = if surging && rng.f64() < SURGE_SHARE {
            // The starting shift uses adapters that were rare before.
            site.adapters / 2 + surge.draw(&mut rng)
        } else {
            let rank = zipf.draw(&mut rng);
            if shifted { (rank + site.adapters / 3) % site.adapters } else { rank }
        };
        arrivals.push(Arrival {
            at_us: at_us as u64,
            adapter: adapter as u32,
            tokens: rng.u32(site.min_tokens..=site.max_tokens),
            customer: rng.u8(0..4),
            hall: rng.u8(0..3),
        });
    }
}
