//! TCP and UDP transport with postcard between the system's own processes.
//!
//! A [`Transport`] keeps one outgoing connection to each other instance it talks to. Connections
//! are authenticated both ways with a shared secret, carry checksummed frames, are probed each
//! second and closed after three seconds without a frame, so that a half-open connection is found
//! and replaced within that bound. [`Datagrams`] makes small idempotent calls over UDP, which go on
//! while a TCP connection to the same instance is silent.

mod connection;
mod datagrams;
mod error;
mod frame;
mod handshake;
mod message;
mod transport;
mod transport_event;

pub use datagrams::{DATAGRAM_LIMIT_BYTES, Datagrams};
pub use error::{TransportError, TransportErrorKind};
pub use frame::{FRAME_LIMIT_BYTES, FrameDecoder, encode_frame};
pub use handshake::SharedSecret;
pub use message::{ContractQuery, ControlRefusal, PeerMessage};
pub use transport::{Incoming, Transport, TransportSettings};
pub use transport_event::TransportEvent;
