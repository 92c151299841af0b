//! The HTTP server for callers.
//!
//! [`serve`] owns the listening socket and the connections. It reads each request within size and
//! time limits, parses it and sends it as a [`CallerCall`] to the receiver, which replies with a
//! [`CallerResponse`]. This crate makes no decisions about contracts, rate limits or routing.

mod call;
mod parse;
mod render;
mod response;
mod server;

pub use call::{CallHeaders, CallKind, CallerCall, CompletionCall, ServiceCall};
pub use response::{CallerEvent, CallerResponse, EntriesDocument, EntryDocument, ServedBy};
pub use server::{CallerSettings, serve};
