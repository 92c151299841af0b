//! The replicated log of redwinglatch, an implementation of Raft: elections, replication,
//! membership changes, snapshots and the disk storage of a replica.
//!
//! [`Replica`] is a state machine that does no I/O and reads no clock; [`Storage`] persists its
//! state in one folder. A driver connects the two to the transport:
//!
//! ```
//! use redwinglatch_core::ReplicaId;
//! use redwinglatch_log::{Effects, Membership, Replica, ReplicaConfig, Storage, StorageError};
//!
//! /// Performs all effects; called after each input to the replica.
//! fn drive(
//!     replica: &mut Replica,
//!     storage: &mut Storage,
//!     mut perform: impl FnMut(&mut Replica, Effects),
//! ) -> Result<(), StorageError> {
//!     loop {
//!         let effects = replica.take_effects();
//!         if effects.is_empty() {
//!             return Ok(());
//!         }
//!         if let Some(write) = effects.write {
//!             // Hard state, snapshot, truncation and append, then one sync.
//!             if let Err(error) = storage.save(&effects) {
//!                 replica.halt();
//!                 return Err(error);
//!             }
//!             replica.persisted(write);
//!         }
//!         // Sends `messages`, restores `restore`, applies `committed`, completes `reads`.
//!         perform(replica, effects);
//!     }
//! }
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # let dir = std::env::temp_dir().join(format!("redwinglatch-log-doc-{}", std::process::id()));
//! let id = ReplicaId(1);
//! let (mut storage, durable_state) = Storage::open(&dir, id)?;
//! let config = ReplicaConfig::new(id, Membership::new([id]));
//! let mut replica = Replica::new(config, durable_state, 0, fastrand::Rng::with_seed(7))?;
//! replica.tick(replica.next_tick_ms());
//! drive(&mut replica, &mut storage, |_, _| {})?;
//! let index = replica.propose(&b"change"[..], 2000)?;
//! drive(&mut replica, &mut storage, |_, _| {})?;
//! assert_eq!(replica.commit_index(), index);
//! # std::fs::remove_dir_all(dir)?;
//! # Ok(())
//! # }
//! ```
//!
//! The loop runs until the effects are empty, because [`Replica::persisted`] releases the votes
//! and acknowledgements that depend on the write; the next [`Effects`] contain them. Messages may
//! be sent at any time after they were taken, even before the write of the same effects.
//!
//! # Requirements on the driver
//!
//! - [`ReplicaConfig::initial_membership`] is the same on all initial replicas and empty on a
//!   replica that joins later. A replica that lost its disk joins with a new id.
//! - After a storage error, call [`Replica::halt`] and report the error; never open the folder
//!   again in the same process.
//! - When [`Replica::snapshot_due`] returns true, pass the state machine's state after the last
//!   applied entry to [`Replica::compact`].
//! - A proposal is committed once the entry with its index appears in [`Effects::committed`] with
//!   the term in which it was proposed ([`Replica::term`] right after the call). Until then its
//!   outcome is unknown, also after a loss of leadership; an entry of another term at that index
//!   means that the proposal was discarded.

mod config;
mod effects;
mod entry;
mod membership;
mod memory_log;
mod message;
mod progress;
mod replica;
mod storage;
mod wire;
mod write_queue;

pub use config::{ConfigError, ReplicaConfig};
pub use effects::{
    Effects, NotLeader, OutgoingMessage, ProposeError, ReadId, ReadOutcome, TransferError, WriteId,
};
pub use entry::{
    DurableState, Entry, EntryKind, HardState, Index, MAX_ENTRY_BYTES, Snapshot, Term,
};
pub use membership::{Membership, MembershipChange, MembershipError};
pub use message::{
    AppendResult, LeaderStamp, LogMessage, MAX_MESSAGE_BYTES, MessageError, MessageKind,
};
pub use replica::{Replica, ReplicaRole};
pub use storage::{
    FileOps, FolderLock, OpenFile, RecordError, Storage, StorageError, decode_record, encode_record,
};
