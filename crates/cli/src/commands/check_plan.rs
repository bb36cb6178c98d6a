//! `comfreyhaven check` of a configuration of direct entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgMatches, value_parser};
use comfreyhaven_core::direct::{
    Difference, Finding, Plan, Risk, Severity, Surroundings, check_plan, diff_plans,
};
use comfreyhaven_platform::configuration;
use serde::Serialize;

use crate::error::CliError;
use crate::ops::in_force::{self, InForce};
use crate::output::{self, Output};

/// A finding as it is printed.
#[derive(Serialize)]
struct FindingRow {
    severity: &'static str,
    place: String,
    code: &'static str,
    problem: String,
    effect: &'static str,
    remedy: &'static str,
}

impl From<&Finding> for FindingRow {
    fn from(finding: &Finding) -> Self {
        let problem = &finding.problem;
        Self {
            severity: problem.severity().into(),
            place: configuration::path(finding.place),
            code: problem.into(),
            problem: problem.to_string(),
            effect: problem.effect(),
            remedy: problem.remedy(),
        }
    }
}

/// A difference as it is printed.
#[derive(Serialize)]
struct DifferenceRow {
    risk: &'static str,
    item: String,
    change: String,
}

impl From<Difference> for DifferenceRow {
    fn from(difference: Difference) -> Self {
        Self {
            risk: difference.risk.into(),
            item: difference.item,
            change: difference.change,
        }
    }
}

/// What a check prints as JSON.
#[derive(Serialize)]
struct Report {
    findings: Vec<FindingRow>,
    /// Differences from the configuration in force, if that was given.
    differences: Option<Vec<DifferenceRow>>,
}

/// Returns the arguments that name the configuration in force.
pub(super) fn args() -> [Arg; 2] {
    [
        Arg::new("in-force")
            .long("in-force")
            .value_name("FILE")
            .help("Configuration of direct entries that is in force, to compare with")
            .value_parser(value_parser!(PathBuf)),
        Arg::new("store")
            .long("store")
            .value_name("ADDRESS")
            .help(
                "Store of the platform, to read the configuration in force and the endpoints from",
            )
            .conflicts_with("in-force")
            .value_parser(value_parser!(SocketAddr)),
    ]
}

/// Returns whether a path names a configuration of direct entries.
pub(super) fn is_plan(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "json")
}

/// Checks the configuration, compares it with the one in force, and prints what was found. The exit
/// code is 1 if there are findings; differences alone are none.
pub(super) fn exec(path: &Path, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let draft = in_force::read_draft(path)?;
    let current = current(matches)?;
    let surroundings = Surroundings {
        version: current.as_ref().map(|current| current.plan.version),
        endpoints: current.as_ref().and_then(endpoint_counts),
    };
    let findings = check_plan(&draft, &surroundings);
    let plan = draft.into_plan();
    let differences = current.map(|current| diff_plans(&current.plan, &plan));
    match Output::from_matches(matches) {
        Output::Json => output::json(&Report {
            findings: findings.iter().map(FindingRow::from).collect(),
            differences: differences
                .map(|found| found.into_iter().map(DifferenceRow::from).collect()),
        })?,
        Output::Table => print(&plan, &findings, differences.as_deref()),
    }
    Ok(ExitCode::from(u8::from(!findings.is_empty())))
}

fn current(matches: &ArgMatches) -> Result<Option<InForce>, CliError> {
    if let Some(path) = matches.get_one::<PathBuf>("in-force") {
        return in_force::read_file(path).map(Some);
    }
    match matches.get_one::<SocketAddr>("store") {
        Some(address) => in_force::read_store(*address).map(Some),
        None => Ok(None),
    }
}

fn endpoint_counts(current: &InForce) -> Option<BTreeMap<Arc<str>, usize>> {
    let mut counts = BTreeMap::new();
    for service in current.endpoints.as_ref()? {
        *counts.entry(Arc::clone(service)).or_default() += 1;
    }
    Some(counts)
}

fn print(plan: &Plan, findings: &[Finding], differences: Option<&[Difference]>) {
    for finding in findings {
        let row = FindingRow::from(finding);
        println!("{}: {}: {}", row.severity, row.place, row.problem);
        println!("    {}; {}", row.effect, row.remedy);
    }
    let errors = findings
        .iter()
        .filter(|f| f.problem.severity() == Severity::Error);
    let errors = errors.count();
    let routes: usize = plan.routes.values().map(Vec::len).sum();
    println!(
        "version {}: {errors} errors, {} warnings in {routes} routes, {} services, {} teams",
        plan.version,
        findings.len() - errors,
        plan.services.len(),
        plan.teams.len()
    );
    match differences {
        None => {}
        Some([]) => println!("no differences from the version in force"),
        Some(differences) => {
            println!("differences from the version in force:");
            for difference in differences {
                let mark = match difference.risk {
                    Risk::Dangerous => "dangerous: ",
                    Risk::Harmless => "",
                };
                println!("    {mark}{}: {}", difference.item, difference.change);
            }
        }
    }
}
