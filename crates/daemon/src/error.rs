//! Errors that keep the daemon from starting.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::setting::Fault;

/// An error that keeps the daemon from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is not valid.
    #[snafu(display("{detail}; `snipewinchd --help` lists the flags"))]
    Usage {
        /// The message of the parser.
        detail: String,
    },
    /// Settings are missing or invalid.
    #[snafu(display("{}", join_lines(faults)))]
    Settings {
        /// One fault for each such setting.
        faults: Vec<Fault>,
    },
    /// Starting the listener for links to peers failed.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: peer::Error,
    },
    /// Binding an HTTP address failed.
    #[snafu(display("listening on {address} failed: {source}; choose a free address"))]
    Http {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Setting up the runtime or a signal handler failed.
    #[snafu(display(
        "the operating system refused a thread or a signal handler: {source}; raise the host's resource limits"
    ))]
    System {
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another logger is installed already.
    #[snafu(display(
        "a logger is installed already; open one daemon per process and install no other logger"
    ))]
    Log,
    /// Setting up the exporter of traces failed.
    #[snafu(display(
        "setting up the export of traces to {collector} failed: {detail}; check --collector"
    ))]
    Collector {
        /// The base URL of the collector.
        collector: String,
        /// The message of the exporter.
        detail: String,
    },
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
