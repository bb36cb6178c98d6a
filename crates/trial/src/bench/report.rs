//! Formats the measures of both systems as Markdown tables and as CSV.

use std::fmt::Write;
use std::path::Path;

use strum::IntoEnumIterator;

use super::measure::{Measure, Row};
use super::scenario::Scenario;
use super::system::SystemKind;

/// Measures that the overview table shows.
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

/// Measures of all runs so far.
#[derive(Debug, Default)]
pub(super) struct Report {
    rows: Vec<Row>,
}

/// Mean and range of a measure over all seeds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Statistics {
    pub(super) mean: f64,
    min: f64,
    max: f64,
}

impl Statistics {
    fn new(values: &[f64]) -> Option<Self> {
        let count = u32::try_from(values.len())
            .ok()
            .filter(|&count| count > 0)?;
        Some(Self {
            mean: values.iter().sum::<f64>() / f64::from(count),
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        })
    }

    fn render(&self, measure: Measure) -> String {
        let digits = if measure.is_percent() { 2 } else { 0 };
        let Self { mean, min, max } = self;
        if min == max {
            return format!("{mean:.digits$}");
        }
        format!("{mean:.1$} ({min:.0$} to {max:.0$})", digits, digits.max(1))
    }
}

impl Report {
    pub(super) fn extend(&mut self, rows: impl IntoIterator<Item = Row>) {
        self.rows.extend(rows);
    }

    /// Statistics of a measure, or `None` if no run yielded it.
    pub(super) fn statistics(
        &self,
        scenario: Scenario,
        kind: SystemKind,
        measure: Measure,
    ) -> Option<Statistics> {
        let rows = self.rows.iter();
        let rows = rows.filter(|row| row.scenario == scenario && row.kind == kind);
        let values: Vec<_> = rows
            .filter_map(|row| row.values.get(&measure).copied())
            .collect();
        Statistics::new(&values)
    }

    /// Formats all measures of one scenario as a Markdown table.
    pub(super) fn table(&self, scenario: Scenario) -> String {
        let mut text = format!(
            "### {scenario}, load {}\n\n| measure | comfreyhaven | naive | ratio |\n|---|---|---|---|\n",
            scenario.load()
        );
        for measure in Measure::iter() {
            let comfreyhaven = self.statistics(scenario, SystemKind::Comfreyhaven, measure);
            let naive = self.statistics(scenario, SystemKind::Naive, measure);
            let (Some(comfreyhaven), Some(naive)) = (comfreyhaven, naive) else {
                continue;
            };
            let ratio = if naive.mean == 0.0 {
                "-".to_owned()
            } else {
                format!("{:.2}", comfreyhaven.mean / naive.mean)
            };
            let (comfreyhaven, naive) = (comfreyhaven.render(measure), naive.render(measure));
            let name = column_name(measure);
            let _ = writeln!(text, "| {name} | {comfreyhaven} | {naive} | {ratio} |");
        }
        text
    }

    /// Formats the [`OVERVIEW`] measures of every scenario as a Markdown table, with the value of
    /// comfreyhaven before that of the naive system.
    pub(super) fn overview(&self) -> String {
        let columns: Vec<_> = OVERVIEW
            .iter()
            .map(|measure| column_name(*measure))
            .collect();
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
        let comfreyhaven = self
            .statistics(scenario, SystemKind::Comfreyhaven, measure)?
            .mean;
        let naive = self.statistics(scenario, SystemKind::Naive, measure)?.mean;
        let digits = usize::from(measure.is_percent());
        Some(format!("{comfreyhaven:.digits$} / {naive:.digits$}"))
    }

    /// Writes a CSV file with one line for each measure of each run.
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

/// Returns the name of a measure, followed by its unit.
fn column_name(measure: Measure) -> String {
    let unit = if measure.is_percent() { " %" } else { "" };
    format!("{measure}{unit}")
}
