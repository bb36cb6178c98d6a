//! Reads configurations of direct entries, from files and from the platform's store.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use comfreyhaven_core::direct::{Plan, PlanDraft};
use comfreyhaven_direct::store::{Change, Section, Store};
use comfreyhaven_platform::configuration;
use comfreyhaven_platform::store::PlatformStore;
use tokio::task::LocalSet;

use crate::error::CliError;

/// The configuration in force, and what is known of the endpoints.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub plan: Plan,
    /// The service of each listed endpoint, if their list was read.
    pub endpoints: Option<Vec<Arc<str>>>,
}

/// Reads a configuration from a file, with every entry in its order.
///
/// # Errors
/// Returns why the file cannot be read or decoded.
pub fn read_draft(path: &Path) -> Result<PlanDraft, CliError> {
    let bytes = std::fs::read(path).map_err(|source| CliError::Read {
        path: path.display().to_string(),
        source,
    })?;
    configuration::draft(&bytes).map_err(|source| CliError::Undecodable {
        path: path.display().to_string(),
        source,
    })
}

/// Reads the configuration in force from a file.
///
/// # Errors
/// Returns why the file cannot be read or decoded.
pub fn read_file(path: &Path) -> Result<InForce, CliError> {
    Ok(InForce {
        plan: read_draft(path)?.into_plan(),
        endpoints: None,
    })
}

/// Reads the configuration in force and the list of endpoints from the platform's store.
///
/// # Errors
/// Returns why the store cannot be read, or that it holds no configuration that can be decoded.
pub fn read_store(address: SocketAddr) -> Result<InForce, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, read_sections(address))
}

async fn read_sections(address: SocketAddr) -> Result<InForce, CliError> {
    let store = PlatformStore::new(address);
    let failed = |source| CliError::Store { address, source };
    let configuration = store.read(Section::Configuration).await.map_err(failed)?;
    let endpoints = store.read(Section::Endpoints).await.map_err(failed)?;
    let plans = configuration.changes.into_iter();
    let plan = plans.filter_map(|change| match change {
        Change::Plan(plan) => Some(*plan),
        _ => None,
    });
    let services = endpoints.changes.into_iter();
    let services = services.filter_map(|change| match change {
        Change::Endpoint(record) if !record.leaving => Some(record.service),
        _ => None,
    });
    Ok(InForce {
        plan: plan.last().ok_or(CliError::NoPlan(address))?,
        endpoints: Some(services.collect()),
    })
}
