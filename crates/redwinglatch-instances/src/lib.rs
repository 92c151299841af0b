//! TCP and UDP transport between instances, with messages encoded by postcard.
//!
//! A [`Transport`] keeps one outgoing connection to each instance that it sends messages to.
//! Connections are mutually authenticated with a shared secret and carry checksummed frames. Both
//! sides send a ping each second, and a connection is closed after three seconds without received
//! bytes, so that a half-open connection is detected and replaced within that time.
//! [`DatagramTransport`] makes small idempotent calls over UDP, which still work while the TCP
//! connection to the same instance stalls.

mod connection;
mod datagram_transport;
mod error;
mod frame;
mod handshake;
mod message;
mod transport;
mod transport_event;

pub use datagram_transport::{DATAGRAM_LIMIT_BYTES, DatagramTransport};
pub use error::{TransportError, TransportErrorKind};
pub use frame::{FRAME_LIMIT_BYTES, FrameDecoder, encode_frame};
pub use handshake::SharedSecret;
pub use message::{ContractQuery, ControlRefusal, PeerMessage};
pub use transport::{IncomingMessage, Transport, TransportSettings};
pub use transport_event::TransportEvent;
