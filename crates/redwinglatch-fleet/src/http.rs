//! HTTP/1.1 client with one connection per request in flight, and HTTP/1.1 servers.

mod client;
mod server;

pub(crate) use client::{CallError, ConnectionLease, HttpClient, SendError};
pub(crate) use server::{Body, ServerLimits, bind, serve};
