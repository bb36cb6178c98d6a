//! Checks that the documentation pages match the programs.

use std::collections::BTreeSet;

use comfreyhaven_core::refusal::{Execution, RefusalKind};
use strum::IntoEnumIterator;

const PROTOCOL: &str = include_str!("../../../docs/PROTOCOL.md");
const OPERATING: &str = include_str!("../../../docs/OPERATING.md");

#[test]
fn protocol_page_lists_every_refusal_with_its_status() {
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

/// Returns the indented lines of the page that invoke `comfreyhaven`.
fn commands() -> impl Iterator<Item = &'static str> {
    let lines = OPERATING.lines();
    lines.filter_map(|line| {
        line.strip_prefix("    ")
            .filter(|line| line.starts_with("comfreyhaven "))
    })
}

#[test]
fn commands_of_the_operating_page_parse() {
    assert!(commands().count() >= 8);
    for command_line in commands() {
        let parsed = comfreyhaven_cli::cli().try_get_matches_from(command_line.split_whitespace());
        assert!(parsed.is_ok(), "{command_line}: {}", parsed.unwrap_err());
    }
}

#[test]
fn operating_page_shows_every_command() {
    let used: BTreeSet<_> = commands()
        .filter_map(|command_line| command_line.split_whitespace().nth(1))
        .collect();
    let all = comfreyhaven_cli::cli();
    let all = all
        .get_subcommands()
        .map(|command| command.get_name().to_owned());
    for command in all.filter(|name| name != "completion") {
        assert!(
            used.contains(command.as_str()),
            "the page does not show {command}"
        );
    }
}
