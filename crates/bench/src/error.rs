//! Why an experiment ended early.

use std::io;

use snafu::Snafu;

use crate::fleet;

/// Why an experiment ended early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The flags are wrong.
    #[snafu(display("{detail}"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The flags ask for help.
    #[snafu(display("{text}"))]
    Help {
        /// The help.
        text: String,
    },
    /// The fleet could not be run.
    #[snafu(display("{source}"))]
    Fleet {
        /// Why.
        source: fleet::Error,
    },
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}; correct the path"))]
    File {
        /// Which.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw {what}: {detail}; look at the lines that were read"))]
    Plot {
        /// Which.
        what: String,
        /// Why.
        detail: String,
    },
    /// The experiment ran and showed a promise broken or a bound missed.
    #[snafu(display("{what}; the lines above say where"))]
    Broken {
        /// What.
        what: String,
    },
    /// A signal ended it.
    #[snafu(display("ended by a signal"))]
    Interrupted,
}

impl From<fleet::Error> for Error {
    fn from(source: fleet::Error) -> Error {
        Error::Fleet { source }
    }
}

/// What a command line that can't be read amounts to.
pub fn flag_error(error: &xflags::Error) -> Error {
    match error.is_help() {
        true => Error::Help {
            text: error.to_string(),
        },
        false => Error::Usage {
            detail: error.to_string(),
        },
    }
}
