//! Starts one program of the workspace, reads the ports that it announces, and sends it signals.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{ChildStdout, Command};

use crate::error::HarnessError;

/// Maximum time between two lines of a program that has not announced all its ports.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between two checks whether a process is suspended.
const STOP_INTERVAL: Duration = Duration::from_millis(1);

/// Number of log lines in an error message.
const TAIL_LINES: usize = 5;

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Child {
    program: String,
    process: tokio::process::Child,
    ports: HashMap<String, SocketAddr>,
}

/// Appends the standard output of a process to its log until the process exits.
async fn copy_output(mut lines: Lines<BufReader<ChildStdout>>, path: PathBuf) {
    let file = File::options().create(true).append(true).open(&path);
    let mut file = match file {
        Ok(file) => file,
        Err(error) => return log::warn!("{}: {error}", path.display()),
    };
    while let Ok(Some(line)) = lines.next_line().await {
        if let Err(error) = writeln!(file, "{line}") {
            return log::warn!("{}: {error}", path.display());
        }
    }
}

impl Child {
    /// Starts a program of this workspace and waits until it has announced `ports` ports. Its
    /// output goes to the file `log`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the program cannot be started, or exits or times out before it
    /// announces the ports.
    pub async fn start(
        program: &str,
        arguments: &[String],
        ports: usize,
        log: &Path,
    ) -> Result<Self, HarnessError> {
        let mut process = Command::new(binary_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .kill_on_drop(true)
            .spawn()?;
        let not_announced = || HarnessError::Ended {
            program: program.to_owned(),
            log: log_tail(log),
        };
        let output = process.stdout.take().ok_or_else(not_announced)?;
        let mut lines = BufReader::new(output).lines();
        let mut announced = HashMap::new();
        while announced.len() < ports {
            let line = tokio::time::timeout(START_TIMEOUT, lines.next_line());
            let line = line
                .await
                .map_err(|_| not_announced())??
                .ok_or_else(not_announced)?;
            if let Some((name, address)) = parse_port(&line) {
                announced.insert(name, address);
            }
        }
        tokio::spawn(copy_output(lines, log.to_owned()));
        Ok(Self {
            program: program.to_owned(),
            process,
            ports: announced,
        })
    }

    /// Returns the address of an announced port, such as `listen` or `admin`.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if the program did not announce it.
    pub fn port(&self, name: &str) -> Result<SocketAddr, HarnessError> {
        let missing = || HarnessError::Port {
            program: self.program.clone(),
            port: name.to_owned(),
        };
        self.ports.get(name).copied().ok_or_else(missing)
    }

    /// Returns the process id, or `None` after the process was awaited.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`. After `STOP` it waits until every thread
    /// is suspended, because on a busy machine threads may run for some time after the signal.
    ///
    /// # Errors
    /// Returns an error if the `kill` program cannot be run or the thread states cannot be read.
    pub async fn signal(&self, name: &str) -> Result<(), HarnessError> {
        let Some(id) = self.id() else { return Ok(()) };
        let arguments = [format!("-{name}"), id.to_string()];
        Command::new("kill").args(arguments).status().await?;
        while name == "STOP" && !is_suspended(id)? {
            tokio::time::sleep(STOP_INTERVAL).await;
        }
        Ok(())
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if the process cannot be killed.
    pub async fn kill(&mut self) -> Result<(), HarnessError> {
        Ok(self.process.kill().await?)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    /// Returns an error if the process cannot be awaited.
    pub async fn wait(&mut self) -> Result<ExitStatus, HarnessError> {
        Ok(self.process.wait().await?)
    }
}

fn parse_port(line: &str) -> Option<(String, SocketAddr)> {
    let (name, address) = line.strip_prefix("listening ")?.split_once(' ')?;
    Some((name.to_owned(), address.parse().ok()?))
}

/// Finds a binary of this workspace in the directory of the running program or in its parent, since
/// test binaries are in `deps`.
fn binary_path(program: &str) -> Result<PathBuf, HarnessError> {
    let current = std::env::current_exe()?;
    let directories = current.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(program));
    let path = candidates.find(|path| path.is_file());
    path.ok_or_else(|| {
        let hint = format!("{program} is not built; run `cargo build --workspace` first");
        std::io::Error::new(std::io::ErrorKind::NotFound, hint).into()
    })
}

/// Returns the last lines of a log for an error message, because the file is deleted together with
/// its deployment.
fn log_tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
}

/// Returns whether every thread of a process is stopped or has exited. The state follows the name
/// in `/proc/ID/task/THREAD/stat`, see proc(5).
fn is_suspended(id: u32) -> std::io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("stat")).unwrap_or_default();
        let state = stat
            .rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next());
        if state.is_some_and(|state| state != 'T') {
            return Ok(false);
        }
    }
    Ok(true)
}
