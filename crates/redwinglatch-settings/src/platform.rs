//! The platform's list of instances.

use std::net::SocketAddr;

use crate::section::Section;

/// `[platform]`: the platform's list of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Where the list is served.
    pub list_address: SocketAddr,
    /// How often the list is read.
    pub poll_ms: u64,
}

impl PlatformSettings {
    pub(crate) fn read(section: &mut Section) -> PlatformSettings {
        PlatformSettings {
            list_address: section.address("list_address"),
            // A leaving backend server receives no new work after 3 s.
            poll_ms: section.number("poll_ms", Some(1_000), 50..=3_000),
        }
    }
}
