//! Signals that ask a process to leave.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns the error of installing a signal handler.
pub async fn signalled() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => log::info!("leaving on SIGTERM"),
        _ = interrupt.recv() => log::info!("leaving on SIGINT"),
    }
    Ok(())
}
