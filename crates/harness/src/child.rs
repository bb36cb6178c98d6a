//! One process that the harness started.

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

/// How long a program may take to announce its ports.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between looks whether a process has stopped.
const STOP_INTERVAL: Duration = Duration::from_millis(1);

/// Lines of a log that an error shows.
const TAIL_LINES: usize = 5;

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Child {
    program: String,
    process: tokio::process::Child,
    ports: HashMap<String, SocketAddr>,
}

/// Adds what a process goes on to write to its log, until it ends.
async fn keep(mut lines: Lines<BufReader<ChildStdout>>, path: PathBuf) {
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
    /// Starts a program of this workspace and waits until it has announced `ports` ports.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it cannot be started or ends first.
    pub async fn start(
        program: &str,
        arguments: &[String],
        ports: usize,
        log: &Path,
    ) -> Result<Self, HarnessError> {
        let mut process = Command::new(binary(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .kill_on_drop(true)
            .spawn()?;
        let ended = || HarnessError::Ended {
            program: program.to_owned(),
            log: tail(log),
        };
        let output = process.stdout.take().ok_or_else(ended)?;
        let mut lines = BufReader::new(output).lines();
        let mut known = HashMap::new();
        while known.len() < ports {
            let line = tokio::time::timeout(START_TIMEOUT, lines.next_line());
            let line = line.await.map_err(|_| ended())??.ok_or_else(ended)?;
            if let Some((name, address)) = parse(&line) {
                known.insert(name, address);
            }
        }
        tokio::spawn(keep(lines, log.to_owned()));
        Ok(Self {
            program: program.to_owned(),
            process,
            ports: known,
        })
    }

    /// The address of an announced port.
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

    /// The process's identifier, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`. After `STOP` it waits until every thread has
    /// stopped, which on a busy machine is some time after the signal.
    ///
    /// # Errors
    /// Returns the error of the `kill` program or of reading the threads' states.
    pub async fn signal(&self, name: &str) -> Result<(), HarnessError> {
        let Some(id) = self.id() else { return Ok(()) };
        let arguments = [format!("-{name}"), id.to_string()];
        Command::new("kill").args(arguments).status().await?;
        while name == "STOP" && !is_stopped(id)? {
            tokio::time::sleep(STOP_INTERVAL).await;
        }
        Ok(())
    }

    /// Kills the process at once and waits for its end.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub async fn kill(&mut self) -> Result<(), HarnessError> {
        Ok(self.process.kill().await?)
    }

    /// Waits for the process's end.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub async fn wait(&mut self) -> Result<ExitStatus, HarnessError> {
        Ok(self.process.wait().await?)
    }
}

fn parse(line: &str) -> Option<(String, SocketAddr)> {
    let (name, address) = line.strip_prefix("listening ")?.split_once(' ')?;
    Some((name.to_owned(), address.parse().ok()?))
}

/// A program of this workspace, beside the program that runs now.
fn binary(program: &str) -> Result<PathBuf, HarnessError> {
    let current = std::env::current_exe()?;
    let directories = current.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(program));
    let found = candidates.find(|path| path.is_file());
    found.ok_or_else(|| {
        let hint = format!("{program} is not built; run `cargo build --workspace` first");
        std::io::Error::new(std::io::ErrorKind::NotFound, hint).into()
    })
}

/// The end of a log, which goes with its deployment.
fn tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
}

/// Whether every thread of a process is stopped or gone, by the state after the name in
/// `/proc/ID/task/THREAD/stat`, as proc(5) has it.
fn is_stopped(id: u32) -> std::io::Result<bool> {
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
