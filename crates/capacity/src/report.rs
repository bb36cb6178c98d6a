//! Prints the measured costs and the costs of the roles.

use std::io::Write;

use clap::ValueEnum;
use clap::builder::PossibleValue;
use serde::Serialize;

use crate::error::CapacityError;
use crate::findings::{Findings, Slope};
use crate::role::Row;

/// Format of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Output {
    /// Tables in Markdown.
    #[default]
    Table,
    /// One JSON value.
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

#[derive(Serialize)]
struct JsonOutput<'a> {
    findings: &'a Findings,
    rows: &'a [Row],
}

/// Prints the findings and, if there are any, the rows of the roles.
pub fn print(findings: &Findings, rows: &[Row], output: Output) -> Result<(), CapacityError> {
    let mut out = std::io::stdout().lock();
    match output {
        Output::Json => {
            serde_json::to_writer_pretty(&mut out, &JsonOutput { findings, rows })?;
            writeln!(out)?;
        }
        Output::Table => {
            print_slopes(&mut out, findings)?;
            print_figures(&mut out, findings)?;
            print_roles(&mut out, rows)?;
        }
    }
    Ok(())
}

fn print_slopes(out: &mut impl Write, findings: &Findings) -> Result<(), CapacityError> {
    writeln!(
        out,
        "| slope | per | points (size: cost) | slope | base | residual % |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|")?;
    for slope in findings.slopes.values() {
        let fit = slope.fit;
        writeln!(
            out,
            "| {} | {} | {} | {:.3} | {:.0} | {:.1} |",
            slope.cost,
            slope.item,
            format_points(slope),
            fit.slope,
            fit.base,
            fit.residual
        )?;
    }
    Ok(())
}

fn format_points(slope: &Slope) -> String {
    let points = slope.points.iter();
    let shown = points.map(|point| {
        format!(
            "{:.0}: {:.*}",
            point.size,
            decimal_places(point.cost),
            point.cost
        )
    });
    shown.collect::<Vec<_>>().join(", ")
}

/// Returns the number of decimal places in which a value is printed.
fn decimal_places(value: f64) -> usize {
    match value.abs() {
        0.0..1.0 => 3,
        1.0..100.0 => 1,
        _ => 0,
    }
}

fn print_figures(out: &mut impl Write, findings: &Findings) -> Result<(), CapacityError> {
    if findings.figures.is_empty() {
        return Ok(());
    }
    writeln!(out, "\n| figure | value |\n|---|---|")?;
    for figure in findings.figures.values() {
        writeln!(out, "| {} | {:.0} |", figure.cost, figure.value)?;
    }
    Ok(())
}

fn print_roles(out: &mut impl Write, rows: &[Row]) -> Result<(), CapacityError> {
    if rows.is_empty() {
        return Ok(());
    }
    writeln!(
        out,
        "\n| role | what | value | budget | verdict | worked out from |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|")?;
    for row in rows {
        let (budget, verdict) = match row.budget {
            Some(budget) if row.exceeds_budget() => {
                (format!("{budget:.*}", decimal_places(budget)), "MISSES")
            }
            Some(budget) => (format!("{budget:.*}", decimal_places(budget)), "holds"),
            None => (String::new(), ""),
        };
        writeln!(
            out,
            "| {} | {} | {:.*} {} | {budget} | {verdict} | {} |",
            row.role,
            row.what,
            decimal_places(row.value),
            row.value,
            row.unit,
            row.from
        )?;
    }
    Ok(())
}
