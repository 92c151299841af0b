//! Secret files.

use std::path::Path;

use crate::{ServerError, ServerErrorKind};

/// Reads the secret in `path`; white space around it does not count.
pub(crate) fn read_secret(path: &Path) -> Result<Box<[u8]>, ServerError> {
    let error = |detail: String| {
        ServerError::new(ServerErrorKind::Secret, format!("secret file {}", path.display()), detail)
    };
    let secret = std::fs::read(path).map_err(|cause| error(cause.to_string()))?;
    let secret = secret.trim_ascii();
    if secret.is_empty() {
        return Err(error("the file is empty".to_owned()));
    }
    Ok(secret.into())
}
