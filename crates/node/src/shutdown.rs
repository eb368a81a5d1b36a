//! The steps of a graceful stop.

use std::path::Path;
use std::time::Duration;

use platform::boot;
use platform::boot::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// How long a leaving entry answers new requests: the balancer asks once a second
/// and acts on two misses. What comes later than 3 s after the signal must be
/// finished, so nothing may.
const LEAVE: Duration = Duration::from_millis(2_900);
/// What is kept of the time to stop in.
const STOP_MARGIN: Duration = Duration::from_millis(900);

/// When the steps of a stop are due, from the signal on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Schedule {
    /// Idle connections are closed and no request is taken any more.
    pub(crate) close: Duration,
    /// The process ends whatever is under way.
    pub(crate) end: Duration,
}

impl Schedule {
    /// The steps of a stop after which the process would be killed in `limit`.
    pub(crate) fn within(limit: Duration) -> Schedule {
        let end = limit.saturating_sub(STOP_MARGIN);
        Schedule {
            close: LEAVE.min(end),
            end,
        }
    }
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Takes work.
    Running,
    /// Says that it leaves, and still answers what comes.
    Leaving,
    /// Closes what is idle.
    Closing,
}

/// Reads the settings file on each SIGHUP and gives what it says to `apply`.
/// A file with faults changes nothing.
pub(crate) async fn on_reload(path: &Path, apply: impl Fn(Settings)) -> std::io::Result<()> {
    let mut reload = signal(SignalKind::hangup())?;
    while reload.recv().await.is_some() {
        match boot::read(path, 0) {
            Ok(settings) => {
                log::info!("E7011 the settings are read again");
                apply(settings);
            }
            Err(error) => log::error!("E7012 the settings stay as they were: {error}"),
        }
    }
    Ok(())
}

/// Sets [`Phase::Leaving`] on the first SIGTERM or SIGINT.
pub(crate) async fn wait_for_signal(phase: &watch::Sender<Phase>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    phase.send_replace(Phase::Leaving);
    Ok(())
}

#[cfg(test)]
mod tests;
