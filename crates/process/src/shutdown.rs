//! Signals that start the shutdown of a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if a signal handler cannot be installed.
pub async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => log::info!("leaving on SIGTERM"),
        _ = interrupt.recv() => log::info!("leaving on SIGINT"),
    }
    Ok(())
}
