//! Small `Copy` identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! define_id {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

define_id! {
    /// Identifies an instance; set in its settings and unchanged by restarts.
    InstanceId(u32)
}
define_id! {
    /// Identifies one run of an instance's process; drawn at random when the process starts.
    Incarnation(u64)
}
define_id! {
    /// Identifies a replica of the log; a replica that lost its disk gets a new identifier.
    ReplicaId(u32)
}
define_id! {
    /// Identifies an engine within the process that interned its name.
    EngineId(u32)
}
define_id! {
    /// Identifies a cell: the engine pools that share one weight store and one coordinator.
    CellId(u16)
}
define_id! {
    /// Identifies a customer within the process that interned its name.
    CustomerId(u32)
}
define_id! {
    /// Numbers the successive coordinators of a cell; the fencing token of every engine order.
    Epoch(u64)
}
define_id! {
    /// Identifies an accepted configuration change by its log index.
    Revision(u64)
}
define_id! {
    /// Identifies a pin on an adapter; unique within one epoch of a cell's coordinator.
    PinId(u64)
}
define_id! {
    /// Identifies a request within the incarnation of the instance that accepted it.
    RequestId(u64)
}
