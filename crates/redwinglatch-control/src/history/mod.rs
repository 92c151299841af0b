//! Checkers of recorded histories of concurrent runs.
//!
//! A run records requests and responses with start and end times on one clock. Afterwards
//! [`check_contracts`] checks whether each customer's contract behaved like one compare-and-set
//! register that never reverts, and [`check_once`] whether marked requests ran at most once.
//! Times that are equal count as concurrent.
//!
//! ```
//! use redwinglatch_control::history::{ContractWrite, WriteResult, check_contracts};
//! use redwinglatch_core::Revision;
//!
//! let write = |expected, start, end, result| ContractWrite {
//!     customer: "lakeshore".into(),
//!     expected: Revision(expected),
//!     content_digest: Some(end),
//!     start,
//!     end: Some((end, result)),
//! };
//! let first = write(0, 1, 2, WriteResult::Accepted { revision: Revision(5) });
//! let second = write(0, 3, 4, WriteResult::Accepted { revision: Revision(6) });
//! // The second write ignored the first one.
//! assert!(check_contracts(&[first, second], &[]).is_err());
//! ```

mod contracts;
mod once;

pub use contracts::{
    ContractDecision, ContractViolation, ContractWrite, WriteResult, check_contracts,
};
pub use once::{OnceEvent, OnceReply, OnceViolation, check_once};
