//! The entry process from start to exit.

use std::time::Duration;

use comfreyhaven_config::settings::EntrySettings;
use comfreyhaven_core::BootNonce;
use comfreyhaven_core::entry::{Entry, Event};
use comfreyhaven_process::admin::{self, Health};
use comfreyhaven_process::clock::Clock;
use comfreyhaven_process::configuration::Configuration;
use comfreyhaven_process::control::{self, ControlThread, Mailbox};
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_process::peer;
use comfreyhaven_process::platform::HttpConfiguration;
use comfreyhaven_process::{configuration, server, shutdown};
use prometheus::Registry;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::command::{Command, Control};
use crate::http::{self, Context};
use crate::links::Links;
use crate::metrics::Metrics;
use crate::peers::{self, MailboxLender, Peers};

/// How often a leaving entry looks whether it may exit.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an entry until it is told to leave and has answered every caller.
///
/// # Errors
/// Returns a [`ProcessError`] if an address cannot be listened on or the control thread fails.
pub async fn run(settings: EntrySettings) -> Result<(), ProcessError> {
    let process = &settings.process;
    let listener = server::bind(settings.listen).await?;
    let control_listener = server::bind(process.control).await?;
    let admin_listener = server::bind(process.admin).await?;
    server::announce("listen", &listener);
    server::announce("control", &control_listener);
    server::announce("admin", &admin_listener);

    let registry = Registry::new();
    let metrics = Metrics::new(&registry).map_err(std::io::Error::other)?;
    let boot = BootNonce::new(rand::random());
    let entry = Entry::new(settings.name.clone(), boot, rand::random());
    let (word_sender, words) = mpsc::unbounded_channel();
    let mut state = Control::new(entry, metrics, word_sender);
    let step = move |command, now| state.step(command, now);
    let (pauses, paused) = mpsc::unbounded_channel();
    let (thread, mailbox) = ControlThread::spawn(Clock::start(), Command::urgency, pauses, step)?;

    let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
    let source = process.control.ip();
    let configuration = Configuration::start(
        control_listener.local_addr()?,
        &process.peers,
        HttpConfiguration::new(source, process.configuration),
        configuration::Metrics::new(&registry).map_err(std::io::Error::other)?,
        &tasks,
        stop.clone(),
    );
    let fleet = configuration.fleet();
    let configured = |fleet| Command::Event(Event::Configured(fleet));
    tasks.spawn(configuration.clone().pass_on(
        mailbox.clone(),
        paused,
        configured,
        || Command::Confirmed,
        stop.clone(),
    ));
    tasks.spawn(peer::listen(
        control_listener,
        configuration.clone(),
        MailboxLender::new(mailbox.clone()),
        stop.clone(),
    ));
    let (dump, ready, asked) = (mailbox.clone(), mailbox.clone(), mailbox.clone());
    let state = move || dump_state(dump.clone(), configuration.clone());
    let health = move || health(ready.clone());
    let explain =
        move |request| control::ask(asked.clone(), move |reply| Command::Explain(request, reply));
    tasks.spawn(admin::serve(
        admin_listener,
        registry,
        stop.clone(),
        state,
        health,
        explain,
    ));

    let peers = Peers::new(settings.name.clone(), source, fleet.clone(), tasks.clone());
    tasks.spawn(peers::run(words, peers, mailbox.clone(), stop.clone()));
    let links = Links::new(source, fleet.clone(), tasks.clone());
    let drivers = TaskTracker::new();
    let context = Context {
        mailbox: mailbox.clone(),
        links,
        fleet,
        drivers,
    };
    tasks.spawn(http::serve(listener, context, stop.clone()));

    shutdown::signalled().await?;
    drain(&mailbox).await;
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    drop(mailbox);
    thread.join().await
}

async fn drain(mailbox: &Mailbox<Command>) {
    let _ = mailbox.send(Command::Event(Event::Leave));
    while !control::ask(mailbox.clone(), Command::Idle).await {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}

/// The dump of the process's state.
async fn dump_state(mailbox: Mailbox<Command>, configuration: Configuration) -> serde_json::Value {
    let mut state = control::ask(mailbox, Command::Dump).await;
    state["configuration"] = configuration.status();
    state
}

async fn health(mailbox: Mailbox<Command>) -> Health {
    let state = control::ask(mailbox, Command::Dump).await;
    Health {
        ready: state["configured"] == true && state["leaving"] == false,
    }
}
