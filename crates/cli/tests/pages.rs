//! The pages say what the programs do.

use std::collections::BTreeSet;

use comfreyhaven_core::refusal::{Execution, RefusalKind};
use strum::IntoEnumIterator;

const PROTOCOL: &str = include_str!("../../../docs/PROTOCOL.md");
const OPERATING: &str = include_str!("../../../docs/OPERATING.md");

#[test]
fn the_protocol_lists_every_refusal_with_its_status() {
    for kind in RefusalKind::iter() {
        let row = format!("| `{kind}` | {} |", kind.status());
        assert!(PROTOCOL.contains(&row), "{row}");
    }
    for execution in Execution::iter() {
        assert!(
            PROTOCOL.contains(&format!("| `{execution}` |")),
            "{execution}"
        );
    }
}

/// Indented lines that call the operators' command line.
fn calls() -> impl Iterator<Item = &'static str> {
    let lines = OPERATING.lines();
    lines.filter_map(|line| {
        line.strip_prefix("    ")
            .filter(|line| line.starts_with("comfreyhaven "))
    })
}

#[test]
fn every_command_of_the_operators_page_is_one() {
    assert!(calls().count() >= 8);
    for call in calls() {
        let parsed = comfreyhaven_cli::cli().try_get_matches_from(call.split_whitespace());
        assert!(parsed.is_ok(), "{call}: {}", parsed.unwrap_err());
    }
}

#[test]
fn the_operators_page_shows_each_looking_command() {
    let used: BTreeSet<_> = calls()
        .filter_map(|call| call.split_whitespace().nth(1))
        .collect();
    let all = comfreyhaven_cli::cli();
    let all = all
        .get_subcommands()
        .map(|command| command.get_name().to_owned());
    for command in all.filter(|name| name != "completion") {
        assert!(
            used.contains(command.as_str()),
            "{command} stands on no line"
        );
    }
}
