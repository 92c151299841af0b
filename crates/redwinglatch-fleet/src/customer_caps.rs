//! Caps of customers as the configuration states them.

use redwinglatch_admission::{CapBounds, CustomerCap};
use redwinglatch_routing::{RouteTable, UsageLimit, UsageUnit};

/// Returns the cap that a limit stands for. The slack is one of tokens.
pub(crate) fn cap_of(limit: &UsageLimit, bounds: CapBounds) -> CustomerCap {
    let slack = match limit.unit {
        UsageUnit::Tokens { .. } => bounds.slack,
        UsageUnit::Requests => 0,
    };
    CustomerCap::new(limit.rate_milli, limit.burst, slack, bounds)
}

/// Returns the caps of all customers that have one.
pub(crate) fn caps_of(
    table: &RouteTable,
    bounds: CapBounds,
) -> impl Iterator<Item = (Box<str>, CustomerCap)> {
    let customers = table.configuration().customers.iter().flatten();
    customers.filter_map(move |customer| {
        let limit = customer.limit.as_ref()?;
        Some((customer.name.clone(), cap_of(limit, bounds)))
    })
}
