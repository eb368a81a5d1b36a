//! Errors of experiments.

use std::io;

use snafu::Snafu;

use crate::fleet;

/// Why an experiment did not complete or did not pass.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{detail}"))]
    Usage {
        /// Which flag is invalid and why, or the help text.
        detail: String,
    },
    /// The command line asks for help.
    #[snafu(display("{text}"))]
    Help {
        /// The help text.
        text: String,
    },
    /// The fleet did not start, or a request to it failed.
    #[snafu(display("{source}"))]
    Fleet {
        /// The cause.
        source: fleet::Error,
    },
    /// Reading or writing a file failed.
    #[snafu(display("{path}: {source}; correct the path"))]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Drawing a plot failed.
    #[snafu(display("drawing {what} failed: {detail}; check the JSON lines in the input files"))]
    Plot {
        /// The plot.
        what: String,
        /// The cause.
        detail: String,
    },
    /// The experiment completed, and a promise was broken or a bound exceeded.
    #[snafu(display("{what}; see the lines printed above"))]
    Broken {
        /// The broken promise or the exceeded bound.
        what: String,
    },
    /// SIGINT or SIGTERM ended the experiment.
    #[snafu(display("interrupted by a signal"))]
    Interrupted,
}

impl From<fleet::Error> for Error {
    fn from(source: fleet::Error) -> Error {
        Error::Fleet { source }
    }
}

/// Converts an error of the flag parser: a request for help or an invalid
/// command line.
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
