//! Checks of a document before its review, and operation identifiers.

use platform::Client;
use platform::objects::manifest_name;
use rand::RngExt;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Document;
use snipewinch::document::check::Fault;
use snipewinch::document::check::StoredObject;

/// Returns the faults that keep a document from being accepted, including
/// manifests that the object store lacks. Manifests that the version in force
/// names already are not looked up again.
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

/// Returns a new random operation identifier: 128 bits in hexadecimal, so that
/// two never collide in practice.
pub(crate) fn new_operation() -> SmolStr {
    let bytes: [u8; 16] = rand::rng().random();
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.into()
}

/// Returns whether a text has the format of [`new_operation`].
pub(crate) fn is_operation(text: &str) -> bool {
    text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
