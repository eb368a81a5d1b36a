//! Locates the binaries that an experiment starts, and builds them if needed.

use std::env;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use snafu::ResultExt;
use snafu::Snafu;

/// Paths of the binaries that a fleet runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The `snipewinchd` daemon.
    pub snipewinchd: PathBuf,
    /// The stand-ins for the platform, the engines and the services.
    pub standin: PathBuf,
}

/// Why the binaries are not available.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The path of the running executable is unknown.
    #[snafu(display("the path of this executable is unknown: {source}; run it with `cargo run`"))]
    ExecutablePath {
        /// The error of the operating system.
        source: io::Error,
    },
    /// Cargo failed to build them.
    #[snafu(display(
        "cargo failed to build the binaries ({detail}); run `cargo build --workspace`"
    ))]
    Build {
        /// The exit status of cargo, or why it did not start.
        detail: String,
    },
    /// A binary is missing.
    #[snafu(display("{} does not exist; run `cargo build --workspace` with the same profile", path.display()))]
    Missing {
        /// The expected path.
        path: PathBuf,
    },
}

/// The packages that contain the binaries.
const PACKAGES: [&str; 2] = ["snipewinch-daemon", "snipewinch-standin"];

impl Binaries {
    /// Finds the binaries in the directory of this executable. When run by
    /// cargo, builds them first with the same profile, so that none is older
    /// than its source.
    ///
    /// # Errors
    ///
    /// [`Error`] if a binary is missing or its build fails.
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

/// The output directory of the build profile. Test executables are one level
/// below it, in `deps`.
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
    // Standard output is reserved for the JSON lines of the experiment.
    command.stdin(Stdio::null()).stdout(Stdio::null());
    let detail = match command.status() {
        Ok(status) if status.success() => return Ok(()),
        Ok(status) => status.to_string(),
        Err(error) => error.to_string(),
    };
    BuildSnafu { detail }.fail()
}
