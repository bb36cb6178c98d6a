//! Starts the processes of a plan, publishes its configuration and waits until they are ready.

mod access;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use comfreyhaven_standin::relay::Relay;
use hyper::Method;
use tempfile::TempDir;

use crate::call::Caller;
use crate::child::Child;
use crate::error::HarnessError;
use crate::network::Network;
use crate::plan::{EndpointPlan, Plan};
use crate::render::{self, ProcessAddresses};

/// Maximum time for each process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between two readiness checks of a process.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// The processes of one plan, running on loopback.
#[derive(Debug)]
pub struct Deployment {
    plan: Plan,
    network: Network,
    directory: TempDir,
    configuration: Child,
    host_list: Child,
    endpoints: Vec<Child>,
    agents: Vec<Child>,
    entries: Vec<Child>,
    agent_relays: Vec<AgentRelays>,
    endpoint_relays: Vec<Relay>,
    entry_relays: Vec<Relay>,
    generation: u64,
    peers: Vec<SocketAddr>,
}

/// The relays in front of the ports of one agent.
#[derive(Debug)]
pub struct AgentRelays {
    /// In front of the control port, which receives reservations.
    pub control: Relay,
    /// In front of the traffic port, which receives request bodies.
    pub traffic: Relay,
}

impl Deployment {
    /// Starts all processes of a plan, publishes its configuration and waits until they are ready.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if a process does not start or does not become ready.
    pub async fn start(plan: Plan) -> Result<Self, HarnessError> {
        let directory = tempfile::Builder::new().prefix("comfreyhaven-").tempdir()?;
        let log = |name: &str| directory.path().join(format!("{name}.log"));
        let configuration =
            Child::start("standin-configuration", &[], 1, &log("configuration")).await?;
        let lag_arguments = ["--lag-ms".to_owned(), plan.lag_ms.to_string()];
        let host_list = Child::start("standin-hosts", &lag_arguments, 1, &log("hosts")).await?;
        let mut deployment = Self {
            plan,
            network: Network::next(),
            directory,
            configuration,
            host_list,
            endpoints: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            agent_relays: Vec::new(),
            endpoint_relays: Vec::new(),
            entry_relays: Vec::new(),
            generation: 0,
            peers: Vec::new(),
        };
        deployment.start_all().await?;
        deployment.publish().await?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn start_all(&mut self) -> Result<(), HarnessError> {
        for plan in self.plan.endpoints.clone() {
            let endpoint = self.start_endpoint(&plan).await?;
            if self.plan.relays {
                let target = endpoint.port("listen")?;
                self.endpoint_relays
                    .push(Relay::start(target.ip(), target).await?);
            }
            self.endpoints.push(endpoint);
        }
        for index in 0..self.plan.endpoints.len() {
            let agent = self.start_agent(index, None).await?;
            if self.plan.relays {
                self.agent_relays.push(AgentRelays::start(&agent).await?);
            }
            self.agents.push(agent);
        }
        for index in 0..self.plan.entries.len() {
            let entry = self.start_entry(index, None).await?;
            if self.plan.relays {
                let control = entry.port("control")?;
                self.entry_relays
                    .push(Relay::start(control.ip(), control).await?);
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    async fn start_endpoint(&self, plan: &EndpointPlan) -> Result<Child, HarnessError> {
        let program = if plan.is_engine {
            "standin-engine"
        } else {
            "standin-booking"
        };
        Child::start(program, &plan.arguments, 1, &self.log_path(&plan.name)).await
    }

    /// Starts an agent. A replacement gets the addresses of the `previous` process.
    async fn start_agent(
        &self,
        index: usize,
        previous: Option<&Child>,
    ) -> Result<Child, HarnessError> {
        let plan = &self.plan.endpoints[index];
        let ip = self.network.agent(index).to_string();
        let endpoint = match self.endpoint_relays.get(index) {
            Some(relay) => relay.address(),
            None => self.endpoints[index].port("listen")?,
        };
        let section = format!(
            "[agent]\nname = {}\ntraffic = {}\nendpoint = {endpoint}\n",
            plan.name,
            address(previous, "traffic", &ip)?,
        );
        let text = self.process_section(&plan.centre, previous, &ip)? + &section;
        let arguments = self.write_settings(&format!("agent-{}.ini", plan.name), &text)?;
        let log = self.log_path(&format!("agent-{}", plan.name));
        Child::start("comfreyhaven-agent", &arguments, 3, &log).await
    }

    async fn start_entry(
        &self,
        index: usize,
        previous: Option<&Child>,
    ) -> Result<Child, HarnessError> {
        let plan = &self.plan.entries[index];
        let ip = self.network.entry(index).to_string();
        let listen = address(previous, "listen", &ip)?;
        let section = format!("[entry]\nname = {}\nlisten = {listen}\n", plan.name);
        let text = self.process_section(&plan.centre, previous, &ip)? + &section;
        let arguments = self.write_settings(&format!("entry-{}.ini", plan.name), &text)?;
        let log = self.log_path(&format!("entry-{}", plan.name));
        Child::start("comfreyhaven-entry", &arguments, 3, &log).await
    }

    fn process_section(
        &self,
        centre: &str,
        previous: Option<&Child>,
        ip: &str,
    ) -> Result<String, HarnessError> {
        Ok(format!(
            "[process]\ndata centre = {centre}\ncontrol = {}\nadmin = {}\n\
             configuration service = {}\nhost list = {}\nlog = {}\npeers = {}\n",
            address(previous, "control", ip)?,
            address(previous, "admin", ip)?,
            self.configuration.port("listen")?,
            self.host_list.port("listen")?,
            self.plan.log_filter,
            collect_names(&self.peers, ToString::to_string).join(", "),
        ))
    }

    /// Publishes the documents of the plan with the next generation.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the configuration service does not answer.
    pub async fn publish(&mut self) -> Result<(), HarnessError> {
        self.generation += 1;
        let entries = collect_names(&self.plan.entries, |plan| plan.name.clone());
        let mut entries = collect_addresses(entries, &self.entries, "listen")?;
        for (entry, relay) in entries.iter_mut().zip(&self.entry_relays) {
            entry.control = relay.address().to_string();
        }
        let agents = collect_names(&self.plan.endpoints, |plan| plan.name.clone());
        let mut agents = collect_addresses(agents, &self.agents, "traffic")?;
        for (agent, relays) in agents.iter_mut().zip(&self.agent_relays) {
            agent.control = relays.control.address().to_string();
            agent.traffic = relays.traffic.address().to_string();
        }
        let documents = [
            (
                "fleet",
                render::fleet(&self.plan, &entries, &agents, self.generation),
            ),
            ("routes", render::routes(&self.plan, self.generation)),
            ("teams-0", render::teams(&self.plan, self.generation)),
        ];
        for (name, text) in documents {
            self.publish_text(name, text).await?;
        }
        Ok(())
    }

    /// Publishes `text` unchanged as the document `name`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the configuration service does not answer.
    pub async fn publish_text(&self, name: &str, text: String) -> Result<(), HarnessError> {
        let service = Caller::new(self.configuration.port("listen")?);
        service
            .send(Method::PUT, &format!("/values/{name}"), text)
            .await?;
        Ok(())
    }

    /// Waits until every agent and entry is healthy and has the last published generation in force.
    ///
    /// # Errors
    /// Returns [`HarnessError::NotReady`] if a process does not become ready in time.
    pub async fn wait_ready(&self) -> Result<(), HarnessError> {
        for child in self.agents.iter().chain(&self.entries) {
            let admin = Caller::new(child.port("admin")?);
            let start = Instant::now();
            while !self.is_ready(&admin).await? {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(HarnessError::NotReady(child.port("admin")?.to_string()));
                }
                tokio::time::sleep(READY_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, admin: &Caller) -> Result<bool, HarnessError> {
        let generations = admin.get("/state").await?.json()["generations"].take();
        let is_current = ["fleet", "routes", "teams-0"]
            .iter()
            .all(|document| generations[document] == self.generation);
        Ok(is_current && admin.get("/health").await?.status == 200)
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.directory.path().join(format!("{name}.log"))
    }

    fn write_settings(&self, name: &str, text: &str) -> Result<[String; 2], HarnessError> {
        let path: &Path = &self.directory.path().join(name);
        std::fs::write(path, text)?;
        Ok(["--settings".to_owned(), path.display().to_string()])
    }
}

impl AgentRelays {
    async fn start(agent: &Child) -> Result<Self, HarnessError> {
        let (control, traffic) = (agent.port("control")?, agent.port("traffic")?);
        Ok(Self {
            control: Relay::start(control.ip(), control).await?,
            traffic: Relay::start(traffic.ip(), traffic).await?,
        })
    }
}

/// Returns the address that the previous process announced as `port`, or a free port of `ip`.
fn address(previous: Option<&Child>, port: &str, ip: &str) -> Result<String, HarnessError> {
    match previous {
        Some(child) => Ok(child.port(port)?.to_string()),
        None => Ok(format!("{ip}:0")),
    }
}

fn collect_names<T>(plans: &[T], name: impl Fn(&T) -> String) -> Vec<String> {
    plans.iter().map(name).collect()
}

fn collect_addresses(
    names: Vec<String>,
    children: &[Child],
    traffic_port: &str,
) -> Result<Vec<ProcessAddresses>, HarnessError> {
    let address = |child: &Child, port: &str| Ok::<_, HarnessError>(child.port(port)?.to_string());
    let process_addresses = |(name, child): (String, &Child)| {
        Ok(ProcessAddresses {
            name,
            control: address(child, "control")?,
            traffic: address(child, traffic_port)?,
        })
    };
    names
        .into_iter()
        .zip(children)
        .map(process_addresses)
        .collect()
}
