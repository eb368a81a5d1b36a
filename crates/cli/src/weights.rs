//! The `weights` commands: create and verify manifests of weights.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snipewinch::Digest;
use snipewinch::weights::manifest::Manifest;

use crate::error::Error;
use crate::error::ManifestSnafu;
use crate::error::MismatchSnafu;
use crate::error::ReadSnafu;
use crate::error::WriteSnafu;
use crate::flags;

/// The size of a chunk if `--chunk-kib` is not given.
const DEFAULT_CHUNK_KIB: u32 = 1024;

/// Writes the manifest of a weights file and reports its digest.
pub(crate) fn make(flags: &flags::Make) -> Result<String, Error> {
    let path = &flags.file;
    let weights = fs::read(path).context(ReadSnafu { path })?;
    let chunk_bytes = flags
        .chunk_kib
        .unwrap_or(DEFAULT_CHUNK_KIB)
        .saturating_mul(1024);
    let manifest = Manifest::build(&flags.model, &flags.version, chunk_bytes, &weights)
        .context(ManifestSnafu)?;
    let output = flags
        .output
        .clone()
        .unwrap_or_else(|| default_manifest_path(path));
    fs::write(&output, manifest.to_bytes()).context(WriteSnafu { path: &output })?;
    let digest = manifest.digest();
    Ok(format!(
        "{digest}\n{} chunks, {} bytes, in {}\n\
         store the manifest as the object manifests/{digest}, then enter the digest in the console",
        manifest.chunks.len(),
        manifest.size,
        output.display(),
    ))
}

/// Verifies a weights file against its manifest, chunk by chunk.
pub(crate) fn verify(flags: &flags::Verify) -> Result<String, Error> {
    let path = &flags.file;
    let source = flags
        .manifest
        .clone()
        .unwrap_or_else(|| default_manifest_path(path));
    let text = fs::read(&source).context(ReadSnafu { path: &source })?;
    // Computed from the manifest file itself: the operator compares it with the
    // expected digest.
    let digest = Digest::of(&text);
    let manifest = Manifest::parse(&text, &digest).context(ManifestSnafu)?;
    let weights = fs::read(path).context(ReadSnafu { path })?;
    if weights.len() as u64 != manifest.size {
        let detail = format!("{} bytes instead of {}", weights.len(), manifest.size);
        return MismatchSnafu { path, detail }.fail();
    }
    let chunks = weights.chunks(manifest.chunk_bytes as usize);
    let mismatched: Vec<String> = chunks
        .zip(&manifest.chunks)
        .enumerate()
        .filter(|(_, (bytes, digest))| Digest::of(bytes) != **digest)
        .map(|(index, _)| index.to_string())
        .collect();
    if !mismatched.is_empty() {
        let detail = format!("these chunks differ: {}", mismatched.join(", "));
        return MismatchSnafu { path, detail }.fail();
    }
    Ok(format!(
        "{digest}\nevery chunk of {} {} is correct",
        manifest.model, manifest.version
    ))
}

fn default_manifest_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".manifest.json");
    PathBuf::from(name)
}
