//! Starts the parts of an entry process, and stops them when the process leaves.

use comfreyhaven_config::settings::EntrySettings;
use comfreyhaven_core::BootNonce;
use comfreyhaven_core::entry::{Entry, Event};
use comfreyhaven_process::admin;
use comfreyhaven_process::clock::Clock;
use comfreyhaven_process::configuration::Configuration;
use comfreyhaven_process::control::ControlThread;
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_process::peer;
use comfreyhaven_process::platform::HttpConfiguration;
use comfreyhaven_process::query::QueryClient;
use comfreyhaven_process::{configuration, server, shutdown};
use prometheus::Registry;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::agents::Agents;
use crate::command::{Command, Control};
use crate::http::{self, Context};
use crate::metrics::Metrics;
use crate::peers::{self, MailboxLender, Peers};

/// Runs an entry until it has received a stop signal and has answered every caller.
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
    let (message_sender, messages) = mpsc::unbounded_channel();
    let mut state = Control::new(entry, metrics, message_sender);
    let step = move |command, now| state.step(command, now);
    let (suspension_sender, suspensions) = mpsc::unbounded_channel();
    let (thread, mailbox) =
        ControlThread::spawn(Clock::start(), Command::urgency, suspension_sender, step)?;

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
    tasks.spawn(configuration.clone().forward(
        mailbox.clone(),
        suspensions,
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
    let inquirer = QueryClient::new(mailbox.clone(), Command::Query);
    let view = admin::View::new(registry, inquirer.clone(), configuration, is_ready);
    tasks.spawn(admin::serve(admin_listener, view, stop.clone()));

    let peers = Peers::new(settings.name.clone(), source, fleet.clone(), tasks.clone());
    tasks.spawn(peers::run(messages, peers, mailbox.clone(), stop.clone()));
    let agents = Agents::new(source, fleet.clone(), tasks.clone());
    let drivers = TaskTracker::new();
    let context = Context {
        mailbox: mailbox.clone(),
        agents,
        fleet,
        drivers,
    };
    tasks.spawn(http::serve(listener, context, stop.clone()));

    shutdown::wait_for_signal().await?;
    let _ = mailbox.send(Command::Event(Event::Leave));
    inquirer.wait_until_idle().await;
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    drop((mailbox, inquirer));
    thread.join().await
}

/// Returns whether a process with this state accepts new requests.
fn is_ready(state: &Value) -> bool {
    state["configured"] == true && state["leaving"] == false
}
