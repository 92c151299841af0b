//! Errors that keep an instance from starting or running.

use std::fmt;

use thiserror::Error;

/// Cause of a [`ServerError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ServerErrorKind {
    /// An address could not be bound.
    Bind,
    /// A secret file could not be read.
    Secret,
    /// The data folder of the log replica could not be opened.
    Storage,
    /// Settings contradict each other, or the process can't receive signals.
    Settings,
}

/// An error with its context and a remedy.
#[derive(Debug, Error)]
#[error("{context}: {detail}; {}", remedy(*.kind))]
pub struct ServerError {
    /// The cause, which determines the remedy.
    pub kind: ServerErrorKind,
    context: Box<str>,
    detail: Box<str>,
}

impl ServerError {
    pub(crate) fn new(
        kind: ServerErrorKind,
        context: impl Into<Box<str>>,
        detail: impl fmt::Display,
    ) -> ServerError {
        ServerError { kind, context: context.into(), detail: detail.to_string().into() }
    }
}

fn remedy(kind: ServerErrorKind) -> &'static str {
    match kind {
        ServerErrorKind::Bind => "free the address or change it in the settings",
        ServerErrorKind::Secret => "create the file with one secret and make it readable",
        ServerErrorKind::Storage => "repair or replace the data folder as docs/OPERATING.md says",
        ServerErrorKind::Settings => {
            "correct the settings; `redwinglatchd --check` lists all problems"
        }
    }
}
