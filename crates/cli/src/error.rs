//! Errors of the commands.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("reading {} failed: {source}; correct the path", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("writing {} failed: {source}; choose another path with --output", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("{}: {detail}", path.display()))]
    Parse { path: PathBuf, detail: String },
    #[snafu(display("{count} faults:\n{list}"))]
    Faults { count: usize, list: String },
    #[snafu(display("{source}"))]
    Manifest {
        source: snipewinch::weights::manifest::Error,
    },
    #[snafu(display("{}: {detail}; fetch the file again", path.display()))]
    Mismatch { path: PathBuf, detail: String },
    #[snafu(display(
        "there is no event {number}; event numbers are E and four digits, listed in docs/EVENTS.md"
    ))]
    UnknownNumber { number: String },
    #[snafu(display(
        "no line names request {id:?}; {read} lines were read, of which {skipped} are not log lines; give the logs of all entries, and copy the id from the X-Attempt-Id field of the request"
    ))]
    UnknownRequest { id: String, read: u64, skipped: u64 },
    #[snafu(display(
        "no answer from {entry}: {detail}; check the address and whether the entry is running"
    ))]
    Entry { entry: SocketAddr, detail: String },
}
