//! The attempts to send one request.

use std::fmt::{self, Display};

use redwinglatch_routing::Route;
use smallvec::SmallVec;

use crate::ids::BackendKey;

/// Maximum number of times that a request is sent, whether or not it was executed.
pub(crate) const MAX_SENDS: u32 = 4;

/// Attempts to send a request, also those of a process that has passed it on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RequestAttempts {
    /// Number of times that the request was sent.
    pub(crate) sent: u32,
    /// Number of attempts that may have been executed.
    pub(crate) maybe_executed: u32,
    /// Servers whose connections failed before anything was sent. Another process may reach them.
    pub(super) unreached: SmallVec<[BackendKey; 4]>,
    /// The request counts for the retry budget.
    pub(super) is_counted: bool,
    /// Servers that must not receive the request again, also those that weren't reached.
    pub(crate) excluded: SmallVec<[BackendKey; 4]>,
}

impl RequestAttempts {
    /// Reads the attempts of a process that passes the request on. What can't be read counts as no attempt.
    pub(crate) fn of_other_process(text: &str) -> RequestAttempts {
        let field = |name: &str| {
            let mut fields = text.split(' ').filter_map(|field| field.split_once('='));
            fields.find(|(found, _)| *found == name).map(|(_, value)| value)
        };
        let number = |name| field(name).and_then(|value| value.parse().ok()).unwrap_or_default();
        let servers = field("servers").unwrap_or_default().split(',');
        let excluded = servers.filter_map(|key| u64::from_str_radix(key, 16).ok()).map(BackendKey);
        RequestAttempts {
            sent: number("sent"),
            maybe_executed: number("ran"),
            unreached: SmallVec::new(),
            is_counted: number("counted") > 0,
            excluded: excluded.collect(),
        }
    }

    /// Returns whether the request may be sent once more.
    pub(super) fn allow_another(&self, route: &Route) -> bool {
        self.sent < MAX_SENDS
            && self.maybe_executed < route.max_attempts.max(1)
            && (self.maybe_executed == 0 || route.kind.may_repeat())
    }
}

/// Writes the attempts that reached a server, for a process to which the request is passed on.
impl Display for RequestAttempts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestAttempts { maybe_executed, unreached, excluded, .. } = self;
        let sent = (self.sent as usize).saturating_sub(unreached.len());
        let counted = u8::from(self.is_counted);
        let reached = excluded.iter().filter(|server| !unreached.contains(server));
        let servers: Vec<String> = reached.map(|server| format!("{:x}", server.0)).collect();
        let servers = servers.join(",");
        write!(formatter, "sent={sent} ran={maybe_executed} counted={counted} servers={servers}")
    }
}

#[cfg(test)]
mod tests;
