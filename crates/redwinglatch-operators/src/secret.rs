//! Secrets that authenticate clients, read from a file.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use log::{info, warn};
use redwinglatch_metrics::{Counter, Metrics};
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;
use tokio::time::MissedTickBehavior;

const MIN_SECRET_BYTES: usize = 16;
const MAX_SECRET_BYTES: usize = 256;
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// An error in a secret file.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SecretError {
    /// The file could not be read.
    #[error("the secret file {path} can't be read: {source}; check the path and the permissions")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file has only empty lines.
    #[error(
        "the secret file {path} has no secret; write one secret of {MIN_SECRET_BYTES} to \
         {MAX_SECRET_BYTES} characters on a line"
    )]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// A line is too short, too long, or has a character that is not allowed.
    #[error(
        "line {line} of the secret file {path} is not a valid secret; write {MIN_SECRET_BYTES} to \
         {MAX_SECRET_BYTES} visible ASCII characters without spaces"
    )]
    BadLine {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
    },
}

/// The secrets in a file, one per line. All of them are valid at the same time, so that a new
/// secret can be added before the old one is removed. Secrets never appear in logs or debug output.
pub struct SecretFile {
    path: PathBuf,
    secrets: RwLock<Arc<[Secret]>>,
}

/// A secret padded to a fixed length, so that a comparison takes the same time for every secret.
#[derive(Clone, PartialEq, Eq)]
struct Secret {
    padded: [u8; MAX_SECRET_BYTES],
    length: u64,
}

impl Secret {
    fn new(text: &[u8]) -> Option<Secret> {
        let mut padded = [0; MAX_SECRET_BYTES];
        padded.get_mut(..text.len())?.copy_from_slice(text);
        Some(Secret { padded, length: text.len() as u64 })
    }

    fn matches(&self, other: &Secret) -> Choice {
        self.padded.ct_eq(&other.padded) & self.length.ct_eq(&other.length)
    }
}

impl SecretFile {
    /// Reads the secrets in the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, has no secret or has an invalid line.
    pub fn open(path: impl Into<PathBuf>) -> Result<SecretFile, SecretError> {
        let path = path.into();
        let secrets = RwLock::new(read_secrets(&path)?);
        Ok(SecretFile { path, secrets })
    }

    /// Returns whether `text` is one of the secrets. Takes the same time for every text of a valid
    /// length.
    #[must_use]
    pub fn matches(&self, text: &[u8]) -> bool {
        let Some(candidate) = Secret::new(text) else {
            return false;
        };
        let secrets = self.secrets.read().unwrap_or_else(PoisonError::into_inner).clone();
        let is_match = secrets
            .iter()
            .fold(Choice::from(0), |is_match, secret| is_match | secret.matches(&candidate));
        is_match.into()
    }

    /// Reads the file again and returns whether the secrets changed. On an error the previous
    /// secrets stay valid.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, has no secret or has an invalid line.
    pub fn reload(&self) -> Result<bool, SecretError> {
        let secrets = read_secrets(&self.path)?;
        let mut current = self.secrets.write().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *current != secrets;
        *current = secrets;
        Ok(is_changed)
    }

    /// Reloads the file every second. The future never completes.
    pub async fn watch(&self, metrics: &Metrics) {
        let mut interval = tokio::time::interval(RELOAD_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_failure_logged = false;
        loop {
            interval.tick().await;
            match self.reload() {
                Ok(true) => {
                    metrics.increment(Counter::SecretsReplaced);
                    info!("operators: the secrets in {} were replaced", self.path.display());
                    is_failure_logged = false;
                }
                Ok(false) => is_failure_logged = false,
                Err(error) if !is_failure_logged => {
                    warn!("operators: the previous secrets stay valid: {error}");
                    is_failure_logged = true;
                }
                Err(_) => {}
            }
        }
    }
}

impl fmt::Debug for SecretFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretFile").field("path", &self.path).finish_non_exhaustive()
    }
}

fn read_secrets(path: &Path) -> Result<Arc<[Secret]>, SecretError> {
    let text = std::fs::read(path)
        .map_err(|source| SecretError::Unreadable { path: path.to_owned(), source })?;
    let mut secrets = Vec::new();
    for (index, line) in text.split(|byte| *byte == b'\n').enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        let is_valid = line.len() >= MIN_SECRET_BYTES && line.iter().all(u8::is_ascii_graphic);
        let secret = Secret::new(line).filter(|_| is_valid);
        secrets.push(secret.ok_or(SecretError::BadLine { path: path.into(), line: index + 1 })?);
    }
    if secrets.is_empty() {
        return Err(SecretError::Empty { path: path.to_owned() });
    }
    Ok(secrets.into())
}
