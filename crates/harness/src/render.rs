//! Renders the configuration documents of a plan.

use std::fmt::Write;

use crate::plan::Plan;

/// The addresses of one process that the fleet document declares.
#[derive(Debug, Clone)]
pub(crate) struct ProcessAddresses {
    pub(crate) name: String,
    pub(crate) control: String,
    pub(crate) traffic: String,
}

/// Renders the fleet document.
pub(crate) fn fleet(
    plan: &Plan,
    entries: &[ProcessAddresses],
    agents: &[ProcessAddresses],
    generation: u64,
) -> String {
    let mut text = header("fleet", generation);
    for (rank, tier) in plan.tiers.iter().enumerate() {
        let _ = writeln!(text, "[tier {tier}]\nrank = {rank}\n");
    }
    for (centre, in_service) in &plan.centres {
        let state = if *in_service { "in" } else { "out" };
        let _ = writeln!(
            text,
            "[data-centre {centre}]\nregion = local\nstate = {state}\n"
        );
    }
    for (entry, addresses) in plan.entries.iter().zip(entries) {
        let (name, centre, control) = (&addresses.name, &entry.centre, &addresses.control);
        let _ = writeln!(
            text,
            "[host {name}]\ndata centre = {centre}\ncontrol = {control}\n"
        );
    }
    for (endpoint, addresses) in plan.endpoints.iter().zip(agents) {
        let kind = if endpoint.is_engine {
            "engine"
        } else {
            "service"
        };
        let _ = writeln!(text, "[endpoint {}]\nkind = {kind}", addresses.name);
        let _ = writeln!(
            text,
            "data centre = {}\nserves = {}",
            endpoint.centre, endpoint.serves
        );
        let _ = writeln!(
            text,
            "control = {}\ntraffic = {}",
            addresses.control, addresses.traffic
        );
        let _ = writeln!(text, "cold requests = {}", endpoint.cold_limit);
        let _ = writeln!(text, "warm requests = {}", endpoint.warm_limit);
        let _ = writeln!(text, "cache tokens = {}\n", endpoint.cache_tokens);
    }
    text
}

/// Renders the routes document.
pub(crate) fn routes(plan: &Plan, generation: u64) -> String {
    let mut text = header("routes", generation);
    for route in &plan.routes {
        let _ = writeln!(text, "[route {}]", route.name);
        for (name, value) in &route.values {
            let _ = writeln!(text, "{name} = {value}");
        }
        text.push('\n');
    }
    text
}

/// Renders the teams document.
pub(crate) fn teams(plan: &Plan, generation: u64) -> String {
    let mut text = header("teams-0", generation);
    for team in &plan.teams {
        let _ = writeln!(text, "[team {}]\nrate = {}/s", team.name, team.rate);
        let _ = writeln!(
            text,
            "burst tokens = {}\nweight = {}",
            team.burst, team.weight
        );
        let _ = writeln!(
            text,
            "keys = {}\nroutes = {}\n",
            team.key_digests(),
            team.routes.join(", ")
        );
    }
    text
}

fn header(name: &str, generation: u64) -> String {
    format!("[document]\nname = {name}\ngeneration = {generation}\n\n")
}
