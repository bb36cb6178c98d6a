//! A running deployment.

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
use crate::render::{self, Addresses};

/// How long the processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Processes on loopback that belong together.
#[derive(Debug)]
pub struct Deployment {
    plan: Plan,
    network: Network,
    directory: TempDir,
    configuration: Child,
    hosts: Child,
    endpoints: Vec<Child>,
    agents: Vec<Child>,
    entries: Vec<Child>,
    relays: Vec<Relays>,
    doors: Vec<Relay>,
    gates: Vec<Relay>,
    generation: u64,
    peers: Vec<SocketAddr>,
}

/// Relays before the ports of one agent.
#[derive(Debug)]
pub struct Relays {
    /// Before the control port, where reservations arrive.
    pub control: Relay,
    /// Before the traffic port, where bodies arrive.
    pub traffic: Relay,
}

impl Deployment {
    /// Starts every process of a plan, publishes its configuration and waits until all are ready.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if a process does not start or does not become ready.
    pub async fn start(plan: Plan) -> Result<Self, HarnessError> {
        let directory = tempfile::Builder::new().prefix("comfreyhaven-").tempdir()?;
        let log = |name: &str| directory.path().join(format!("{name}.log"));
        let configuration =
            Child::start("standin-configuration", &[], 1, &log("configuration")).await?;
        let lag = ["--lag-ms".to_owned(), plan.lag.to_string()];
        let hosts = Child::start("standin-hosts", &lag, 1, &log("hosts")).await?;
        let mut deployment = Self {
            plan,
            network: Network::next(),
            directory,
            configuration,
            hosts,
            endpoints: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            relays: Vec::new(),
            doors: Vec::new(),
            gates: Vec::new(),
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
                self.doors.push(Relay::start(target.ip(), target).await?);
            }
            self.endpoints.push(endpoint);
        }
        for index in 0..self.plan.endpoints.len() {
            let agent = self.start_agent(index, None).await?;
            if self.plan.relays {
                self.relays.push(Relays::start(&agent).await?);
            }
            self.agents.push(agent);
        }
        for index in 0..self.plan.entries.len() {
            let entry = self.start_entry(index, None).await?;
            if self.plan.relays {
                let control = entry.port("control")?;
                self.gates.push(Relay::start(control.ip(), control).await?);
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    async fn start_endpoint(&self, plan: &EndpointPlan) -> Result<Child, HarnessError> {
        let program = if plan.engine {
            "standin-engine"
        } else {
            "standin-booking"
        };
        Child::start(program, &plan.arguments, 1, &self.log(&plan.name)).await
    }

    /// Starts an agent, at the addresses that its predecessor had if it replaces one.
    async fn start_agent(
        &self,
        index: usize,
        earlier: Option<&Child>,
    ) -> Result<Child, HarnessError> {
        let plan = &self.plan.endpoints[index];
        let ip = self.network.agent(index).to_string();
        let endpoint = match self.doors.get(index) {
            Some(door) => door.address(),
            None => self.endpoints[index].port("listen")?,
        };
        let own = format!(
            "[agent]\nname = {}\ntraffic = {}\nendpoint = {endpoint}\n",
            plan.name,
            address(earlier, "traffic", &ip)?,
        );
        let text = self.process_section(&plan.centre, earlier, &ip)? + &own;
        let file = self.write(&format!("agent-{}.ini", plan.name), &text)?;
        let log = self.log(&format!("agent-{}", plan.name));
        Child::start("comfreyhaven-agent", &file, 3, &log).await
    }

    async fn start_entry(
        &self,
        index: usize,
        earlier: Option<&Child>,
    ) -> Result<Child, HarnessError> {
        let plan = &self.plan.entries[index];
        let ip = self.network.entry(index).to_string();
        let listen = address(earlier, "listen", &ip)?;
        let own = format!("[entry]\nname = {}\nlisten = {listen}\n", plan.name);
        let text = self.process_section(&plan.centre, earlier, &ip)? + &own;
        let file = self.write(&format!("entry-{}.ini", plan.name), &text)?;
        let log = self.log(&format!("entry-{}", plan.name));
        Child::start("comfreyhaven-entry", &file, 3, &log).await
    }

    fn process_section(
        &self,
        centre: &str,
        earlier: Option<&Child>,
        ip: &str,
    ) -> Result<String, HarnessError> {
        Ok(format!(
            "[process]\ndata centre = {centre}\ncontrol = {}\nadmin = {}\n\
             configuration service = {}\nhost list = {}\nlog = {}\npeers = {}\n",
            address(earlier, "control", ip)?,
            address(earlier, "admin", ip)?,
            self.configuration.port("listen")?,
            self.hosts.port("listen")?,
            self.plan.log,
            names(&self.peers, ToString::to_string).join(", "),
        ))
    }

    /// Publishes the plan with the next generation.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the configuration service does not take it.
    pub async fn publish(&mut self) -> Result<(), HarnessError> {
        self.generation += 1;
        let entries = names(&self.plan.entries, |plan| plan.name.clone());
        let mut entries = addresses(entries, &self.entries, "listen")?;
        for (entry, gate) in entries.iter_mut().zip(&self.gates) {
            entry.control = gate.address().to_string();
        }
        let agents = names(&self.plan.endpoints, |plan| plan.name.clone());
        let mut agents = addresses(agents, &self.agents, "traffic")?;
        for (agent, relays) in agents.iter_mut().zip(&self.relays) {
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

    /// Publishes one text as it is.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the configuration service does not take it.
    pub async fn publish_text(&self, name: &str, text: String) -> Result<(), HarnessError> {
        let service = Caller::new(self.configuration.port("listen")?);
        service
            .send(Method::PUT, &format!("/values/{name}"), text)
            .await?;
        Ok(())
    }

    /// Waits until every agent and entry takes work and has what was published last in force.
    ///
    /// # Errors
    /// Returns [`HarnessError::NotReady`] if one does not become ready.
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
        let newest = ["fleet", "routes", "teams-0"]
            .iter()
            .all(|document| generations[document] == self.generation);
        Ok(newest && admin.get("/health").await?.status == 200)
    }

    fn log(&self, name: &str) -> PathBuf {
        self.directory.path().join(format!("{name}.log"))
    }

    fn write(&self, name: &str, text: &str) -> Result<[String; 2], HarnessError> {
        let path: &Path = &self.directory.path().join(name);
        std::fs::write(path, text)?;
        Ok(["--settings".to_owned(), path.display().to_string()])
    }
}

impl Relays {
    async fn start(agent: &Child) -> Result<Self, HarnessError> {
        let (control, traffic) = (agent.port("control")?, agent.port("traffic")?);
        Ok(Self {
            control: Relay::start(control.ip(), control).await?,
            traffic: Relay::start(traffic.ip(), traffic).await?,
        })
    }
}

/// The address that an earlier process had, or any port of an IP.
fn address(earlier: Option<&Child>, port: &str, ip: &str) -> Result<String, HarnessError> {
    match earlier {
        Some(child) => Ok(child.port(port)?.to_string()),
        None => Ok(format!("{ip}:0")),
    }
}

fn names<T>(plans: &[T], name: impl Fn(&T) -> String) -> Vec<String> {
    plans.iter().map(name).collect()
}

fn addresses(
    names: Vec<String>,
    children: &[Child],
    traffic: &str,
) -> Result<Vec<Addresses>, HarnessError> {
    let address = |child: &Child, port: &str| Ok::<_, HarnessError>(child.port(port)?.to_string());
    let own = |(name, child): (String, &Child)| {
        Ok(Addresses {
            name,
            control: address(child, "control")?,
            traffic: address(child, traffic)?,
        })
    };
    names.into_iter().zip(children).map(own).collect()
}
