//! Explains what happened to one request from the logs of several processes.
//!
//! [`Explanation::of`] collects the lines that name the request, puts them in order across the
//! processes, and finds the line that decided its end. Lines are ordered by the wall clocks of their
//! machines, so clocks that differ by more than a few milliseconds can put them in the wrong order.

mod cause;
mod explanation;
mod log_line;

pub use explanation::Explanation;
pub use log_line::LogLine;
