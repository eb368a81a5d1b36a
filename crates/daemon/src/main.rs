//! `snipewinchd`: an entry host's or a backend server host's daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::command::run()
}
