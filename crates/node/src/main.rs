//! `snipewinch-node`: runs the entry or the agent of one host on the platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    node::command::run()
}
