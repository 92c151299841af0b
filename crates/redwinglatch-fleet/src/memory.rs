//! How the memory and the file descriptors of a process are divided among the clients of its servers.
//!
//! Each server has a part of its own, so that a flood at one of them leaves the others as they are. What is left is
//! for the process itself: its code and state, links, and connections to servers.

use redwinglatch_body::{MemoryBounds, SharedMemory};

use crate::ProcessLimits;

/// Memory of a connection without a body: hyper's buffers for reading and writing, of up to 16 KiB and 8 KiB, the
/// parsed fields of a head, and the state of its task.
const CONNECTION_BYTES: usize = 32 << 10;
const MEGABYTE: usize = 1_000_000;

/// The parts of one server, in thousandths of the process's memory and file descriptors.
#[derive(Debug, Clone, Copy)]
struct Part {
    memory: usize,
    /// The part of the memory that the large parts of bodies may take.
    large_bodies: usize,
    descriptors: usize,
}

impl Part {
    fn bounds(self, limits: ProcessLimits) -> MemoryBounds {
        let memory_bytes = limits.memory_mb * MEGABYTE;
        MemoryBounds {
            total_bytes: memory_bytes / 1_000 * self.memory,
            large_bytes: memory_bytes / 1_000 * self.large_bodies,
            connection_bytes: CONNECTION_BYTES,
            connections: limits.max_fds * self.descriptors / 1_000,
        }
    }

    fn share(self, limits: ProcessLimits) -> SharedMemory {
        SharedMemory::new(self.bounds(limits))
    }
}

const FRONT: Part = Part { memory: 400, large_bodies: 200, descriptors: 400 };
/// Other processes keep idle connections, and theirs must not be closed while they may use them again.
const RELAY: Part = Part { memory: 100, large_bodies: 50, descriptors: 120 };
const DIRECTORY: Part = Part { memory: 50, large_bodies: 0, descriptors: 80 };
const READY: Part = Part { memory: 30, large_bodies: 0, descriptors: 40 };
const METRICS: Part = Part { memory: 20, large_bodies: 0, descriptors: 30 };
const CONTROL: Part = Part { memory: 120, large_bodies: 50, descriptors: 100 };

/// The memory that clients of an entry process may hold.
#[derive(Debug)]
pub(crate) struct EntryMemory {
    /// Also for responses of servers that are buffered as a whole.
    pub(crate) front: SharedMemory,
    pub(crate) relay: SharedMemory,
    pub(crate) directory: SharedMemory,
    pub(crate) ready: SharedMemory,
    pub(crate) metrics: SharedMemory,
}

impl EntryMemory {
    pub(crate) fn new(limits: ProcessLimits) -> EntryMemory {
        EntryMemory {
            front: FRONT.share(limits),
            relay: RELAY.share(limits),
            directory: DIRECTORY.share(limits),
            ready: READY.share(limits),
            metrics: METRICS.share(limits),
        }
    }
}

/// The memory that clients of a core process may hold.
#[derive(Debug)]
pub(crate) struct CoreMemory {
    pub(crate) control: SharedMemory,
    pub(crate) metrics: SharedMemory,
}

impl CoreMemory {
    pub(crate) fn new(limits: ProcessLimits) -> CoreMemory {
        CoreMemory { control: CONTROL.share(limits), metrics: METRICS.share(limits) }
    }
}

#[cfg(test)]
mod tests;
