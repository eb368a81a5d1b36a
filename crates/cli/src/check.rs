//! Checks a configuration document without a fleet.

use std::fs;
use std::path::Path;

use snafu::ResultExt;
use snipewinch::document::Document;

use crate::error::DocumentSnafu;
use crate::error::Error;
use crate::error::FaultsSnafu;
use crate::error::ReadSnafu;

/// Reports every fault of the document at once. Whether its manifests are
/// stored only a fleet can tell.
pub(crate) fn run(path: &Path) -> Result<String, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(error) => {
            let detail = error.to_string();
            return DocumentSnafu { path, detail }.fail();
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
         whether the manifests are in the object store is checked by the console",
        document.models.len(),
        document.services.len(),
        document.customers.len(),
        document.operators.len(),
    ))
}
