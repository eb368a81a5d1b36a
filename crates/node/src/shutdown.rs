//! The steps of a graceful stop.

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
