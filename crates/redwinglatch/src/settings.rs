//! `redwinglatch settings`: checks a settings file.

use std::path::Path;

use redwinglatch_settings::Settings;
use serde_json::json;

use crate::output::Output;

pub(crate) fn check(path: &Path, print: bool) -> miette::Result<Output> {
    let settings = Settings::from_file(path)?;
    let file = path.display().to_string();
    let text = if print {
        settings.to_string()
    } else {
        format!("{file}: the settings of instance {} are valid", settings.instance.id)
    };
    let mut json = json!({ "file": file, "valid": true, "instance": settings.instance.id });
    if print {
        json["settings"] = json!(settings.to_string());
    }
    Ok(Output::new(text, json))
}
