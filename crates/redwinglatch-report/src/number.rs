//! Formatting of numbers.

/// Formats a number with fewer decimals the larger it is.
#[must_use]
pub fn format_number(value: f64) -> String {
    let decimals = match value.abs() {
        size if 100.0 <= size || size == 0.0 => 0,
        size if 10.0 <= size => 1,
        size if 1.0 <= size => 2,
        _ => 4,
    };
    format!("{value:.decimals$}")
}
