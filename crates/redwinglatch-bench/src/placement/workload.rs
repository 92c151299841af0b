//! The workloads of section 1.1 of the design page, as arrivals on virtual time.

/// Size and load of a customer's cell.
#[derive(Debug, Clone)]
pub(crate) struct CellProfile {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) slots: usize,
    pub(crate) max_batch: usize,
    pub(crate) adapters: usize,
    /// Number of concurrent loads that the store serves at full speed.
    pub(crate) parallel_loads: usize,
    /// Duration of one load at full speed.
    pub(crate) load_us: u64,
    pub(crate) rate_per_s: f64,
    pub(crate) budget_ms: u64,
    pub(crate) min_tokens: u32,
    pub(crate) max_tokens: u32,
    /// Exponent of the Zipf distribution of the adapters' popularity.
    pub(crate) zipf_exponent: f64,
}

impl CellProfile {
    /// Lakeshore Clearwall Services: 3 loads/s, one at a time.
    pub(crate) fn great_lakes() -> CellProfile {
        CellProfile {
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
            zipf_exponent: 1.2,
        }
    }

    /// Příručka Družstvo Brno: 4.5 loads/s, two at a time.
    pub(crate) fn cz_morava() -> CellProfile {
        CellProfile {
            name: "cz-morava",
            engines: 18,
            parallel_loads: 2,
            load_us: 444_444,
            rate_per_s: 12.0,
            budget_ms: 12_000,
            ..CellProfile::great_lakes()
        }
    }
}

/// A workload: the request pattern and the faults of a run.
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

    /// Returns the fraction of loads that fail.
    pub(crate) fn load_failure_share(self) -> f64 {
        if self == Workload::FailedLoads { 0.1 } else { 0.0 }
    }

    /// Returns the delay of reports in milliseconds and the fraction of reports that are lost.
    pub(crate) fn report_delivery(self) -> (u64, f64) {
        if self == Workload::LaggingReports { (1_500, 0.3) } else { (5, 0.0) }
    }
}

/// The period of virtual time that is measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MeasuredPeriod {
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

impl MeasuredPeriod {
    pub(crate) fn new(short: bool) -> MeasuredPeriod {
        if short {
            MeasuredPeriod { from_ms: 120_000, until_ms: 300_000 }
        } else {
            MeasuredPeriod { from_ms: 120_000, until_ms: 420_000 }
        }
    }

    /// Returns the time of the workload's event, after a third of the measured period.
    pub(crate) fn event_ms(self) -> u64 {
        self.from_ms + (self.until_ms - self.from_ms) / 3
    }
}

/// The arrival of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) adapter: u32,
    pub(crate) tokens: u32,
    pub(crate) customer: u8,
    pub(crate) data_centre: u8,
}

/// A Zipf distribution of ranks.
#[derive(Debug)]
pub(crate) struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    pub(crate) fn new(count: usize, exponent: f64) -> Zipf {
        let mut total = 0.0;
        let cumulative = (1..=count)
            .map(|rank| {
                total += (rank as f64).powf(-exponent);
                total
            })
            .collect();
        Zipf { cumulative }
    }

    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let at = rng.f64() * total;
        self.cumulative.partition_point(|it| *it < at).min(self.cumulative.len() - 1)
    }
}

/// Duration of the surge at the start of a shift.
const SURGE_MS: u64 = 60_000;
/// Factor by which the request rate is higher during the surge.
const SURGE_RATE: f64 = 4.0;
/// Number of adapters that the staff of the starting shift uses, and the fraction of the surge's
/// requests that are for them.
const SURGE_ADAPTERS: usize = 40;
const SURGE_SHARE: f64 = 0.9;
/// Factors by which the request rate is higher at full load, and when the store is at its limit.
const FULL_LOAD_RATE: f64 = 1.25;
const STORE_LIMIT_RATE: f64 = 1.75;

/// Returns all requests of a run in order of arrival.
pub(crate) fn arrivals(
    cell: &CellProfile,
    workload: Workload,
    period: MeasuredPeriod,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let zipf = Zipf::new(cell.adapters, cell.zipf_exponent);
    let surge = Zipf::new(SURGE_ADAPTERS, cell.zipf_exponent);
    let event_ms = period.event_ms();
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    loop {
        let at_ms = (at_us / 1e3) as u64;
        let is_surging =
            workload == Workload::ShiftStart && (event_ms..event_ms + SURGE_MS).contains(&at_ms);
        let rate_factor = match workload {
            Workload::ShiftStart if is_surging => SURGE_RATE,
            Workload::PopularityShift => FULL_LOAD_RATE,
            Workload::StoreLimit => STORE_LIMIT_RATE,
            _ => 1.0,
        };
        at_us += -rng.f64().max(1e-12).ln() / (cell.rate_per_s * rate_factor) * 1e6;
        if at_us >= period.until_ms as f64 * 1e3 {
            return arrivals;
        }
        let is_shifted = workload == Workload::PopularityShift && at_ms >= event_ms;
        let adapter = if is_surging && rng.f64() < SURGE_SHARE {
            // The starting shift uses adapters that were rarely used before.
            cell.adapters / 2 + surge.draw(&mut rng)
        } else {
            let rank = zipf.draw(&mut rng);
            if is_shifted { (rank + cell.adapters / 3) % cell.adapters } else { rank }
        };
        arrivals.push(Arrival {
            at_us: at_us as u64,
            adapter: adapter as u32,
            tokens: rng.u32(cell.min_tokens..=cell.max_tokens),
            customer: rng.u8(0..4),
            data_centre: rng.u8(0..3),
        });
    }
}
