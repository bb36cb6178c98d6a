//! The control thread: the only owner of a process's state machine.
//!
//! Traffic tasks send commands and never share the state. The thread also calls when a time that
//! the state asked for has come. After a pause of the process it holds commands back until the
//! configuration is confirmed.

use std::thread::JoinHandle;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::suspension::SuspensionGuard;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::error::ProcessError;

/// Where traffic tasks send commands. The thread ends once every mailbox is dropped.
pub type Mailbox<C> = mpsc::UnboundedSender<C>;

/// How a command is treated after a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It waits until the configuration is confirmed.
    Waits,
    /// It is carried out at once.
    Immediate,
    /// It says that the configuration is confirmed.
    Confirms,
}

/// A running control thread.
#[derive(Debug)]
pub struct ControlThread(JoinHandle<()>);

impl ControlThread {
    /// Starts the thread. `step` is given a command, or `None` when its time has come, and returns
    /// the time of its next call. `pauses` is told of each pause of the process, and must be
    /// followed by a command that confirms.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be made.
    pub fn spawn<C: Send + 'static>(
        clock: Clock,
        urgency: fn(&C) -> Urgency,
        pauses: mpsc::UnboundedSender<()>,
        step: impl FnMut(Option<C>, Timestamp) -> Timestamp + Send + 'static,
    ) -> Result<(Self, Mailbox<C>), ProcessError> {
        let (mailbox, mut commands) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()?;
        let body = move || {
            let mut control = Loop {
                clock,
                urgency,
                pauses,
                step,
                guard: SuspensionGuard::new(clock.now()),
                wake: Timestamp::NEVER,
            };
            runtime.block_on(async {
                let mut wake = clock.now();
                loop {
                    let command = tokio::select! {
                        command = commands.recv() => match command {
                            Some(command) => Some(command),
                            None => return,
                        },
                        () = sleep(clock, wake) => None,
                    };
                    wake = control.turn(command);
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

/// What the thread runs.
struct Loop<C, F> {
    clock: Clock,
    urgency: fn(&C) -> Urgency,
    pauses: mpsc::UnboundedSender<()>,
    step: F,
    guard: SuspensionGuard<C>,
    /// When the state asked to be called.
    wake: Timestamp,
}

impl<C, F: FnMut(Option<C>, Timestamp) -> Timestamp> Loop<C, F> {
    /// Handles one command or a wake-up, and tells when the next is due.
    fn turn(&mut self, command: Option<C>) -> Timestamp {
        let now = self.clock.now();
        if self.guard.observe(now) {
            log::warn!("the process was paused; new work waits for the configuration");
            let _ = self.pauses.send(());
        }
        let mut ready = self.guard.expire(now);
        if let Some(command) = command {
            match (self.urgency)(&command) {
                Urgency::Waits => ready.extend(self.guard.admit(command)),
                Urgency::Immediate => self.wake = (self.step)(Some(command), now),
                Urgency::Confirms => ready.extend(self.guard.confirm()),
            }
        }
        for command in ready {
            self.wake = (self.step)(Some(command), self.clock.now());
        }
        if self.wake <= now && !self.guard.is_holding() {
            self.wake = (self.step)(None, now);
        }
        self.guard.wake(self.wake, self.clock.now())
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
