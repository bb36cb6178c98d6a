//! Faults, injected while the load runs. The naive system has neither agents nor a configuration,
//! so that faults of these pass it by.

use std::time::Duration;

use comfreyhaven_harness::HarnessError;
use hyper::Method;
use tokio::time::Instant;

use super::scenario::{FAULT_AT, MENDED_AT, Scenario};
use super::system::System;
use crate::error::TrialError;
use crate::fleet::{CENTRES, Deployed, ENGINES};

/// Time between taking a data centre out and its loss of power.
const NOTICE: Duration = Duration::from_millis(1_500);

/// Time without power.
const DARK_MS: u64 = 1_000;

/// A key that nobody sends.
const OTHER_KEY: &str = "key-another";

/// Carries out the scenario's fault and mends it, each at its time since now.
pub(super) async fn inject(
    scenario: Scenario,
    system: &mut System,
    deployed: Deployed,
) -> Result<(), TrialError> {
    let start = Instant::now();
    tokio::time::sleep_until(start + FAULT_AT).await;
    begin(scenario, system, deployed).await?;
    tokio::time::sleep_until(start + MENDED_AT).await;
    mend(scenario, system, deployed).await
}

async fn begin(
    scenario: Scenario,
    system: &mut System,
    deployed: Deployed,
) -> Result<(), TrialError> {
    match scenario {
        Scenario::Light | Scenario::Full | Scenario::Overload | Scenario::GreedyTeam => Ok(()),
        Scenario::EngineCrash => order(system, 0, "/crash").await,
        Scenario::SuddenCold => both(system, "/cool").await,
        Scenario::SlowEngine => both(system, "/slow?percent=300").await,
        Scenario::CentreOut => {
            set_centre(system, deployed, false).await?;
            tokio::time::sleep(NOTICE).await;
            for index in (0..ENGINES).step_by(CENTRES) {
                order(system, index, &format!("/crash?ms={DARK_MS}")).await?;
            }
            Ok(())
        }
        Scenario::AgentKill => match system {
            System::Comfreyhaven(deployment) => Ok(deployment.agent(0).kill().await?),
            System::Naive(_) => Ok(()),
        },
        Scenario::AgentPause => signal_agent(system, "STOP").await,
        Scenario::EntryKill => match system {
            System::Comfreyhaven(deployment) => Ok(deployment.entry(0).kill().await?),
            System::Naive(fleet) => fleet.kill_proxy().await,
        },
        Scenario::PlatformDown => set_platform(system, "down").await,
        Scenario::KeyWithdrawn => {
            if let System::Comfreyhaven(deployment) = system {
                let team = deployed.teams()[0];
                deployment.plan_mut().set_keys(team, &[OTHER_KEY]);
                deployment.publish().await?;
            }
            Ok(())
        }
    }
}

async fn mend(
    scenario: Scenario,
    system: &mut System,
    deployed: Deployed,
) -> Result<(), TrialError> {
    match (scenario, system) {
        (Scenario::SlowEngine, system) => both(system, "/slow?percent=100").await,
        (Scenario::CentreOut, system) => set_centre(system, deployed, true).await,
        (Scenario::AgentPause, system) => signal_agent(system, "CONT").await,
        (Scenario::PlatformDown, system) => set_platform(system, "up").await,
        (Scenario::AgentKill, System::Comfreyhaven(deployment)) => {
            Ok(deployment.restart_agent(0).await?)
        }
        (Scenario::EntryKill, System::Comfreyhaven(deployment)) => {
            Ok(deployment.restart_entry(0).await?)
        }
        (Scenario::EntryKill, System::Naive(fleet)) => fleet.restart_proxy().await,
        _ => Ok(()),
    }
}

/// Gives an order to an endpoint.
async fn order(system: &mut System, index: usize, target: &str) -> Result<(), TrialError> {
    let endpoint = system.endpoint(index)?;
    let sent = endpoint.send(Method::POST, target, String::new()).await;
    sent.map_err(HarnessError::from)?;
    Ok(())
}

/// Gives an order to two engines.
async fn both(system: &mut System, target: &str) -> Result<(), TrialError> {
    order(system, 0, target).await?;
    order(system, 1, target).await
}

async fn set_centre(
    system: &mut System,
    deployed: Deployed,
    state: bool,
) -> Result<(), TrialError> {
    if let System::Comfreyhaven(deployment) = system {
        let plan = deployment.plan_mut();
        plan.set_in_service(deployed.centre_of(0), state);
        deployment.publish().await?;
    }
    Ok(())
}

async fn signal_agent(system: &mut System, name: &str) -> Result<(), TrialError> {
    if let System::Comfreyhaven(deployment) = system {
        deployment.agent(0).signal(name).await?;
    }
    Ok(())
}

async fn set_platform(system: &mut System, mode: &str) -> Result<(), TrialError> {
    if let System::Comfreyhaven(deployment) = system {
        let service = deployment.configuration_service()?;
        let sent = service.send(Method::PUT, "/mode", mode.to_owned()).await;
        sent.map_err(HarnessError::from)?;
    }
    Ok(())
}
