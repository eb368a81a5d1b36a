//! Finds the programs that an experiment starts, and builds them if needed.

use std::env;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use snafu::ResultExt;
use snafu::Snafu;

/// The programs that a fleet consists of.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The daemon.
    pub snipewinchd: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

/// Why the programs are not there.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The place of this program is unknown.
    #[snafu(display("this program's own place is unknown: {source}; start it through cargo"))]
    ExecutablePath {
        /// What the system said.
        source: io::Error,
    },
    /// Cargo did not build them.
    #[snafu(display("can't build the programs ({detail}); run `cargo build --workspace`"))]
    Build {
        /// What went wrong.
        detail: String,
    },
    /// A program is missing.
    #[snafu(display("{} is missing; run `cargo build --workspace` with the same profile", path.display()))]
    Missing {
        /// Where it should be.
        path: PathBuf,
    },
}

/// The packages of the programs.
const PACKAGES: [&str; 2] = ["snipewinch-daemon", "snipewinch-standin"];

impl Binaries {
    /// The programs beside this one. Started through cargo, builds them first
    /// with the same profile, so that none is older than its source.
    ///
    /// # Errors
    ///
    /// [`Error`] if a program is missing and can't be built.
    pub fn open() -> Result<Binaries, Error> {
        let executable = env::current_exe().context(ExecutablePathSnafu)?;
        let directory = profile_directory(&executable);
        if let Some(cargo) = env::var_os("CARGO") {
            build(Path::new(&cargo), &directory)?;
        }
        let binaries = Binaries {
            snipewinchd: directory.join("snipewinchd"),
            standin: directory.join("standin"),
        };
        for path in [&binaries.snipewinchd, &binaries.standin] {
            if !path.exists() {
                return MissingSnafu { path }.fail();
            }
        }
        Ok(binaries)
    }
}

/// The directory of the profile; test programs lie one below it.
fn profile_directory(executable: &Path) -> PathBuf {
    let directory = executable.parent().unwrap_or(Path::new("."));
    match directory.file_name() {
        Some(name) if name == "deps" => directory.parent().unwrap_or(directory).to_owned(),
        _ => directory.to_owned(),
    }
}

fn build(cargo: &Path, directory: &Path) -> Result<(), Error> {
    let profile = match directory.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(name) => name,
    };
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--bins", "--profile", profile]);
    for package in PACKAGES {
        command.args(["--package", package]);
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    if let Some(target) = directory.parent() {
        command.env("CARGO_TARGET_DIR", target);
    }
    // Standard output is for figures alone.
    command.stdin(Stdio::null()).stdout(Stdio::null());
    let detail = match command.status() {
        Ok(status) if status.success() => return Ok(()),
        Ok(status) => status.to_string(),
        Err(error) => error.to_string(),
    };
    BuildSnafu { detail }.fail()
}
