//! HTTP/1.1 on both sides: a client with a connection for each request in flight, and small servers.

mod client;
mod server;

pub(crate) use client::{CallError, HttpClient, Lease, SendError};
pub(crate) use server::{Body, ServerLimits, bind, serve};
