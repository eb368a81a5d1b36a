//! The command-line flags.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Checks documents and weights, shows the status of a fleet and explains
    /// events and requests. It cannot change a fleet: the configuration is edited in
    /// the console of any entry host.
    cmd snipewinch {
        /// Checks a configuration document offline.
        cmd check {
            /// The file with the document, in JSON.
            required document: PathBuf
        }
        /// Shows the status of the fleet as an entry sees it.
        cmd status {
            /// The HTTP address of the entry.
            required --entry address: SocketAddr
            /// Print the entry's answer as JSON.
            optional --json
        }
        /// Creates and verifies manifests of weights.
        cmd weights {
            /// Writes the manifest of a weights file and prints its digest.
            cmd make {
                /// The weights file.
                required file: PathBuf
                /// The model's name.
                required --model name: String
                /// The model's version.
                required --version name: String
                /// The size of a chunk in KiB; 1024 by default.
                optional --chunk-kib n: u32
                /// The manifest file; by default the path of the weights with
                /// `.manifest.json` appended.
                optional --output path: PathBuf
            }
            /// Checks a weights file against its manifest.
            cmd verify {
                /// The weights file.
                required file: PathBuf
                /// The manifest file; by default the path of the weights with
                /// `.manifest.json` appended.
                optional --manifest path: PathBuf
            }
        }
        /// Explains an event or error by its number.
        cmd explain {
            /// The number, such as E2101.
            required number: String
        }
        /// Prints what logs say of a request, and on which version of the
        /// weights it began and why.
        cmd explain-request {
            /// The request's id, as sent in X-Attempt-Id.
            required id: String
            /// The logs of all processes, in JSON; `-`, or no file, is standard
            /// input.
            repeated files: PathBuf
        }
    }
}
