//! Explains the outcome of one request from the logs of several processes.
//!
//! [`Explanation::of`] collects the lines of the request from all processes, sorts them by time,
//! and finds the line that decided its outcome. The times come from the wall clocks of the
//! machines, so clocks that differ by more than a few milliseconds can put lines in the wrong
//! order.

mod cause;
mod explanation;
mod log_line;

pub use explanation::Explanation;
pub use log_line::LogLine;
