//! The messages between instances.

use serde::{Deserialize, Serialize};

/// A message between instances, in either direction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerMessage {}
