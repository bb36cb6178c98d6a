//! The two systems under test, each before its own endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreyhaven_harness::{Caller, Child, Deployment, HarnessError};
use comfreyhaven_standin::engine::Totals;
use strum::{Display, IntoStaticStr};
use tempfile::TempDir;

use crate::error::TrialError;
use crate::fleet::{
    CENTRES, Deployed, ENGINES, Limits, SERVICES, engine_arguments, engine_spec, service_arguments,
};
use crate::load::Balancer;
use crate::run;

/// Which system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Kind {
    Comfreyhaven,
    Naive,
}

/// What the endpoints counted.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// Sums over the engines.
    pub(super) totals: Totals,
    /// How often engines admitted each prompt.
    pub(super) prompts: BTreeMap<String, u32>,
    /// How often services ran each call.
    pub(super) calls: BTreeMap<String, u32>,
}

#[derive(Debug)]
pub(super) struct NaiveFleet {
    directory: TempDir,
    endpoints: Vec<Child>,
    proxies: Vec<Child>,
}

#[derive(Debug)]
pub(super) enum System {
    Comfreyhaven(Box<Deployment>),
    Naive(NaiveFleet),
}

impl System {
    pub(super) async fn start(
        kind: Kind,
        deployed: Deployed,
        limits: Limits,
    ) -> Result<Self, TrialError> {
        Ok(match kind {
            Kind::Comfreyhaven => {
                let deployment = Deployment::start(deployed.plan(limits)).await?;
                Self::Comfreyhaven(Box::new(deployment))
            }
            Kind::Naive => Self::Naive(NaiveFleet::start().await?),
        })
    }

    pub(super) fn balancer(&self) -> Result<Balancer, TrialError> {
        match self {
            Self::Comfreyhaven(deployment) => run::balancer(deployment),
            Self::Naive(fleet) => {
                let ports = fleet.proxies.iter().map(|proxy| proxy.port("listen"));
                Ok(Balancer::new(ports.collect::<Result<_, _>>()?))
            }
        }
    }

    /// A caller of an endpoint itself. The engines come first.
    pub(super) fn endpoint(&self, index: usize) -> Result<Caller, TrialError> {
        let address = match self {
            Self::Comfreyhaven(deployment) => deployment.endpoint_address(index)?,
            Self::Naive(fleet) => fleet.endpoints[index].port("listen")?,
        };
        Ok(Caller::new(address))
    }

    /// Asks every endpoint what it ran.
    pub(super) async fn evidence(&self) -> Result<Evidence, TrialError> {
        let mut evidence = Evidence::default();
        for index in 0..ENGINES {
            let engine = self.endpoint(index)?;
            let totals = engine.get("/totals").await.map_err(HarnessError::from)?;
            let totals = serde_json::from_value(totals.json()).unwrap_or_default();
            evidence.add(totals);
            let runs = engine.get("/runs").await.map_err(HarnessError::from)?;
            count(&mut evidence.prompts, runs.json());
        }
        for index in ENGINES..ENGINES + SERVICES {
            let service = self.endpoint(index)?;
            let runs = service.get("/counts").await.map_err(HarnessError::from)?;
            count(&mut evidence.calls, runs.json());
        }
        Ok(evidence)
    }
}

impl Evidence {
    fn add(&mut self, totals: Totals) {
        self.totals.prefill += totals.prefill;
        self.totals.wasted += totals.wasted;
        self.totals.whole += totals.whole;
        self.totals.cancelled += totals.cancelled;
        self.totals.crashes += totals.crashes;
        self.totals.overruns += totals.overruns;
    }
}

fn count(sum: &mut BTreeMap<String, u32>, runs: serde_json::Value) {
    let runs: BTreeMap<String, u32> = serde_json::from_value(runs).unwrap_or_default();
    for (name, count) in runs {
        *sum.entry(name).or_default() += count;
    }
}

impl NaiveFleet {
    async fn start() -> Result<Self, TrialError> {
        let directory = tempfile::Builder::new().prefix("comfreyhaven-").tempdir()?;
        let mut fleet = Self {
            directory,
            endpoints: Vec::new(),
            proxies: Vec::new(),
        };
        for index in 0..ENGINES {
            let arguments = engine_arguments(&engine_spec(index));
            fleet.start_endpoint("standin-engine", &arguments).await?;
        }
        for _ in 0..SERVICES {
            let arguments = service_arguments();
            fleet.start_endpoint("standin-booking", &arguments).await?;
        }
        for _ in 0..CENTRES {
            let proxy = fleet.start_proxy(([127, 0, 0, 1], 0).into()).await?;
            fleet.proxies.push(proxy);
        }
        Ok(fleet)
    }

    async fn start_endpoint(
        &mut self,
        program: &str,
        arguments: &[(&str, u64)],
    ) -> Result<(), TrialError> {
        let arguments: Vec<_> = arguments
            .iter()
            .flat_map(|(name, value)| [format!("--{name}"), value.to_string()])
            .collect();
        let log = self.directory.path().join("endpoints.log");
        let endpoint = Child::start(program, &arguments, 1, &log).await?;
        self.endpoints.push(endpoint);
        Ok(())
    }

    async fn start_proxy(&self, listen: SocketAddr) -> Result<Child, TrialError> {
        let mut arguments = vec!["--listen".to_owned(), listen.to_string()];
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let name = if index < ENGINES {
                "--engine"
            } else {
                "--service"
            };
            arguments.extend([name.to_owned(), endpoint.port("listen")?.to_string()]);
        }
        let log = self.directory.path().join("proxies.log");
        Ok(Child::start("standin-naive", &arguments, 1, &log).await?)
    }

    /// Kills the first scheduler process.
    pub(super) async fn kill_proxy(&mut self) -> Result<(), TrialError> {
        Ok(self.proxies[0].kill().await?)
    }

    /// Replaces the first scheduler process at its address.
    pub(super) async fn restart_proxy(&mut self) -> Result<(), TrialError> {
        let listen = self.proxies[0].port("listen")?;
        self.proxies[0] = self.start_proxy(listen).await?;
        Ok(())
    }
}
