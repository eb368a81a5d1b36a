//! The steps of a graceful stop.

use std::path::Path;

use platform::boot;
use platform::boot::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

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
