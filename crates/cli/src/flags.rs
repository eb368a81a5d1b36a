//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Checks, shows and explains; it has no way to change a fleet. The
    /// configuration is changed in the console of any entry host.
    cmd snipewinch {
        /// Checks a configuration document without a fleet.
        cmd check {
            /// The document, as JSON.
            required document: PathBuf
        }
        /// Shows what an entry knows of the fleet.
        cmd status {
            /// Where the entry serves HTTP.
            required --entry address: SocketAddr
            /// Print the entry's answer as it is.
            optional --json
        }
        /// Makes and verifies manifests of weights.
        cmd weights {
            /// Writes the manifest of a file of weights and prints its digest.
            cmd make {
                /// The weights.
                required file: PathBuf
                /// The model.
                required --model name: String
                /// The version.
                required --version name: String
                /// The length of a chunk in KiB.
                optional --chunk-kib n: u32
                /// Where to write the manifest; beside the weights by default.
                optional --output path: PathBuf
            }
            /// Checks a file of weights against its manifest.
            cmd verify {
                /// The weights.
                required file: PathBuf
                /// The manifest; beside the weights by default.
                optional --manifest path: PathBuf
            }
        }
        /// Explains the number of an event or error.
        cmd explain {
            /// The number, such as E2101.
            required number: String
        }
    }
}
