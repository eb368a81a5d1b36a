//! The `check` command: validates a configuration document offline.

use std::fs;
use std::path::Path;

use snafu::ResultExt;
use snipewinch::document::Document;

use crate::error::Error;
use crate::error::FaultsSnafu;
use crate::error::ParseSnafu;
use crate::error::ReadSnafu;

/// Validates the document and reports all faults together. It does not check
/// whether the manifests are stored, since that needs a fleet.
pub(crate) fn run(path: &Path) -> Result<String, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(error) => {
            let detail = error.to_string();
            return ParseSnafu { path, detail }.fail();
        }
    };
    let faults = document.check();
    if !faults.is_empty() {
        let list: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        return FaultsSnafu {
            count: faults.len(),
            list: list.join("\n"),
        }
        .fail();
    }
    Ok(format!(
        "valid: {} models, {} services, {} customers, {} operators\n\
         the console checks whether the manifests are in the object store",
        document.models.len(),
        document.services.len(),
        document.customers.len(),
        document.operators.len(),
    ))
}
