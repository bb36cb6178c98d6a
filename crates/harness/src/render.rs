//! The documents that a plan publishes.

use std::fmt::Write;

use crate::plan::Plan;

/// Addresses of a host's processes, as the fleet document declares them.
#[derive(Debug, Clone)]
pub(crate) struct Addresses {
    pub(crate) name: String,
    pub(crate) control: String,
    pub(crate) traffic: String,
}

/// The fleet document.
pub(crate) fn fleet(
    plan: &Plan,
    entries: &[Addresses],
    agents: &[Addresses],
    generation: u64,
) -> String {
    let mut text = header("fleet", generation);
    for (rank, tier) in plan.tiers.iter().enumerate() {
        let _ = writeln!(text, "[tier {tier}]\nrank = {rank}\n");
    }
    for (centre, state) in &plan.centres {
        let state = if *state { "in" } else { "out" };
        let _ = writeln!(
            text,
            "[data-centre {centre}]\nregion = local\nstate = {state}\n"
        );
    }
    for (entry, own) in plan.entries.iter().zip(entries) {
        let (name, centre, control) = (&own.name, &entry.centre, &own.control);
        let _ = writeln!(
            text,
            "[host {name}]\ndata centre = {centre}\ncontrol = {control}\n"
        );
    }
    for (endpoint, own) in plan.endpoints.iter().zip(agents) {
        let kind = if endpoint.engine { "engine" } else { "service" };
        let _ = writeln!(text, "[endpoint {}]\nkind = {kind}", own.name);
        let _ = writeln!(
            text,
            "data centre = {}\nserves = {}",
            endpoint.centre, endpoint.serves
        );
        let _ = writeln!(text, "control = {}\ntraffic = {}", own.control, own.traffic);
        let _ = writeln!(text, "cold requests = {}", endpoint.cold);
        let _ = writeln!(text, "warm requests = {}", endpoint.warm);
        let _ = writeln!(text, "cache tokens = {}\n", endpoint.tokens);
    }
    text
}

/// The routes document.
pub(crate) fn routes(plan: &Plan, generation: u64) -> String {
    let mut text = header("routes", generation);
    for route in &plan.routes {
        let _ = writeln!(text, "[route {}]", route.name);
        for (name, value) in &route.lines {
            let _ = writeln!(text, "{name} = {value}");
        }
        text.push('\n');
    }
    text
}

/// The teams document.
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
            team.digests(),
            team.routes.join(", ")
        );
    }
    text
}

fn header(name: &str, generation: u64) -> String {
    format!("[document]\nname = {name}\ngeneration = {generation}\n\n")
}
