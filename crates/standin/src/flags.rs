//! Command-line flags.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for the services around a snipewinch fleet. Each prints one
    /// JSON line with its addresses when it listens.
    cmd standin {
        /// Number of worker threads.
        optional --workers n: usize
        /// Exit when the standard input closes, as it does when the parent
        /// process ends.
        optional --until-stdin-closes

        /// The platform: tables, objects, the membership list and the weight
        /// origin.
        cmd platform {
            /// Address to listen on; a free loopback port by default.
            optional --listen address: SocketAddr
            /// Rate of the origin over all readers, in Mbit/s; 0 means
            /// unlimited.
            optional --origin-mbit rate: f64
            /// Most concurrent readers of the origin; it answers 429 to others.
            optional --origin-readers n: usize
            /// Delay after which a change of the membership list is visible.
            optional --lag-ms ms: u64
            /// Seed of the choice of requests that a partial fault affects.
            optional --seed seed: u64
        }
        /// Model engines, one listener each.
        cmd engines {
            /// Address of the admin API; a free loopback port by default.
            optional --listen address: SocketAddr
            /// Number of engines.
            optional --count n: usize
            /// Sequences that one engine generates concurrently.
            optional --slots n: usize
            /// Duration of one step, which generates one token for each
            /// sequence.
            optional --step-us us: u64
            /// Prefill time of one prompt block that is not cached.
            optional --prefill-us us: u64
            /// Time to put downloaded weights in service.
            optional --swap-ms ms: u64
            /// Least time between two updates of the load report.
            optional --lag-ms ms: u64
            /// Capacity of the prefix cache in prompt blocks.
            optional --blocks n: usize
            /// Execute orders whose fencing number is below the highest one.
            optional --ignore-fence
        }
        /// Plain services, one listener each.
        cmd services {
            /// Address of the admin API; a free loopback port by default.
            optional --listen address: SocketAddr
            /// Number of services.
            optional --count n: usize
            /// Duration of a call without faults.
            optional --work-ms ms: u64
        }
        /// A TCP relay for the links between regions.
        cmd relay {
            /// Address of the admin API; a free loopback port by default.
            optional --listen address: SocketAddr
        }
        /// A trace collector.
        cmd collector {
            /// Address to listen on; a free loopback port by default.
            optional --listen address: SocketAddr
        }
    }
}
