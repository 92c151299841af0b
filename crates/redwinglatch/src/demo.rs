//! `redwinglatch demo`: a small deployment with fakes. Not linked in yet.

use crate::command_error::CommandError;

/// Starts the deployment, shows it at work and stops it.
pub(crate) fn run() -> miette::Result<()> {
    Err(CommandError::new(
        "the demonstration is not linked in yet",
        "use a version that contains it",
    )
    .into())
}
