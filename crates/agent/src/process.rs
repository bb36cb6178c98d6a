//! Starts the parts of an agent process, and stops them when the process leaves.

use std::sync::Arc;

use comfreyhaven_config::settings::AgentSettings;
use comfreyhaven_core::BootNonce;
use comfreyhaven_core::agent::{Agent, Event};
use comfreyhaven_core::fleet::{EndpointKind, Fleet};
use comfreyhaven_core::host_list::HostList;
use comfreyhaven_process::admin;
use comfreyhaven_process::clock::Clock;
use comfreyhaven_process::configuration::Configuration;
use comfreyhaven_process::control::{ControlThread, Mailbox};
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_process::platform::{HttpConfiguration, HttpHostList};
use comfreyhaven_process::query::QueryClient;
use comfreyhaven_process::{configuration, hosts, server, shutdown};
use prometheus::Registry;
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::command::{Command, Control};
use crate::endpoint::Endpoint;
use crate::metrics::Metrics;
use crate::{bodies, probe, reservations};

/// Runs an agent until it has received a stop signal and every accepted request has ended.
///
/// # Errors
/// Returns a [`ProcessError`] if an address cannot be listened on or the control thread fails.
pub async fn run(settings: AgentSettings) -> Result<(), ProcessError> {
    let process = &settings.process;
    let control_listener = server::bind(process.control).await?;
    let traffic_listener = server::bind(settings.traffic).await?;
    let admin_listener = server::bind(process.admin).await?;
    server::announce("control", &control_listener);
    server::announce("traffic", &traffic_listener);
    server::announce("admin", &admin_listener);

    let registry = Registry::new();
    let metrics = Metrics::new(&registry).map_err(std::io::Error::other)?;
    let agent = Agent::new(settings.name.clone(), BootNonce::new(rand::random()));
    let mut state = Control::new(agent, metrics);
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
    tasks.spawn(reservations::serve(
        control_listener,
        mailbox.clone(),
        configuration.clone(),
        stop.clone(),
    ));
    let name = settings.name.clone();
    let host_leaving =
        move |hosts: &HostList| Command::Event(Event::HostLeaving(hosts.is_leaving(name.as_str())));
    let list = HttpHostList::new(source, process.hosts);
    tasks.spawn(hosts::follow(
        list,
        mailbox.clone(),
        host_leaving,
        stop.clone(),
    ));
    let inquirer = QueryClient::new(mailbox.clone(), Command::Query);
    let view = admin::View::new(registry, inquirer.clone(), configuration, is_ready);
    tasks.spawn(admin::serve(admin_listener, view, stop.clone()));

    let serving = serve_endpoint(&settings, traffic_listener, &mailbox, fleet, &tasks, &stop);
    tokio::select! {
        () = serving => {}
        signalled = shutdown::wait_for_signal() => signalled?,
    }
    let _ = mailbox.send(Command::Event(Event::Leave));
    inquirer.wait_until_idle().await;
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    drop((mailbox, inquirer));
    thread.join().await
}

/// Waits until the configuration declares the endpoint, then starts the tasks that depend on the
/// declaration. Never returns.
async fn serve_endpoint(
    settings: &AgentSettings,
    listener: tokio::net::TcpListener,
    mailbox: &Mailbox<Command>,
    mut fleet: watch::Receiver<Arc<Fleet>>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) {
    let kind = declared_kind(settings, &mut fleet).await;
    let (source, target) = (settings.process.control.ip(), settings.endpoint);
    let endpoint = Endpoint::new(source, target, kind);
    tasks.spawn(probe::watch(
        source,
        target,
        kind,
        mailbox.clone(),
        stop.clone(),
    ));
    tasks.spawn(bodies::serve(
        listener,
        mailbox.clone(),
        endpoint,
        fleet,
        stop.clone(),
    ));
    std::future::pending::<()>().await;
}

async fn declared_kind(
    settings: &AgentSettings,
    fleet: &mut watch::Receiver<Arc<Fleet>>,
) -> EndpointKind {
    let declared = fleet
        .wait_for(|fleet| fleet.endpoints.contains_key(&settings.name))
        .await;
    let kind = declared
        .ok()
        .and_then(|fleet| Some(fleet.endpoints.get(&settings.name)?.kind));
    match kind {
        Some(kind) => kind,
        None => std::future::pending().await,
    }
}

/// Returns whether a process with this state accepts new requests.
fn is_ready(state: &Value) -> bool {
    !state["endpoint"].is_null() && state["leaving"] == false
}
