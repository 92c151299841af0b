//! Limits of the callers' HTTP server.

use crate::section::Section;

/// `[callers]`: limits of the callers' HTTP server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerSettings {
    /// How long callers may cache the list of entry instances.
    pub keep_for_s: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum total size of the headers of a request.
    pub max_header_bytes: usize,
    /// A keep-alive comment is sent on a stream without a token for this long.
    pub keep_alive_ms: u64,
    /// A connection whose write makes no progress for this long is closed.
    pub write_stall_ms: u64,
}

impl CallerSettings {
    pub(crate) fn read(section: &mut Section) -> CallerSettings {
        CallerSettings {
            keep_for_s: section.number("keep_for_s", Some(30), 1..=3_600),
            max_body_bytes: section.number("max_body_bytes", Some(1_048_576), 1..=67_108_864),
            // 8 KiB is the minimum size of hyper's HTTP/1 read buffer.
            max_header_bytes: section.number("max_header_bytes", Some(16_384), 8_192..=1_048_576),
            keep_alive_ms: section.number("keep_alive_ms", Some(5_000), 100..=60_000),
            write_stall_ms: section.number("write_stall_ms", Some(10_000), 100..=600_000),
        }
    }
}
