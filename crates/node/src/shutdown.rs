//! Graceful shutdown and the reload of settings.

use std::path::Path;
use std::time::Duration;

use platform::boot;
use platform::boot::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// How long a leaving entry accepts new requests. The load balancer checks
/// readiness once a second and acts on two failed checks. A request that is
/// accepted later than 3 s after the signal would have to be finished, so none
/// may be.
const LEAVING_TIME: Duration = Duration::from_millis(2_900);
/// How long before the process would be killed it ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(900);

/// When the steps of a shutdown are due, counted from the signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Schedule {
    /// Idle connections are closed and no more requests are accepted.
    pub(crate) close: Duration,
    /// The process ends even if requests are in flight.
    pub(crate) end: Duration,
}

impl Schedule {
    /// The schedule for a process that is killed `limit` after the signal.
    pub(crate) fn within(limit: Duration) -> Schedule {
        let end = limit.saturating_sub(KILL_MARGIN);
        Schedule {
            close: LEAVING_TIME.min(end),
            end,
        }
    }
}

/// The phase of a shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Accepts work.
    Running,
    /// Reports itself as not ready, and still accepts requests.
    Leaving,
    /// Closes idle connections and accepts no more requests.
    Closing,
    /// Answers what is still in flight, as the process is about to end.
    Ending,
}

/// Reads the settings file on each SIGHUP and passes the settings to `apply`. A
/// file that is not valid changes nothing.
pub(crate) async fn on_reload(path: &Path, apply: impl Fn(Settings)) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        match boot::read(path, 0) {
            Ok(settings) => {
                log::info!("E7011 reloaded the settings");
                apply(settings);
            }
            Err(error) => {
                log::error!(
                    "E7012 reloading the settings failed, keeping the current ones: {error}"
                )
            }
        }
    }
    Ok(())
}

/// Waits for SIGTERM or SIGINT and then sets [`Phase::Leaving`].
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
