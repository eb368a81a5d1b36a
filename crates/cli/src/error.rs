//! What can go wrong on the command line.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("can't read {}: {source}; correct the path", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("can't write {}: {source}; choose another path with --output", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("{}: {detail}", path.display()))]
    Document { path: PathBuf, detail: String },
    #[snafu(display("{count} faults:\n{list}"))]
    Faults { count: usize, list: String },
    #[snafu(display("{source}"))]
    Manifest {
        source: snipewinch::weights::manifest::Error,
    },
    #[snafu(display("{}: {detail}; fetch the file again", path.display()))]
    Differs { path: PathBuf, detail: String },
    #[snafu(display(
        "there is no event {number}; the numbers are E and four digits, in docs/EVENTS.md"
    ))]
    Number { number: String },
    #[snafu(display(
        "no answer from {entry}: {detail}; check the address and that the entry runs"
    ))]
    Entry { entry: SocketAddr, detail: String },
}
