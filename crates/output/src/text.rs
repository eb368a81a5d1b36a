//! Text on standard output.

use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::process::ExitCode;

/// Writes a text and the end of a line to standard output, and returns the exit code of
/// a program that does nothing else. A reader that has left before, such as `head`, is
/// no failure; others are reported on standard error.
pub fn print(program: &str, text: &str) -> ExitCode {
    let mut stdout = io::stdout().lock();
    let written = writeln!(stdout, "{text}").and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            let _ = writeln!(
                io::stderr(),
                "{program}: standard output cannot be written: {error}"
            );
            ExitCode::FAILURE
        }
        Ok(()) | Err(_) => ExitCode::SUCCESS,
    }
}
