//! Access to the processes of a running deployment, and fault injection.

use std::net::SocketAddr;

use comfreyhaven_standin::relay::Relay;
use hyper::Method;

use super::{AgentRelays, Deployment};
use crate::call::{Caller, Reply};
use crate::child::Child;
use crate::error::HarnessError;
use crate::plan::Plan;

impl Deployment {
    /// Returns the plan. Changes take effect with the next [`Deployment::publish`].
    pub fn plan_mut(&mut self) -> &mut Plan {
        &mut self.plan
    }

    /// Returns a caller of the entry at `index` with an API key.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if the entry did not announce its port.
    pub fn caller(&self, index: usize, key: &str) -> Result<Caller, HarnessError> {
        Ok(Caller::new(self.entries[index].port("listen")?).with_key(key))
    }

    /// Sends `GET path` to the endpoint at `index`, bypassing its agent.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not answer.
    pub async fn get_from_endpoint(&self, index: usize, path: &str) -> Result<Reply, HarnessError> {
        Ok(Caller::new(self.endpoints[index].port("listen")?)
            .get(path)
            .await?)
    }

    /// Returns the address of the endpoint at `index`, which bypasses its agent.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if the process did not announce its port.
    pub fn endpoint_address(&self, index: usize) -> Result<SocketAddr, HarnessError> {
        self.endpoints[index].port("listen")
    }

    /// Returns the state dump of the agent at `index`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not answer.
    pub async fn agent_state(&self, index: usize) -> Result<serde_json::Value, HarnessError> {
        Ok(Caller::new(self.agents[index].port("admin")?)
            .get("/state")
            .await?
            .json())
    }

    /// Returns the state dump of the entry at `index`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not answer.
    pub async fn entry_state(&self, index: usize) -> Result<serde_json::Value, HarnessError> {
        Ok(Caller::new(self.entries[index].port("admin")?)
            .get("/state")
            .await?
            .json())
    }

    /// Returns the relays in front of the agent at `index`. Panics if the plan has no relays.
    #[must_use]
    pub fn agent_relays(&self, index: usize) -> &AgentRelays {
        &self.agent_relays[index]
    }

    /// Returns the relay in front of the control port of the entry at `index`, which its peers
    /// connect to. Panics if the plan has no relays.
    #[must_use]
    pub fn entry_relay(&self, index: usize) -> &Relay {
        &self.entry_relays[index]
    }

    /// Returns the relay between the agent and the endpoint at `index`. Panics if the plan has no
    /// relays.
    #[must_use]
    pub fn endpoint_relay(&self, index: usize) -> &Relay {
        &self.endpoint_relays[index]
    }

    /// Returns the stand-in process of the endpoint at `index`.
    pub fn endpoint(&mut self, index: usize) -> &mut Child {
        &mut self.endpoints[index]
    }

    /// Returns the agent process at `index`.
    pub fn agent(&mut self, index: usize) -> &mut Child {
        &mut self.agents[index]
    }

    /// Returns the entry process at `index`.
    pub fn entry(&mut self, index: usize) -> &mut Child {
        &mut self.entries[index]
    }

    /// Sets the peers in the settings of processes that are started later.
    pub fn set_peers(&mut self, peers: &[SocketAddr]) {
        self.peers = peers.to_vec();
    }

    /// Replaces an agent that exited by a new process at the same addresses.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not start.
    pub async fn restart_agent(&mut self, index: usize) -> Result<(), HarnessError> {
        self.agents[index] = self.start_agent(index, Some(&self.agents[index])).await?;
        Ok(())
    }

    /// Replaces an entry that exited by a new process at the same addresses.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not start.
    pub async fn restart_entry(&mut self, index: usize) -> Result<(), HarnessError> {
        self.entries[index] = self.start_entry(index, Some(&self.entries[index])).await?;
        Ok(())
    }

    /// Returns a caller of the configuration service.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if the process did not announce its port.
    pub fn configuration_service(&self) -> Result<Caller, HarnessError> {
        Ok(Caller::new(self.configuration.port("listen")?))
    }

    /// Sets the mode of the configuration service: `up`, `down` or `stale`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not answer.
    pub async fn set_configuration_mode(&self, mode: &str) -> Result<(), HarnessError> {
        self.configuration_service()?
            .send(Method::PUT, "/mode", mode.to_owned())
            .await?;
        Ok(())
    }

    /// Crashes the engine at `index`.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not answer.
    pub async fn crash_engine(&self, index: usize) -> Result<(), HarnessError> {
        let engine = Caller::new(self.endpoints[index].port("listen")?);
        engine.send(Method::POST, "/crash", String::new()).await?;
        Ok(())
    }

    /// Returns how often the entry at `index` has taken a decision, such as `dispatch` or
    /// `inquire`, according to its metrics.
    ///
    /// # Errors
    /// Returns a [`HarnessError`] if the process does not answer.
    pub async fn decision_count(&self, index: usize, decision: &str) -> Result<u64, HarnessError> {
        let admin = Caller::new(self.entries[index].port("admin")?);
        let metrics = admin.get("/metrics").await?.body;
        let prefix = format!("comfreyhaven_entry_decisions_total{{decision=\"{decision}\"}} ");
        let count = metrics
            .lines()
            .find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
        Ok(count.unwrap_or(0))
    }

    /// Returns a caller of the host list.
    ///
    /// # Errors
    /// Returns [`HarnessError::Port`] if the process did not announce its port.
    pub fn host_list(&self) -> Result<Caller, HarnessError> {
        Ok(Caller::new(self.host_list.port("listen")?))
    }

    /// Kills the host list.
    ///
    /// # Errors
    /// Returns an error if the process cannot be killed.
    pub async fn kill_host_list(&mut self) -> Result<(), HarnessError> {
        self.host_list.kill().await
    }

    /// Reads the log of a process, such as `entry-e1`, `agent-engine-1` or `engine-1`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read.
    pub fn read_log(&self, name: &str) -> Result<String, HarnessError> {
        Ok(std::fs::read_to_string(self.log_path(name))?)
    }
}
