//! What can keep the daemon from running.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::setting::Fault;

/// What can keep the daemon from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line can't be parsed.
    #[snafu(display("{detail}; `snipewinchd --help` lists the flags"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// Settings are missing or bad.
    #[snafu(display("{}", list(faults)))]
    Settings {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// The links can't start.
    #[snafu(display("{source}"))]
    Peers {
        /// Why.
        source: peer::Error,
    },
    /// The HTTP address can't be bound.
    #[snafu(display("can't listen on {address}: {source}; choose a free address"))]
    Http {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The runtime or the signal handlers can't start.
    #[snafu(display(
        "the system refused to start a thread or a signal handler: {source}; raise the host's limits"
    ))]
    System {
        /// What the system said.
        source: io::Error,
    },
    /// The log can't be set up.
    #[snafu(display(
        "the log is set up already; open one daemon a process or install no other logger"
    ))]
    Log,
    /// The exporter of traces can't start.
    #[snafu(display("traces can't be sent to {collector}: {detail}; check --collector"))]
    Collector {
        /// The collector.
        collector: String,
        /// What the library said.
        detail: String,
    },
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
