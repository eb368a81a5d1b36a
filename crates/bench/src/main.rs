//! `bench`: runs an experiment and prints its results as JSON, on the last
//! line.

use std::ffi::OsString;
use std::process::ExitCode;

use bench::Error;

/// Runtime threads of the bench process, which also generates the load.
const WORKER_THREADS: usize = 4;

const HELP: &str = "\
bench: starts the daemon and the stand-ins on loopback and measures them

  demo     distributes a new model version while calls are served
  burst    weights: time until all replicas serve a version, copies sent by the
           origin and over links between regions
  calls    latency and outcomes of calls under load and faults
  config   time to publish and distribute configurations
  slopes   cost per host as a function of the fleet size
  drill    injects all faults together and checks the seven promises
  report   renders a page with plots from stored JSON lines

`bench EXPERIMENT --help` lists its flags.";

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let name = arguments.next().unwrap_or_default();
    let rest: Vec<OsString> = arguments.collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error.to_string()),
    };
    let result = match name.to_str() {
        Some("demo") => runtime.block_on(interruptible(bench::demo::run(rest))),
        Some("burst") => runtime.block_on(interruptible(bench::burst::run(rest))),
        Some("calls") => runtime.block_on(interruptible(bench::calls::run(rest))),
        Some("config") => runtime.block_on(interruptible(bench::config::run(rest))),
        Some("slopes") => runtime.block_on(interruptible(bench::slopes::run(rest))),
        Some("drill") => runtime.block_on(interruptible(bench::drill::run(rest))),
        Some("report") => bench::report::run(rest),
        Some("--version") => {
            println!("bench {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("--help" | "-h") => {
            println!("{HELP}");
            Ok(())
        }
        _ => Err(Error::Usage {
            detail: HELP.to_owned(),
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Help { text }) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => report_failure(&error.to_string()),
    }
}

/// Runs an experiment until it ends or SIGINT or SIGTERM arrives. Dropping the
/// experiment kills all its processes.
async fn interruptible(experiment: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let mut terminate =
        match tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
            Ok(terminate) => terminate,
            Err(error) => {
                return Err(Error::Usage {
                    detail: error.to_string(),
                });
            }
        };
    tokio::select! {
        result = experiment => result,
        _ = tokio::signal::ctrl_c() => Err(Error::Interrupted),
        _ = terminate.recv() => Err(Error::Interrupted),
    }
}

fn report_failure(why: &str) -> ExitCode {
    eprintln!("E5101 the experiment failed: {why}");
    ExitCode::FAILURE
}
