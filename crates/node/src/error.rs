//! Errors that end the process.

use std::net::SocketAddr;

use snafu::Snafu;

/// An error that ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line or a setting is not valid.
    #[snafu(display("{detail}; see --help"))]
    Usage {
        /// The reason.
        detail: String,
    },
    /// Reading the platform's settings failed, or they are not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: platform::boot::Error,
    },
    /// No settings file is given.
    #[snafu(display(
        "no settings file; name it in {} or by --settings",
        platform::boot::PATH_VARIABLE
    ))]
    NoSettings,
    /// Binding an address failed.
    #[snafu(display(
        "binding {address} for {what} failed: {source}; stop the process that listens there"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The purpose of the address.
        what: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Opening the links between agents failed.
    #[snafu(display("{source}"))]
    Links {
        /// The cause.
        source: peer::Error,
    },
    /// Setting up the async runtime or a signal handler failed.
    #[snafu(display("setting up the async runtime or a signal handler failed: {source}"))]
    System {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A logger is already installed.
    #[snafu(display("a logger is already installed in this process"))]
    Log,
}
