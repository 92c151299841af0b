//! The way on which a request is sent next.

use crate::entry::{EntryContext, relay::RequestOrigin};

use super::{PreparedRequest, RequestAttempts};

/// Connections to different servers that must fail before another process is asked, although the path to the
/// service doesn't count as lost.
const MAX_UNSENT_ATTEMPTS: usize = 2;

/// The ways on which a request may reach a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// This process sends it to a server.
    Own,
    /// Another process sends it, or else this one.
    OtherProcessFirst,
    /// Only another process can send it.
    OtherProcess,
}

/// Chooses the way of the next attempt.
///
/// A request that another process has passed on isn't passed on again: where the path is lost, it is refused.
pub(super) fn choose_way(
    context: &EntryContext,
    prepared: &PreparedRequest,
    attempts: &RequestAttempts,
) -> Way {
    let now_ms = context.now_ms();
    let view = context.fleet_view();
    let is_lost = view.is_path_lost(&prepared.service);
    let may_use_kept =
        attempts.unreached.is_empty() && view.has_sound_connections(now_ms, &prepared.service);
    if is_lost && !may_use_kept {
        Way::OtherProcess
    } else if attempts.unreached.len() >= MAX_UNSENT_ATTEMPTS
        && prepared.origin() == RequestOrigin::Caller
    {
        Way::OtherProcessFirst
    } else {
        Way::Own
    }
}
