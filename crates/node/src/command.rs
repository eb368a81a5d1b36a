//! The command line.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use platform::boot;
use snafu::OptionExt;
use snafu::ResultExt;
use snipewinch::hedge;
use snipewinch::host::Role;
use tokio::runtime;
use tokio::task::LocalSet;

use crate::Config;
use crate::Error;
use crate::agent;
use crate::entry;
use crate::error::NoSettingsSnafu;
use crate::error::SettingsSnafu;
use crate::error::SystemSnafu;
use crate::error::UsageSnafu;
use crate::log;

/// The exit code for an invalid command line or setting.
const EXIT_USAGE: u8 = 2;
/// The default port for metrics: the usual one of Prometheus exporters.
const DEFAULT_METRICS_PORT: &str = "9464";
/// How long the last log lines may take to be written.
const LOG_FINISH_TIME: Duration = Duration::from_millis(300);
/// The default share of requests that get a second attempt: none.
const DEFAULT_SECOND_ATTEMPTS: &str = "0";
/// The default log level.
const DEFAULT_LOG_LEVEL: &str = "info";

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs the entry or the agent of one host on the platform. The
        /// platform's settings file says which of them.
        cmd snipewinch-node {
            /// Prints the version.
            optional --version
            /// The platform's settings file. Default: the file that the
            /// variable SNIPEWINCH_BOOT names.
            optional --settings path: PathBuf
            /// The port for metrics. Default: 9464. Variable:
            /// SNIPEWINCH_METRICS_PORT.
            optional --metrics-port port: String
            /// The least severe level that is logged: `error`, `warn`, `info`
            /// or `debug`. Default: info. Variable: SNIPEWINCH_LOG_LEVEL.
            optional --log-level level: String
            /// The share of each service's requests, from 0 to 1, that may go to a
            /// second backend server beside a slow one (entries). Default: 0, none.
            /// Variable: SNIPEWINCH_SECOND_ATTEMPTS.
            optional --second-attempts share: String
        }
    }
}

/// Runs the process according to the command line and the environment.
pub fn run() -> ExitCode {
    let flags = match flags::SnipewinchNode::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            return print(&error.to_string());
        }
        Err(error) => {
            let detail = error.to_string();
            return fail(&Error::Usage { detail });
        }
    };
    if flags.version {
        return print(concat!("snipewinch-node ", env!("CARGO_PKG_VERSION")));
    }
    match configure(flags).and_then(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn print(text: &str) -> ExitCode {
    output::print("snipewinch-node", text)
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("snipewinch-node: {error}");
    match error {
        Error::NoSettings | Error::Settings { .. } | Error::Usage { .. } => {
            ExitCode::from(EXIT_USAGE)
        }
        _ => ExitCode::FAILURE,
    }
}

fn configure(flags: flags::SnipewinchNode) -> Result<Config, Error> {
    let from_env = env::var_os(boot::PATH_VARIABLE).map(PathBuf::from);
    let path = flags.settings.or(from_env).context(NoSettingsSnafu)?;
    let level = setting(flags.log_level, "SNIPEWINCH_LOG_LEVEL", DEFAULT_LOG_LEVEL);
    let port = setting(
        flags.metrics_port,
        "SNIPEWINCH_METRICS_PORT",
        DEFAULT_METRICS_PORT,
    );
    let metrics_port = port.parse().map_err(|_| Error::Usage {
        detail: format!("invalid port {port:?}; give a number from 0 to 65535"),
    })?;
    let log_level = level.parse().map_err(|_| Error::Usage {
        detail: format!("invalid log level {level:?}; give error, warn, info or debug"),
    })?;
    let share = setting(
        flags.second_attempts,
        "SNIPEWINCH_SECOND_ATTEMPTS",
        DEFAULT_SECOND_ATTEMPTS,
    );
    let second_attempts = hedge::Limit::parse(&share).with_context(|| UsageSnafu {
        detail: format!(
            "invalid share of second attempts {share:?}; give a number from 0 to 1 such as 0.02, or 0 for none"
        ),
    })?;
    let settings = boot::read(&path, incarnation()).context(SettingsSnafu)?;
    Ok(Config {
        settings,
        path,
        metrics_port,
        log_level,
        second_attempts,
    })
}

/// The value of a flag, else of its environment variable, else the default.
fn setting(flag: Option<String>, variable: &str, default: &str) -> String {
    flag.or_else(|| env::var(variable).ok())
        .unwrap_or_else(|| default.to_owned())
}

/// The incarnation of this process: milliseconds since the Unix epoch, so it
/// increases with each start unless the host's time of day goes back. If it
/// does, peers still tell the starts apart by their links.
fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |since| since.as_millis() as u64)
}

fn start(config: Config) -> Result<(), Error> {
    let log = log::install(&config)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, async move {
        match config.settings.identity.role {
            Role::Entry => entry::run(config).await,
            Role::Agent => agent::run(config).await,
        }
    });
    log.finish(LOG_FINISH_TIME);
    result
}
