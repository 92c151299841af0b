//! HTTP bodies that are complete only if their source says so, or are held in memory within a budget.
//!
//! [`body_channel`] returns a [`BodySender`] and the [`ChannelBody`] that it feeds. A body whose sender is
//! dropped without [`BodySender::finish`] ends with [`BodyInterrupted`], so that a task that fails or is
//! cancelled never leaves a body that looks complete. [`BufferBudget`] reads whole bodies and bounds the
//! memory of all of them together, with that of the connections that a [`MemoryAccountant`] counts.

mod buffered_body;
mod channel_body;
mod memory_accountant;
mod progress;
mod shared_memory;

pub use buffered_body::{BufferBudget, BufferError, BufferReservation, BufferedBody};
pub use channel_body::{BodyDropped, BodyInterrupted, BodySender, ChannelBody, body_channel};
pub use memory_accountant::{
    BodyAccount, ConnectionId, MemoryAccountant, MemoryBounds, NoRoom, UNREAD_RESPONSE_BYTES,
};
pub use progress::{Activity, ProgressLimit, ProgressLimits};
pub use shared_memory::{BodyMemory, ConnectionMemory, SharedMemory};
