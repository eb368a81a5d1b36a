//! The command line of `snipewinchd`.

use std::env;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::Duration;

use snafu::ResultExt;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Config;
use crate::Daemon;
use crate::Error;
use crate::error::SystemSnafu;
use crate::log;
use crate::setting::SETTINGS;
use crate::setting::Setting;

/// The exit code for an invalid command line or setting.
const EXIT_USAGE: u8 = 2;
/// How long the last log lines may take to be written.
const LOG_FINISH_TIME: Duration = Duration::from_millis(300);

mod flags {
    xflags::xflags! {
        /// The snipewinch daemon of an entry host or a backend server host.
        ///
        /// Each setting is given as a flag or as an environment variable:
        /// --log-level, for example, is SNIPEWINCH_LOG_LEVEL. Flags take precedence.
        cmd snipewinchd {
            /// Prints the version.
            optional --version
            /// Prints every setting with its default and its environment variable.
            optional --settings
            /// The role of this process: `entry` or `agent`.
            optional --role text: String
            /// The name of this host, unique in the fleet.
            optional --host text: String
            /// The availability zone of this host.
            optional --zone text: String
            /// The region of this host.
            optional --region text: String
            /// The service whose backend server runs on this host (agents).
            optional --service text: String
            /// The address on which to listen for other snipewinch processes.
            optional --listen-peers text: String
            /// The address at which other processes reach this one; --listen-peers by default.
            optional --advertise text: String
            /// The address on which to listen for HTTP: callers, console, metrics and health.
            optional --listen-http text: String
            /// A separate address on which to listen for the console and metrics, instead of --listen-http.
            optional --listen-operators text: String
            /// The base URL of the platform: table service, object store and membership list.
            optional --platform text: String
            /// The base URL of the origin of weights; --platform by default.
            optional --origin text: String
            /// The base URL of the backend server on this host (agents).
            optional --backend text: String
            /// The secret shared by all processes of the fleet.
            optional --fleet-key text: String
            /// The BLAKE3 digest of the operator key that is accepted for sign-in until a document names operators.
            optional --first-operator-key-digest text: String
            /// The maximum rate at which this host sends weights to other hosts, in Mbit/s; 0 means no limit (agents).
            optional --upload-mbit text: String
            /// The rate of a link between regions in each direction, in Mbit/s; 0 means that it is measured (agents).
            optional --region-mbit text: String
            /// The region of the origin of weights; by default the first region in order of name (agents).
            optional --origin-region text: String
            /// The scheme by which weights are distributed; use schemes other than `swarm` only for comparison (agents): `swarm`, `tree` or `origin`.
            optional --weights-policy text: String
            /// The maximum memory for chunks of weights, in MiB (agents).
            optional --chunk-memory-mib text: String
            /// The base URL of the collector to which traces are exported as OTLP over HTTP; if not set, no traces are exported.
            optional --collector text: String
            /// The format of log lines: `text` or `json`.
            optional --log text: String
            /// The least severe level that is logged.
            optional --log-level text: String
            /// The number of worker threads.
            optional --workers text: String
            /// How long an entry still accepts calls after shutdown begins, so that the load balancer has time to notice, in milliseconds.
            optional --leave-grace-ms text: String
            /// The maximum time to wait on shutdown for running calls to finish, in milliseconds.
            optional --drain-limit-ms text: String
        }
    }
}

impl flags::Snipewinchd {
    fn value(&self, name: &str) -> Option<String> {
        let value = match name {
            "advertise" => &self.advertise,
            "backend" => &self.backend,
            "chunk-memory-mib" => &self.chunk_memory_mib,
            "collector" => &self.collector,
            "drain-limit-ms" => &self.drain_limit_ms,
            "first-operator-key-digest" => &self.first_operator_key_digest,
            "fleet-key" => &self.fleet_key,
            "host" => &self.host,
            "leave-grace-ms" => &self.leave_grace_ms,
            "listen-http" => &self.listen_http,
            "listen-operators" => &self.listen_operators,
            "listen-peers" => &self.listen_peers,
            "log" => &self.log,
            "log-level" => &self.log_level,
            "origin" => &self.origin,
            "origin-region" => &self.origin_region,
            "platform" => &self.platform,
            "region" => &self.region,
            "region-mbit" => &self.region_mbit,
            "role" => &self.role,
            "service" => &self.service,
            "upload-mbit" => &self.upload_mbit,
            "weights-policy" => &self.weights_policy,
            "workers" => &self.workers,
            "zone" => &self.zone,
            _ => return None,
        };
        value.clone()
    }
}

/// Runs the daemon with the settings of the command line and the environment.
pub fn run() -> ExitCode {
    let flags = match flags::Snipewinchd::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            return print(&error.to_string());
        }
        Err(error) => {
            let detail = error.to_string();
            return report_error(&Error::Usage { detail });
        }
    };
    if flags.version {
        return print(concat!("snipewinchd ", env!("CARGO_PKG_VERSION")));
    }
    if flags.settings {
        let settings: Vec<String> = SETTINGS.iter().map(describe).collect();
        return print(&settings.join("\n"));
    }
    let lookup = |setting: &Setting| {
        let flag = flags.value(setting.name);
        flag.or_else(|| env::var_os(setting.variable()).map(lossy))
    };
    let result = Config::read(&lookup).and_then(run_daemon);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}

fn lossy(text: OsString) -> String {
    text.to_string_lossy().into_owned()
}

fn report_error(error: &Error) -> ExitCode {
    eprintln!("snipewinchd: {error}");
    match error {
        Error::Settings { .. } | Error::Usage { .. } => ExitCode::from(EXIT_USAGE),
        _ => ExitCode::FAILURE,
    }
}

fn print(text: &str) -> ExitCode {
    output::print("snipewinchd", text)
}

/// The flag, the variable, the help and the default of a setting.
fn describe(setting: &Setting) -> String {
    let Setting {
        name,
        default,
        help,
        expects,
    } = setting;
    let variable = setting.variable();
    let text = format!("--{name} ({variable})\n    {help} Expects {expects}.");
    match default.is_empty() {
        true => text,
        false => format!("{text}\n    Unless set: {default}"),
    }
}

fn run_daemon(config: Config) -> Result<(), Error> {
    let log = log::install(&config)?;
    let runtime = match config.workers {
        1 => runtime::Builder::new_current_thread().enable_all().build(),
        workers => runtime::Builder::new_multi_thread()
            .worker_threads(workers)
            .enable_all()
            .build(),
    };
    let result = runtime.context(SystemSnafu)?.block_on(serve(config));
    log.finish(LOG_FINISH_TIME);
    result
}

async fn serve(config: Config) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SystemSnafu)?;
    let daemon = Daemon::open(config).await?;
    // If the parent process does not read the line, the daemon runs on.
    print(&daemon.ready_line());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shutdown().await;
    Ok(())
}
