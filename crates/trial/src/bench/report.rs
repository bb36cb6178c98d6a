//! Measures side by side, as a table and as comma-separated values.

use std::fmt::Write;
use std::path::Path;

use strum::IntoEnumIterator;

use super::measure::{Measure, Row};
use super::scenario::Scenario;
use super::system::Kind;

/// Measures of the overview.
const OVERVIEW: [Measure; 9] = [
    Measure::GoodputHigh,
    Measure::GoodputMid,
    Measure::GoodputLow,
    Measure::WorstTeam,
    Measure::WastedPrefill,
    Measure::WrongfulRefusals,
    Measure::RateExcess,
    Measure::DoubledRuns,
    Measure::Unknown,
];

/// All rows so far.
#[derive(Debug, Default)]
pub(super) struct Report {
    rows: Vec<Row>,
}

/// Mean and range of a measure over the seeds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spread {
    pub(super) mean: f64,
    least: f64,
    most: f64,
}

impl Spread {
    fn new(values: &[f64]) -> Option<Self> {
        let count = u32::try_from(values.len())
            .ok()
            .filter(|&count| count > 0)?;
        Some(Self {
            mean: values.iter().sum::<f64>() / f64::from(count),
            least: values.iter().copied().fold(f64::INFINITY, f64::min),
            most: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        })
    }

    fn render(&self, measure: Measure) -> String {
        let digits = if measure.is_percent() { 2 } else { 0 };
        let Self { mean, least, most } = self;
        if least == most {
            return format!("{mean:.digits$}");
        }
        format!(
            "{mean:.1$} ({least:.0$} to {most:.0$})",
            digits,
            digits.max(1)
        )
    }
}

impl Report {
    pub(super) fn extend(&mut self, rows: impl IntoIterator<Item = Row>) {
        self.rows.extend(rows);
    }

    /// The spread of a measure, if it was taken.
    pub(super) fn spread(
        &self,
        scenario: Scenario,
        kind: Kind,
        measure: Measure,
    ) -> Option<Spread> {
        let rows = self.rows.iter();
        let rows = rows.filter(|row| row.scenario == scenario && row.kind == kind);
        let values: Vec<_> = rows
            .filter_map(|row| row.values.get(&measure).copied())
            .collect();
        Spread::new(&values)
    }

    /// A Markdown table of one scenario.
    pub(super) fn table(&self, scenario: Scenario) -> String {
        let mut text = format!(
            "### {scenario}, load {}\n\n| measure | comfreyhaven | naive | ratio |\n|---|---|---|---|\n",
            scenario.load()
        );
        for measure in Measure::iter() {
            let own = self.spread(scenario, Kind::Comfreyhaven, measure);
            let other = self.spread(scenario, Kind::Naive, measure);
            let (Some(own), Some(other)) = (own, other) else {
                continue;
            };
            let ratio = if other.mean == 0.0 {
                "-".to_owned()
            } else {
                format!("{:.2}", own.mean / other.mean)
            };
            let (own, other) = (own.render(measure), other.render(measure));
            let name = column(measure);
            let _ = writeln!(text, "| {name} | {own} | {other} | {ratio} |");
        }
        text
    }

    /// A Markdown table of the chief measures of every scenario, comfreyhaven before naive.
    pub(super) fn overview(&self) -> String {
        let columns: Vec<_> = OVERVIEW.iter().map(|measure| column(*measure)).collect();
        let rule = "---|".repeat(columns.len() + 1);
        let mut text = format!("| scenario | {} |\n|{rule}\n", columns.join(" | "));
        for scenario in Scenario::iter() {
            let cells: Vec<_> = OVERVIEW
                .into_iter()
                .filter_map(|measure| self.cell(scenario, measure))
                .collect();
            if !cells.is_empty() {
                let _ = writeln!(text, "| {scenario} | {} |", cells.join(" | "));
            }
        }
        text
    }

    fn cell(&self, scenario: Scenario, measure: Measure) -> Option<String> {
        let own = self.spread(scenario, Kind::Comfreyhaven, measure)?.mean;
        let other = self.spread(scenario, Kind::Naive, measure)?.mean;
        let digits = usize::from(measure.is_percent());
        Some(format!("{own:.digits$} / {other:.digits$}"))
    }

    /// Writes a line for each measure of each run.
    pub(super) fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = String::from("scenario,load,seed,system,measure,value\n");
        for row in &self.rows {
            for (measure, value) in &row.values {
                let (scenario, seed, kind) = (row.scenario, row.seed, row.kind);
                let load = scenario.load();
                let _ = writeln!(text, "{scenario},{load},{seed},{kind},{measure},{value:.4}");
            }
        }
        std::fs::write(path, text)
    }
}

/// Name of a measure with its unit.
fn column(measure: Measure) -> String {
    let unit = if measure.is_percent() { " %" } else { "" };
    format!("{measure}{unit}")
}
