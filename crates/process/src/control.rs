//! The control thread: the only owner of a process's state machine.
//!
//! Traffic tasks send commands and never share the state. The thread also calls when a time that
//! the state asked for has come.

use std::thread::JoinHandle;

use comfreyhaven_core::Timestamp;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::error::ProcessError;

/// Where traffic tasks send commands. The thread ends once every mailbox is dropped.
pub type Mailbox<C> = mpsc::UnboundedSender<C>;

/// A running control thread.
#[derive(Debug)]
pub struct ControlThread(JoinHandle<()>);

impl ControlThread {
    /// Starts the thread. `step` is given a command, or `None` when its time has come, and returns
    /// the time of its next call.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be made.
    pub fn spawn<C: Send + 'static>(
        clock: Clock,
        mut step: impl FnMut(Option<C>, Timestamp) -> Timestamp + Send + 'static,
    ) -> Result<(Self, Mailbox<C>), ProcessError> {
        let (mailbox, mut commands) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()?;
        let body = move || {
            runtime.block_on(async {
                let mut wake = Timestamp::NEVER;
                loop {
                    tokio::select! {
                        command = commands.recv() => match command {
                            Some(command) => wake = step(Some(command), clock.now()),
                            None => return,
                        },
                        () = sleep(clock, wake) => wake = step(None, clock.now()),
                    }
                }
            });
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(body)?;
        Ok((Self(thread), mailbox))
    }

    /// Waits for the thread's end.
    ///
    /// # Errors
    /// Returns [`ProcessError::Control`] if it panicked.
    pub async fn join(self) -> Result<(), ProcessError> {
        let joined = tokio::task::spawn_blocking(|| self.0.join()).await;
        match joined {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(ProcessError::Control),
        }
    }
}

async fn sleep(clock: Clock, wake: Timestamp) {
    match clock.instant(wake) {
        Some(instant) => tokio::time::sleep_until(instant.into()).await,
        None => std::future::pending().await,
    }
}

/// Sends a command with a reply channel and waits for the answer, or gives the default if the
/// control thread has ended.
pub async fn ask<C, T: Default>(
    mailbox: Mailbox<C>,
    command: impl FnOnce(oneshot::Sender<T>) -> C,
) -> T {
    let (reply, answer) = oneshot::channel();
    let _ = mailbox.send(command(reply));
    answer.await.unwrap_or_default()
}
