//! `standin`: starts stand-ins of one kind and prints their addresses.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::collector;
use standin::engine;
use standin::platform;
use standin::relay;
use standin::service;

mod flags;

use flags::Standin;
use flags::StandinCmd;

/// Worker threads of a process without the flag `--workers`.
const WORKERS_DEFAULT: usize = 2;

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = Standin::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(flags.workers.unwrap_or(WORKERS_DEFAULT))
        .enable_all()
        .build();
    let result = runtime
        .and_then(|runtime| runtime.block_on(run(flags.subcommand, flags.until_stdin_closes)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "E5002 starting the stand-in failed: {error}; choose a free --listen address"
            );
            ExitCode::FAILURE
        }
    }
}

async fn run(command: StandinCmd, until_stdin_closes: bool) -> io::Result<()> {
    let ready = match command {
        StandinCmd::Platform(flags) => platform(flags).await?,
        StandinCmd::Engines(flags) => engines(flags).await?,
        StandinCmd::Services(flags) => services(flags).await?,
        StandinCmd::Relay(flags) => {
            let address = relay::spawn(listen_address(flags.listen)).await?;
            json!({"ready": true, "admin": address})
        }
        StandinCmd::Collector(flags) => {
            let address = collector::spawn(listen_address(flags.listen)).await?;
            json!({"ready": true, "collector": address})
        }
    };
    println!("{ready}");
    match until_stdin_closes {
        true => wait_for_stdin_close().await,
        false => std::future::pending().await,
    }
}

/// Waits until the parent process ends or closes the standard input.
async fn wait_for_stdin_close() -> io::Result<()> {
    let mut stdin = tokio::io::stdin();
    tokio::io::copy(&mut stdin, &mut tokio::io::sink()).await?;
    Ok(())
}

async fn platform(flags: flags::Platform) -> io::Result<Value> {
    let config = platform::Config {
        listen: listen_address(flags.listen),
        origin_mbit: flags.origin_mbit.unwrap_or(0.0),
        origin_readers_max: flags.origin_readers.unwrap_or(usize::MAX),
        membership_lag: Duration::from_millis(flags.lag_ms.unwrap_or(0)),
        seed: flags.seed.unwrap_or(0),
    };
    let address = platform::spawn(config).await?;
    Ok(json!({"ready": true, "platform": address, "origin": address}))
}

async fn engines(flags: flags::Engines) -> io::Result<Value> {
    let config = engine::Config {
        listen: listen_address(flags.listen),
        count: flags.count.unwrap_or(1),
        slots: flags.slots.unwrap_or(16),
        step_duration: Duration::from_micros(flags.step_us.unwrap_or(10_000)),
        prefill_per_block: Duration::from_micros(flags.prefill_us.unwrap_or(1_000)),
        swap_duration: Duration::from_millis(flags.swap_ms.unwrap_or(200)),
        load_report_lag: Duration::from_millis(flags.lag_ms.unwrap_or(200)),
        cache_blocks: flags.blocks.unwrap_or(1024),
        check_fence: !flags.ignore_fence,
    };
    let ready = engine::spawn(config).await?;
    Ok(json!({"ready": true, "admin": ready.admin, "engines": ready.engines}))
}

async fn services(flags: flags::Services) -> io::Result<Value> {
    let config = service::Config {
        listen: listen_address(flags.listen),
        count: flags.count.unwrap_or(1),
        call_duration: Duration::from_millis(flags.work_ms.unwrap_or(2)),
    };
    let ready = service::spawn(config).await?;
    Ok(json!({"ready": true, "admin": ready.admin, "services": ready.services}))
}

fn listen_address(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}
