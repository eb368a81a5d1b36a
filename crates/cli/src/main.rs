//! The `snipewinch` command-line tool: checks documents and weights, shows the
//! status of a fleet and explains events and requests. It has no command that changes
//! a fleet.

use std::ffi::OsString;
use std::process::ExitCode;

mod check;
mod error;
mod explain;
mod explain_request;
mod flags;
mod status;
mod weights;
mod weights_log;

use error::Error;
use flags::Snipewinch;
use flags::SnipewinchCmd;
use flags::WeightsCmd;

/// The exit code for invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("--version") {
        return print(concat!("snipewinch ", env!("CARGO_PKG_VERSION")));
    }
    let flags = match Snipewinch::from_vec(arguments()) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            return print(&error.to_string());
        }
        Err(error) => {
            eprintln!("snipewinch: {error}; `snipewinch --help` lists the commands");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(flags.subcommand) {
        Ok(text) => print(&text),
        Err(error) => {
            eprintln!("snipewinch: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print(text: &str) -> ExitCode {
    output::print("snipewinch", text)
}

/// The arguments without the program's name. The parser takes a single `-` for
/// an argument only after `--`.
fn arguments() -> Vec<OsString> {
    let mut arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let separator = arguments.iter().position(|one| one == "-" || one == "--");
    match separator {
        Some(position) if arguments[position] == "-" => arguments.insert(position, "--".into()),
        _ => {}
    }
    arguments
}

fn run(command: SnipewinchCmd) -> Result<String, Error> {
    match command {
        SnipewinchCmd::Check(flags) => check::run(&flags.document),
        SnipewinchCmd::Explain(flags) => explain::run(&flags.number),
        SnipewinchCmd::ExplainRequest(flags) => explain_request::run(&flags.id, &flags.files),
        SnipewinchCmd::Status(flags) => status::run(flags.entry, flags.json),
        SnipewinchCmd::Weights(flags) => match flags.subcommand {
            WeightsCmd::Make(flags) => weights::make(&flags),
            WeightsCmd::Verify(flags) => weights::verify(&flags),
        },
    }
}
