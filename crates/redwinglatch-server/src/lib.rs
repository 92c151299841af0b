//! The library behind the redwinglatch daemon.
//!
//! [`Instance::start`] opens the sockets of one instance and starts its tasks. Each task owns its
//! state, calls the decision logic in the other crates and exchanges messages with the other tasks.
//! [`run`] is the whole daemon: it starts an instance and stops it gracefully on SIGTERM, SIGINT or
//! an operator's request.

mod backend_failure;
mod backend_list;
mod callers;
mod clock;
mod completion;
mod control;
mod control_client;
mod coordinator;
mod entry;
mod error;
mod instance;
mod instance_context;
mod lease_renewal;
mod once_claim;
mod operators;
mod peers;
mod secrets;
mod service;
mod status;

pub use error::{ServerError, ServerErrorKind};
pub use instance::{DataFolder, Instance, Listeners, run};
