//! The control thread: the only owner of a process's state machine.
//!
//! Other tasks send it commands and have no access to the state. The thread calls the state machine
//! for each command, and at the time that the state machine requested. After a suspension of the
//! process it holds deferred commands until the configuration is confirmed or
//! [`HOLD_LIMIT`](comfreyhaven_core::suspension::HOLD_LIMIT) has passed.

use std::thread::JoinHandle;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::suspension::SuspensionGuard;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::error::ProcessError;

/// Sender of commands to the control thread. The thread ends when all its senders are dropped.
pub type Mailbox<C> = mpsc::UnboundedSender<C>;

/// How a command is handled after a suspension of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// The command is held until the configuration is confirmed or the time limit has passed.
    Deferred,
    /// The command is handled at once.
    Immediate,
    /// The command reports that the configuration is confirmed, and releases those that are held.
    Confirmation,
}

/// A running control thread.
#[derive(Debug)]
pub struct ControlThread(JoinHandle<()>);

impl ControlThread {
    /// Starts the thread. It calls `step` with a command, or with `None` at the time that the last
    /// call of `step` returned. It sends a message on `suspensions` after each suspension of the
    /// process; the receiver must answer with a command of class [`Urgency::Confirmation`].
    ///
    /// # Errors
    /// Returns [`ProcessError::Start`] if the thread or its runtime cannot be created.
    pub fn spawn<C: Send + 'static>(
        clock: Clock,
        urgency: fn(&C) -> Urgency,
        suspensions: mpsc::UnboundedSender<()>,
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
                suspensions,
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
                    wake = control.run_once(command);
                }
            });
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(body)?;
        Ok((Self(thread), mailbox))
    }

    /// Waits until the thread has ended.
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

/// State of the thread's loop.
struct Loop<C, F> {
    clock: Clock,
    urgency: fn(&C) -> Urgency,
    suspensions: mpsc::UnboundedSender<()>,
    step: F,
    guard: SuspensionGuard<C>,
    /// Time at which `step` is to be called without a command.
    wake: Timestamp,
}

impl<C, F: FnMut(Option<C>, Timestamp) -> Timestamp> Loop<C, F> {
    /// Handles one command or a scheduled call. Returns the time of the next scheduled call.
    fn run_once(&mut self, command: Option<C>) -> Timestamp {
        let now = self.clock.now();
        if self.guard.observe(now) {
            log::warn!(
                "the process was suspended; new commands wait until the configuration is confirmed"
            );
            let _ = self.suspensions.send(());
        }
        let mut ready = self.guard.expire(now);
        if let Some(command) = command {
            match (self.urgency)(&command) {
                Urgency::Deferred => ready.extend(self.guard.admit(command)),
                Urgency::Immediate => self.wake = (self.step)(Some(command), now),
                Urgency::Confirmation => ready.extend(self.guard.confirm()),
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

/// Sends a command with a reply channel and waits for the reply. Returns the default if the control
/// thread has ended.
pub async fn call<C, T: Default>(
    mailbox: Mailbox<C>,
    command: impl FnOnce(oneshot::Sender<T>) -> C,
) -> T {
    let (reply, answer) = oneshot::channel();
    let _ = mailbox.send(command(reply));
    answer.await.unwrap_or_default()
}
