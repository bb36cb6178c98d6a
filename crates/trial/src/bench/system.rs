//! Starts the two systems under test, each with its own endpoints, and reads the endpoints'
//! counters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreyhaven_harness::{Caller, Child, Deployment, HarnessError};
use comfreyhaven_standin::engine::Totals;
use strum::{Display, IntoStaticStr};
use tempfile::TempDir;

use crate::error::TrialError;
use crate::fleet::{
    CENTRES, ENGINES, Limits, SERVICES, SampleFleet, engine_arguments, engine_spec,
    service_arguments,
};
use crate::load::Balancer;
use crate::run;

/// System under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum SystemKind {
    Comfreyhaven,
    Naive,
}

/// Counters of the endpoints.
#[derive(Debug, Default)]
pub(super) struct EndpointCounts {
    /// Sums of the engines' counters.
    pub(super) totals: Totals,
    /// How often engines admitted each prompt, by [`prompt_key`].
    ///
    /// [`prompt_key`]: comfreyhaven_standin::answer_text::prompt_key
    pub(super) prompts: BTreeMap<String, u32>,
    /// How often services ran each call, by method and target.
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
        kind: SystemKind,
        fleet: SampleFleet,
        limits: Limits,
    ) -> Result<Self, TrialError> {
        Ok(match kind {
            SystemKind::Comfreyhaven => {
                let deployment = Deployment::start(fleet.plan(limits)).await?;
                Self::Comfreyhaven(Box::new(deployment))
            }
            SystemKind::Naive => Self::Naive(NaiveFleet::start().await?),
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

    /// Creates a caller that connects to an endpoint directly. The engines have the first indices.
    pub(super) fn endpoint(&self, index: usize) -> Result<Caller, TrialError> {
        let address = match self {
            Self::Comfreyhaven(deployment) => deployment.endpoint_address(index)?,
            Self::Naive(fleet) => fleet.endpoints[index].port("listen")?,
        };
        Ok(Caller::new(address))
    }

    /// Reads the counters of every endpoint.
    pub(super) async fn endpoint_counts(&self) -> Result<EndpointCounts, TrialError> {
        let mut counts = EndpointCounts::default();
        for index in 0..ENGINES {
            let engine = self.endpoint(index)?;
            let totals = engine.get("/totals").await.map_err(HarnessError::from)?;
            let totals = serde_json::from_value(totals.json()).unwrap_or_default();
            counts.add_totals(totals);
            let runs = engine.get("/runs").await.map_err(HarnessError::from)?;
            add_counts(&mut counts.prompts, runs.json());
        }
        for index in ENGINES..ENGINES + SERVICES {
            let service = self.endpoint(index)?;
            let runs = service.get("/counts").await.map_err(HarnessError::from)?;
            add_counts(&mut counts.calls, runs.json());
        }
        Ok(counts)
    }
}

impl EndpointCounts {
    fn add_totals(&mut self, totals: Totals) {
        self.totals.prefill += totals.prefill;
        self.totals.wasted += totals.wasted;
        self.totals.whole += totals.whole;
        self.totals.cancelled += totals.cancelled;
        self.totals.crashes += totals.crashes;
        self.totals.overruns += totals.overruns;
    }
}

fn add_counts(sum: &mut BTreeMap<String, u32>, runs: serde_json::Value) {
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

    /// Kills the first process of the naive scheduler.
    pub(super) async fn kill_proxy(&mut self) -> Result<(), TrialError> {
        Ok(self.proxies[0].kill().await?)
    }

    /// Starts the first process of the naive scheduler again at the same address.
    pub(super) async fn restart_proxy(&mut self) -> Result<(), TrialError> {
        let listen = self.proxies[0].port("listen")?;
        self.proxies[0] = self.start_proxy(listen).await?;
        Ok(())
    }
}
