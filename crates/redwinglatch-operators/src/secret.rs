//! The secret of operators, read from a file.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use log::{info, warn};
use redwinglatch_metrics::{Counter, Metrics};
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;
use tokio::time::MissedTickBehavior;

const SHORTEST_BYTES: usize = 16;
const LONGEST_BYTES: usize = 256;
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Why a secret file can't be used.
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
    /// The file has no line that can be a secret.
    #[error(
        "the secret file {path} has no secret; write one secret of {SHORTEST_BYTES} to \
         {LONGEST_BYTES} characters on a line"
    )]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// A line is too short or too long.
    #[error(
        "line {line} of the secret file {path} is no secret; write {SHORTEST_BYTES} to \
         {LONGEST_BYTES} visible ASCII characters without spaces"
    )]
    BadLine {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
    },
}

/// The secrets in a file, one a line. Each of them is valid, so that a new secret can be added
/// before the old one is removed. The value never shows in logs or debug output.
pub struct SecretFile {
    path: PathBuf,
    secrets: RwLock<Arc<[Secret]>>,
}

/// A secret padded to one length, so that comparing takes the same time for every secret.
#[derive(Clone, PartialEq, Eq)]
struct Secret {
    padded: [u8; LONGEST_BYTES],
    length: u64,
}

impl Secret {
    fn new(text: &[u8]) -> Option<Secret> {
        let mut padded = [0; LONGEST_BYTES];
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
    /// Says why the file can't be used.
    pub fn open(path: impl Into<PathBuf>) -> Result<SecretFile, SecretError> {
        let path = path.into();
        let secrets = RwLock::new(read(&path)?);
        Ok(SecretFile { path, secrets })
    }

    /// Whether `text` is one of the secrets; takes the same time for every text of a valid length.
    #[must_use]
    pub fn matches(&self, text: &[u8]) -> bool {
        let Some(offered) = Secret::new(text) else {
            return false;
        };
        let secrets = self.secrets.read().unwrap_or_else(PoisonError::into_inner).clone();
        let found =
            secrets.iter().fold(Choice::from(0), |found, secret| found | secret.matches(&offered));
        found.into()
    }

    /// Reads the file again. The former secrets stay valid if it can't be used.
    ///
    /// # Errors
    ///
    /// Says why the file can't be used.
    pub fn reload(&self) -> Result<bool, SecretError> {
        let secrets = read(&self.path)?;
        let mut current = self.secrets.write().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *current != secrets;
        *current = secrets;
        Ok(is_changed)
    }

    /// Reads the file again each second. Ends only when it is dropped.
    pub async fn watch(&self, metrics: &Metrics) {
        let mut interval = tokio::time::interval(WATCH_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_reported = false;
        loop {
            interval.tick().await;
            match self.reload() {
                Ok(true) => {
                    metrics.increment(Counter::SecretsReplaced);
                    info!("operators: the secrets in {} were replaced", self.path.display());
                    is_reported = false;
                }
                Ok(false) => is_reported = false,
                Err(error) if !is_reported => {
                    warn!("operators: the former secrets stay valid: {error}");
                    is_reported = true;
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

fn read(path: &Path) -> Result<Arc<[Secret]>, SecretError> {
    let text = std::fs::read(path)
        .map_err(|source| SecretError::Unreadable { path: path.to_owned(), source })?;
    let mut secrets = Vec::new();
    for (index, line) in text.split(|byte| *byte == b'\n').enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        let is_secret = line.len() >= SHORTEST_BYTES && line.iter().all(u8::is_ascii_graphic);
        let secret = Secret::new(line).filter(|_| is_secret);
        secrets.push(secret.ok_or(SecretError::BadLine { path: path.into(), line: index + 1 })?);
    }
    if secrets.is_empty() {
        return Err(SecretError::Empty { path: path.to_owned() });
    }
    Ok(secrets.into())
}
