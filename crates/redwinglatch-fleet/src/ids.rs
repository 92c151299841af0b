//! Keys of backend servers, names of models, and hash functions over them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a backend server. Every process of the fleet derives the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct BackendKey(pub(crate) u64);

impl BackendKey {
    /// Hashes the id, address and start time. A server that restarts under the same id gets a new
    /// key, because a restart unloads its models.
    pub(crate) fn new(id: &str, address: SocketAddr, started_unix_ms: u64) -> BackendKey {
        let mut hash = FnvHasher::new();
        hash.write(id.as_bytes());
        hash.write(address.to_string().as_bytes());
        hash.write(&started_unix_ms.to_le_bytes());
        BackendKey(hash.0)
    }
}

/// Identifies a version of the software of a service's backend servers. Every process of the fleet derives the
/// same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct SoftwareVersion(pub(crate) u64);

impl SoftwareVersion {
    /// Hashes the names of the service and of the version.
    pub(crate) fn new(service: &str, version: &str) -> SoftwareVersion {
        let mut hash = FnvHasher::new();
        hash.write(service.as_bytes());
        hash.write(&[0]);
        hash.write(version.as_bytes());
        SoftwareVersion(mix_bits(hash.0))
    }
}

/// Identifies a stream by the id of the caller's attempt that brought its first event. Every process of the
/// fleet derives the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct StreamKey(pub(crate) u64);

impl StreamKey {
    pub(crate) fn new(attempt_id: &str) -> StreamKey {
        StreamKey(mix_bits(name_hash(attempt_id)))
    }
}

/// The name of a model, or of an adapter as `MODEL/ADAPTER`, in the form that requests use.
pub(crate) type ModelName = Box<str>;

/// Returns whether `model` names an adapter, and not a base model.
pub(crate) fn is_adapter(model: &str) -> bool {
    model.contains('/')
}

/// FNV-1a hasher, whose result is the same in every process and version.
pub(crate) struct FnvHasher(pub(crate) u64);

impl FnvHasher {
    pub(crate) fn new() -> FnvHasher {
        FnvHasher(0xcbf2_9ce4_8422_2325)
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Finalizes a hash (as MurmurHash3 does), so that similar names get unrelated rendezvous weights.
pub(crate) fn mix_bits(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Hashes a name with FNV-1a.
pub(crate) fn name_hash(name: &str) -> u64 {
    let mut hash = FnvHasher::new();
    hash.write(name.as_bytes());
    hash.0
}

/// Rendezvous weight of a backend server for `name`; the server with the highest weight is
/// preferred.
pub(crate) fn rendezvous_weight(name: &str, backend: BackendKey) -> u64 {
    let mut hash = FnvHasher::new();
    hash.write(name.as_bytes());
    hash.write(&backend.0.to_le_bytes());
    mix_bits(hash.0)
}
