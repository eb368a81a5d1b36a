//! The command line.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for what surrounds a snipewinch fleet. Each prints one JSON
    /// line with its addresses when it listens.
    cmd standin {
        /// Threads of this process.
        optional --workers n: usize
        /// End when the standard input closes, with the process that started it.
        optional --until-stdin-closes

        /// Tables, objects, the membership list and the weight origin.
        cmd platform {
            /// Where to listen; a free port of the loopback address by default.
            optional --listen address: SocketAddr
            /// The origin's rate over all readers; 0 means without limit.
            optional --origin-mbit rate: f64
            /// Readers of the origin at once before it answers 429.
            optional --origin-readers n: usize
            /// How far the membership list lags.
            optional --lag-ms ms: u64
            /// Decides which requests a partial fault hits.
            optional --seed seed: u64
        }
        /// Model engines, one listener each.
        cmd engines {
            /// Where the administration listens.
            optional --listen address: SocketAddr
            /// How many engines.
            optional --count n: usize
            /// Sequences that one engine generates at once.
            optional --slots n: usize
            /// Time of one step, which gives each sequence one token.
            optional --step-us us: u64
            /// Time to read one prompt block that is not cached.
            optional --prefill-us us: u64
            /// Time to swap weights in once they have arrived.
            optional --swap-ms ms: u64
            /// How far the load report lags.
            optional --lag-ms ms: u64
            /// Prompt blocks that the prefix cache holds.
            optional --blocks n: usize
            /// Obey orders with an old fencing number.
            optional --ignore-fence
        }
        /// Plain services, one listener each.
        cmd services {
            /// Where the administration listens.
            optional --listen address: SocketAddr
            /// How many services.
            optional --count n: usize
            /// How long an ordinary call takes.
            optional --work-ms ms: u64
        }
        /// The links between regions.
        cmd relay {
            /// Where the administration listens.
            optional --listen address: SocketAddr
        }
        /// A trace collector.
        cmd collector {
            /// Where to listen.
            optional --listen address: SocketAddr
        }
    }
}
