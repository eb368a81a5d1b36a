//! From a draft to a review: checks, and who else has to be asked.

use platform::Client;
use platform::objects::manifest_name;
use rand::RngExt;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Document;
use snipewinch::document::check::Fault;
use snipewinch::document::check::StoredObject;

/// Everything that keeps a document from being accepted. Manifests that the
/// version in force names already are not looked up again.
pub(crate) async fn faults(
    platform: &Client,
    document: &Document,
    in_force: &Snapshot,
) -> Vec<Fault> {
    let mut faults = document.check();
    if !faults.is_empty() {
        return faults;
    }
    let accepted = in_force.document.manifest_references();
    for reference in document.manifest_references() {
        let known = accepted
            .iter()
            .any(|known| known.manifest == reference.manifest);
        if known {
            continue;
        }
        let name = manifest_name(&reference.manifest);
        let stored = match platform.get_object(&name).await {
            Ok(Some(bytes)) => StoredObject::Present(Digest::of(&bytes)),
            Ok(None) => StoredObject::Absent,
            Err(_) => StoredObject::Unknown,
        };
        faults.extend(reference.verify(stored));
    }
    faults
}

/// A name that no other operation ever has.
pub(crate) fn new_operation() -> SmolStr {
    let bytes: [u8; 16] = rand::rng().random();
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.into()
}

/// Whether a text is what [`operation`] makes.
pub(crate) fn is_operation(text: &str) -> bool {
    text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
