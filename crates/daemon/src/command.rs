//! The command line of `snipewinchd`.

use std::env;
use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

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

mod flags {
    xflags::xflags! {
        /// An entry host's or a backend server host's daemon of snipewinch.
        ///
        /// Each setting is given as a flag or as an environment variable:
        /// --log-level, for example, is SNIPEWINCH_LOG_LEVEL. A flag wins.
        cmd snipewinchd {
            /// Prints the version.
            optional --version
            /// Prints every setting with its default and its variable.
            optional --settings
            /// Which part this process plays: `entry` or `agent`.
            optional --role text: String
            /// This host's name, unique in the fleet.
            optional --host text: String
            /// The availability zone of this host.
            optional --zone text: String
            /// The region of this host.
            optional --region text: String
            /// The service whose backend server stands on this host (agents).
            optional --service text: String
            /// Where to listen for other snipewinch processes.
            optional --listen-peers text: String
            /// Where other processes reach this one, if not at --listen-peers.
            optional --advertise text: String
            /// Where to listen for HTTP: callers, console, metrics and health.
            optional --listen-http text: String
            /// Where to listen for the console and metrics instead, apart from callers.
            optional --listen-operators text: String
            /// The platform's table service, object store and membership list.
            optional --platform text: String
            /// The origin of weights, if not at --platform.
            optional --origin text: String
            /// The backend server on this host (agents).
            optional --backend text: String
            /// The secret that all processes of the fleet share.
            optional --fleet-key text: String
            /// The BLAKE3 digest of the key that may sign in until a document names operators.
            optional --first-operator-key-digest text: String
            /// The most this host sends to other hosts for weights, in Mbit/s; 0 means no limit (agents).
            optional --upload-mbit text: String
            /// The rate of a link between regions, each way, in Mbit/s; 0 means that it is found out by measuring (agents).
            optional --region-mbit text: String
            /// The region in which the origin of weights stands; the first by name unless set (agents).
            optional --origin-region text: String
            /// By which scheme weights spread; the others are for comparing only (agents): `swarm`, `tree` or `origin`.
            optional --weights-policy text: String
            /// The most memory for chunks of weights, in MiB (agents).
            optional --chunk-memory-mib text: String
            /// Where traces go, as OTLP over HTTP; none means no traces.
            optional --collector text: String
            /// How log lines look: `text` or `json`.
            optional --log text: String
            /// The least severe level that is logged.
            optional --log-level text: String
            /// Threads that run the daemon.
            optional --workers text: String
            /// How long a stopping entry keeps accepting while the balancer notices, in milliseconds.
            optional --leave-grace-ms text: String
            /// How long a stopping process waits for its calls, in milliseconds.
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
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            let detail = error.to_string();
            return report_error(&Error::Usage { detail });
        }
    };
    if flags.version {
        println!("snipewinchd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if flags.settings {
        print_settings();
        return ExitCode::SUCCESS;
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

fn print_settings() {
    for setting in SETTINGS {
        let Setting {
            name,
            default,
            help,
            expects,
        } = setting;
        println!(
            "--{name} ({})\n    {help} Expects {expects}.",
            setting.variable()
        );
        if !default.is_empty() {
            println!("    Unless set: {default}");
        }
    }
}

fn run_daemon(config: Config) -> Result<(), Error> {
    log::install(&config)?;
    let runtime = match config.workers {
        1 => runtime::Builder::new_current_thread().enable_all().build(),
        workers => runtime::Builder::new_multi_thread()
            .worker_threads(workers)
            .enable_all()
            .build(),
    };
    runtime.context(SystemSnafu)?.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SystemSnafu)?;
    let daemon = Daemon::open(config).await?;
    println!("{}", daemon.ready_line());
    // If the parent process does not read the line, the daemon runs on.
    let _ = std::io::stdout().flush();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shutdown().await;
    Ok(())
}
