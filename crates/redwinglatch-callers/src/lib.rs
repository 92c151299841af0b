//! The HTTP server towards callers.
//!
//! [`serve`] owns the listening socket and the connections. Each request is parsed, bounded and
//! handed over as a [`CallerCall`]; the receiver answers with a [`CallerAnswer`]. The package
//! takes no decisions about contracts, limits or routing.

mod answer;
mod call;
mod parse;
mod render;
mod server;

pub use answer::{CallerAnswer, CallerEvent, EntriesDocument, EntryDocument, RanOn};
pub use call::{CallHeaders, CallKind, CallerCall, CompletionCall, ServiceCall};
pub use server::{CallerSettings, serve};
