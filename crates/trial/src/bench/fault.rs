//! Injects the fault of a scenario while the load runs. The naive system has neither agents nor a
//! configuration, so faults of these do not affect it.

use std::time::Duration;

use comfreyhaven_harness::HarnessError;
use hyper::Method;
use tokio::time::Instant;

use super::scenario::{FAULT_END, FAULT_START, Scenario};
use super::system::System;
use crate::error::TrialError;
use crate::fleet::{CENTRES, ENGINES, SampleFleet};

/// Time from closing a data centre to its loss of power.
const CLOSE_NOTICE: Duration = Duration::from_millis(1_500);

/// Duration of the power loss in milliseconds.
const POWER_LOSS_MS: u64 = 1_000;

/// Key that replaces a withdrawn one; no caller sends it.
const REPLACEMENT_KEY: &str = "key-another";

/// Starts the fault of the scenario at [`FAULT_START`] and ends it at [`FAULT_END`], both counted
/// from the call.
pub(super) async fn inject(
    scenario: Scenario,
    system: &mut System,
    fleet: SampleFleet,
) -> Result<(), TrialError> {
    let start = Instant::now();
    tokio::time::sleep_until(start + FAULT_START).await;
    start_fault(scenario, system, fleet).await?;
    tokio::time::sleep_until(start + FAULT_END).await;
    end_fault(scenario, system, fleet).await
}

async fn start_fault(
    scenario: Scenario,
    system: &mut System,
    fleet: SampleFleet,
) -> Result<(), TrialError> {
    match scenario {
        Scenario::Light | Scenario::Full | Scenario::Overload | Scenario::GreedyTeam => Ok(()),
        Scenario::EngineCrash => send_command(system, 0, "/crash").await,
        Scenario::SuddenCold => send_to_two_engines(system, "/cool").await,
        Scenario::SlowEngine => send_to_two_engines(system, "/slow?percent=300").await,
        Scenario::CentreOut => {
            set_centre(system, fleet, false).await?;
            tokio::time::sleep(CLOSE_NOTICE).await;
            for index in (0..ENGINES).step_by(CENTRES) {
                send_command(system, index, &format!("/crash?ms={POWER_LOSS_MS}")).await?;
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
            System::Naive(naive) => naive.kill_proxy().await,
        },
        Scenario::PlatformDown => set_service_mode(system, "down").await,
        Scenario::KeyWithdrawn => {
            if let System::Comfreyhaven(deployment) = system {
                let team = fleet.teams()[0];
                deployment.plan_mut().set_keys(team, &[REPLACEMENT_KEY]);
                deployment.publish().await?;
            }
            Ok(())
        }
    }
}

async fn end_fault(
    scenario: Scenario,
    system: &mut System,
    fleet: SampleFleet,
) -> Result<(), TrialError> {
    match (scenario, system) {
        (Scenario::SlowEngine, system) => send_to_two_engines(system, "/slow?percent=100").await,
        (Scenario::CentreOut, system) => set_centre(system, fleet, true).await,
        (Scenario::AgentPause, system) => signal_agent(system, "CONT").await,
        (Scenario::PlatformDown, system) => set_service_mode(system, "up").await,
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

/// Sends a control command to an endpoint.
async fn send_command(system: &mut System, index: usize, target: &str) -> Result<(), TrialError> {
    let endpoint = system.endpoint(index)?;
    let sent = endpoint.send(Method::POST, target, String::new()).await;
    sent.map_err(HarnessError::from)?;
    Ok(())
}

/// Sends a control command to the first two engines.
async fn send_to_two_engines(system: &mut System, target: &str) -> Result<(), TrialError> {
    send_command(system, 0, target).await?;
    send_command(system, 1, target).await
}

async fn set_centre(
    system: &mut System,
    fleet: SampleFleet,
    in_service: bool,
) -> Result<(), TrialError> {
    if let System::Comfreyhaven(deployment) = system {
        let plan = deployment.plan_mut();
        plan.set_in_service(fleet.centre_of(0), in_service);
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

async fn set_service_mode(system: &mut System, mode: &str) -> Result<(), TrialError> {
    if let System::Comfreyhaven(deployment) = system {
        let service = deployment.configuration_service()?;
        let sent = service.send(Method::PUT, "/mode", mode.to_owned()).await;
        sent.map_err(HarnessError::from)?;
    }
    Ok(())
}
