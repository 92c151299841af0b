//! HTTP bodies that are written by a task and are complete only if it says so.
//!
//! [`body_channel`] returns a [`BodySender`] and the [`ChannelBody`] that it feeds. A body whose sender is
//! dropped without [`BodySender::finish`] ends with [`BodyInterrupted`], so that a task that fails or is
//! cancelled never leaves a body that looks complete.

mod channel_body;

pub use channel_body::{BodyDropped, BodyInterrupted, BodySender, ChannelBody, body_channel};
