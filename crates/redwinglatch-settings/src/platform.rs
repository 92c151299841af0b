//! Settings of the platform's backend list.

use std::net::SocketAddr;

use crate::section::Section;

/// `[platform]`: the platform's backend list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the server of the backend list.
    pub list_address: SocketAddr,
    /// Interval between reads of the backend list.
    pub poll_ms: u64,
}

impl PlatformSettings {
    pub(crate) fn read(section: &mut Section) -> PlatformSettings {
        PlatformSettings {
            list_address: section.required_address("list_address"),
            // A backend server must receive no new requests 3 s after it is listed as leaving.
            poll_ms: section.number("poll_ms", Some(1_000), 50..=3_000),
        }
    }
}
