//! Reads and watches secret files.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_instances::SharedSecret;
use redwinglatch_metrics::{Counter, Metrics};
use redwinglatch_operators::SecretFile;
use tokio::time::interval;

use crate::{ServerError, ServerErrorKind};

const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the secrets of callers or operators.
pub(crate) fn open_secret_file(path: &Path) -> Result<Arc<SecretFile>, ServerError> {
    SecretFile::open(path).map(Arc::new).map_err(|error| secret_error(path, error))
}

/// Reads the secrets that the instances use among each other.
pub(crate) fn open_shared_secret(path: &Path) -> Result<SharedSecret, ServerError> {
    let lines = read_lines(path)?;
    let secret = SharedSecret::new(lines[0].clone());
    secret.replace(lines);
    Ok(secret)
}

/// Reloads the instances' secrets every second. The previous ones stay valid while the file can't
/// be read or is empty.
pub(crate) async fn watch_shared_secret(
    path: Box<Path>,
    secret: SharedSecret,
    metrics: Arc<Metrics>,
) {
    let mut current = read_lines(&path).ok();
    let mut ticks = interval(WATCH_INTERVAL);
    loop {
        ticks.tick().await;
        let Ok(lines) = read_lines(&path) else { continue };
        if current.as_ref() != Some(&lines) {
            log::info!("instances: the secrets in {} were replaced", path.display());
            metrics.increment(Counter::SecretsReplaced);
            secret.replace(lines.iter().cloned());
            current = Some(lines);
        }
    }
}

/// Reads the secrets in a file, one per line; fails if there is none.
fn read_lines(path: &Path) -> Result<Vec<Box<[u8]>>, ServerError> {
    let text = std::fs::read(path).map_err(|error| secret_error(path, error))?;
    let lines = text.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    let lines: Vec<Box<[u8]>> = lines.filter(|line| !line.is_empty()).map(Into::into).collect();
    if lines.is_empty() {
        return Err(secret_error(path, "the file is empty"));
    }
    Ok(lines)
}

fn secret_error(path: &Path, detail: impl std::fmt::Display) -> ServerError {
    ServerError::new(ServerErrorKind::Secret, format!("secret file {}", path.display()), detail)
}
