//! Why the process can't run.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why the process can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{detail}; see --help"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The platform's settings can't be used.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: platform::boot::Error,
    },
    /// The settings name no file.
    #[snafu(display(
        "no settings file; name it in {} or by --settings",
        platform::boot::PATH_VARIABLE
    ))]
    NoSettings,
    /// An address can't be bound.
    #[snafu(display("{address} can't be bound for {what}: {source}; end what listens there"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The links between agents can't be opened.
    #[snafu(display("{source}"))]
    Links {
        /// Why.
        source: peer::Error,
    },
    /// The system refuses something that every process needs.
    #[snafu(display("the system refuses: {source}"))]
    System {
        /// What it said.
        source: std::io::Error,
    },
    /// The logger is installed already.
    #[snafu(display("another logger is installed in this process"))]
    Log,
}
