//! The error of a failed command.

use std::fmt;

use miette::Diagnostic;
use redwinglatch_operators::{ClientError, ClientErrorKind};

/// The error of a failed command, with advice on how to resolve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CommandError {
    message: String,
    remedy: String,
}

impl CommandError {
    pub(crate) fn new(message: impl Into<String>, remedy: impl Into<String>) -> CommandError {
        CommandError { message: message.into(), remedy: remedy.into() }
    }

    /// Creates the error of a failed change. If no instance responded, the change may have been
    /// made, so the remedy contains its change id for sending it again.
    pub(crate) fn for_change(error: &ClientError, change_id: &str) -> CommandError {
        let remedy = match &error.kind {
            ClientErrorKind::NoResponse { .. } => {
                format!("{}: --change-id {change_id}", error.remedy())
            }
            _ => error.remedy().to_owned(),
        };
        CommandError::new(error.to_string(), remedy)
    }
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> CommandError {
        CommandError::new(error.to_string(), error.remedy())
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CommandError {}

impl Diagnostic for CommandError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.remedy))
    }
}
