//! `snipewinchd`: the daemon of an entry host or of a backend server's host.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::command::run()
}
