//! The library of the redwinglatch daemon.
//!
//! [`Instance::start`] opens the sockets of one instance and starts its tasks. Each task owns its
//! state and drives the decisions of the other packages; tasks talk by messages. [`run`] is the
//! whole daemon: it starts an instance and stops it gracefully on SIGTERM or SIGINT.

mod attempts;
mod callers;
mod clock;
mod completion;
mod control;
mod control_client;
mod coordinator;
mod entry;
mod error;
mod instance;
mod listing;
mod once;
mod operators;
mod peers;
mod renewing;
mod secrets;
mod service;
mod shared;
mod status;

pub use error::{ServerError, ServerErrorKind};
pub use instance::{DataFolder, Instance, Listeners, run};
