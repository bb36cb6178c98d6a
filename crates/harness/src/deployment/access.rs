//! What a running deployment can be asked, told and made to suffer.

use std::net::SocketAddr;

use comfreyhaven_standin::relay::Relay;
use hyper::Method;

use super::{Deployment, Relays};
use crate::call::{Caller, Reply};
use crate::child::Child;
use crate::error::HarnessError;
use crate::plan::Plan;

impl Deployment {
    /// The plan, to change before it is published again.
    pub fn plan_mut(&mut self) -> &mut Plan {
        &mut self.plan
    }

    /// A caller of the entry at `index`, with a key.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if the entry announced no port.
    pub fn caller(&self, index: usize, key: &str) -> Result<Caller, HarnessError> {
        Ok(Caller::new(self.entries[index].port("listen")?).with_key(key))
    }

    /// Asks the endpoint at `index` itself, past its agent.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not answer.
    pub async fn ask_endpoint(&self, index: usize, path: &str) -> Result<Reply, HarnessError> {
        Ok(Caller::new(self.endpoints[index].port("listen")?)
            .get(path)
            .await?)
    }

    /// The address of the endpoint at `index` itself, past its agent.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if it announced no port.
    pub fn endpoint_address(&self, index: usize) -> Result<SocketAddr, HarnessError> {
        self.endpoints[index].port("listen")
    }

    /// The state dump of the agent at `index`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not answer.
    pub async fn agent_state(&self, index: usize) -> Result<serde_json::Value, HarnessError> {
        Ok(Caller::new(self.agents[index].port("admin")?)
            .get("/state")
            .await?
            .json())
    }

    /// The state dump of the entry at `index`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not answer.
    pub async fn entry_state(&self, index: usize) -> Result<serde_json::Value, HarnessError> {
        Ok(Caller::new(self.entries[index].port("admin")?)
            .get("/state")
            .await?
            .json())
    }

    /// The relays before the agent at `index`, of a plan that has relays.
    #[must_use]
    pub fn relays(&self, index: usize) -> &Relays {
        &self.relays[index]
    }

    /// The relay before the control port of the entry at `index`, where its peers ask, of a plan that
    /// has relays.
    #[must_use]
    pub fn gate(&self, index: usize) -> &Relay {
        &self.gates[index]
    }

    /// The relay between the agent and the endpoint at `index`, of a plan that has relays.
    #[must_use]
    pub fn door(&self, index: usize) -> &Relay {
        &self.doors[index]
    }

    /// The endpoint's process at `index`.
    pub fn endpoint(&mut self, index: usize) -> &mut Child {
        &mut self.endpoints[index]
    }

    /// The agent's process at `index`.
    pub fn agent(&mut self, index: usize) -> &mut Child {
        &mut self.agents[index]
    }

    /// The entry's process at `index`.
    pub fn entry(&mut self, index: usize) -> &mut Child {
        &mut self.entries[index]
    }

    /// Names peers in the settings of the processes that are started from now on.
    pub fn set_peers(&mut self, peers: &[SocketAddr]) {
        self.peers = peers.to_vec();
    }

    /// Replaces an ended agent by a new process at the same addresses.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not start.
    pub async fn restart_agent(&mut self, index: usize) -> Result<(), HarnessError> {
        self.agents[index] = self.start_agent(index, Some(&self.agents[index])).await?;
        Ok(())
    }

    /// Replaces an ended entry by a new process at the same addresses.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not start.
    pub async fn restart_entry(&mut self, index: usize) -> Result<(), HarnessError> {
        self.entries[index] = self.start_entry(index, Some(&self.entries[index])).await?;
        Ok(())
    }

    /// A caller of the configuration service, for its modes and its count of calls.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if it announced no port.
    pub fn configuration(&self) -> Result<Caller, HarnessError> {
        Ok(Caller::new(self.configuration.port("listen")?))
    }

    /// Makes the configuration service `up`, `down` or `stale`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not answer.
    pub async fn set_configuration_mode(&self, mode: &str) -> Result<(), HarnessError> {
        self.configuration()?
            .send(Method::PUT, "/mode", mode.to_owned())
            .await?;
        Ok(())
    }

    /// Crashes the engine at `index`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not answer.
    pub async fn crash_endpoint(&self, index: usize) -> Result<(), HarnessError> {
        let engine = Caller::new(self.endpoints[index].port("listen")?);
        engine.send(Method::POST, "/crash", String::new()).await?;
        Ok(())
    }

    /// How often the entry at `index` has taken a decision, such as `dispatch` or `inquire`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if it does not answer.
    pub async fn decisions(&self, index: usize, decision: &str) -> Result<u64, HarnessError> {
        let admin = Caller::new(self.entries[index].port("admin")?);
        let metrics = admin.get("/metrics").await?.text;
        let line = format!("comfreyhaven_entry_decisions_total{{decision=\"{decision}\"}} ");
        let count = metrics
            .lines()
            .find_map(|known| known.strip_prefix(&line)?.parse().ok());
        Ok(count.unwrap_or(0))
    }

    /// A caller of the host list.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if it announced no port.
    pub fn hosts(&self) -> Result<Caller, HarnessError> {
        Ok(Caller::new(self.hosts.port("listen")?))
    }

    /// Kills the host list.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub async fn stop_hosts(&mut self) -> Result<(), HarnessError> {
        self.hosts.kill().await
    }

    /// The log of a process, such as `entry-e1`, `agent-engine-1` or `engine-1`.
    ///
    /// # Errors
    /// Returns the error of reading the file.
    pub fn read_log(&self, name: &str) -> Result<String, HarnessError> {
        Ok(std::fs::read_to_string(self.log(name))?)
    }
}
