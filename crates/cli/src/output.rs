//! Output as tables for people or as JSON for programs.

use clap::builder::PossibleValue;
use clap::{Arg, ArgMatches, ValueEnum, value_parser};
use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

use crate::error::CliError;

/// Output format of a command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Output {
    /// A table for people, coloured only on a terminal.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl ValueEnum for Output {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Table => "table",
            Self::Json => "json",
        }))
    }
}

impl Output {
    /// Returns the `--output` argument.
    pub(crate) fn arg() -> Arg {
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .help("Output format")
            .default_value("table")
            .value_parser(value_parser!(Self))
    }

    /// Returns the format given on the command line.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        matches.get_one("output").copied().unwrap_or_default()
    }
}

/// Prints a value as indented JSON.
pub(crate) fn json(value: &impl Serialize) -> Result<(), CliError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Creates an empty table with a header.
pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header);
    table
}
