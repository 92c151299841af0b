//! HTTP/1.1 client with one connection per request in flight, and HTTP/1.1 servers.

mod answer_filter;
mod client;
mod framing;
mod metered;
mod request_connection;
mod retry_after;
mod server;

pub(crate) use client::{CallError, CallLimits, ConnectionLease, HttpClient, SendError};
pub(crate) use framing::BodyFraming;
pub(crate) use request_connection::{ReadBodyError, RequestConnection};
pub(crate) use retry_after::unavailable_for_ms;
pub(crate) use server::{Body, PeerAddress, ServerLimits, ServerMemory, bind, serve};
