//! Keys of backend servers and adapters.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One start of a backend server, the same in all processes of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct BackendKey(pub(crate) u64);

impl BackendKey {
    /// A server that starts again under its old id has another key, because it holds nothing of
    /// what it held before.
    pub(crate) fn new(id: &str, address: SocketAddr, born_ms: u64) -> BackendKey {
        let mut hash = Fnv::new();
        hash.write(id.as_bytes());
        hash.write(address.to_string().as_bytes());
        hash.write(&born_ms.to_le_bytes());
        BackendKey(hash.0)
    }
}

/// The name of a model, and of an adapter of it if there is one, as requests state it.
pub(crate) type ModelName = Box<str>;

/// The FNV-1a hash, which is the same in every process and version.
pub(crate) struct Fnv(pub(crate) u64);

impl Fnv {
    pub(crate) fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Mixes the bits of a hash, so that rendezvous weights of similar names differ widely.
pub(crate) fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// A hash of a name.
pub(crate) fn name_hash(name: &str) -> u64 {
    let mut hash = Fnv::new();
    hash.write(name.as_bytes());
    hash.0
}

/// The preference of `name` for a backend server; the highest one is its home.
pub(crate) fn rendezvous(name: &str, backend: BackendKey) -> u64 {
    let mut hash = Fnv::new();
    hash.write(name.as_bytes());
    hash.write(&backend.0.to_le_bytes());
    mix(hash.0)
}
