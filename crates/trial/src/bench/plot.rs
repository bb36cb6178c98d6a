//! Plots goodput by tier over load.

use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};

use super::measure::Measure;
use super::report::Report;
use super::scenario::Scenario;
use super::system::SystemKind;
use crate::error::TrialError;

const SIZE_PIXELS: (u32, u32) = (720, 480);

const LOADS: [Scenario; 3] = [Scenario::Light, Scenario::Full, Scenario::Overload];

const TIERS: [(Measure, u32); 3] = [
    (Measure::GoodputHigh, 4),
    (Measure::GoodputMid, 2),
    (Measure::GoodputLow, 1),
];

/// Draws one line for each system and tier over the loads that were run. Higher tiers have thicker
/// lines.
pub(super) fn draw(report: &Report, path: &Path) -> Result<(), TrialError> {
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Goodput by tier", ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.6..2.1, 0.0..105.0)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("load as a fraction of capacity")
        .y_desc("complete answers within the deadline, %")
        .draw()
        .map_err(plot_error)?;
    for (kind, colour) in [(SystemKind::Comfreyhaven, BLUE), (SystemKind::Naive, RED)] {
        for (measure, width) in TIERS {
            let points = goodput_points(report, kind, measure);
            let series = LineSeries::new(points, line_style(colour, width));
            let drawn = chart.draw_series(series).map_err(plot_error)?;
            drawn
                .label(format!("{kind} {measure}"))
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], line_style(colour, width))
                });
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)?;
    Ok(())
}

fn goodput_points(report: &Report, kind: SystemKind, measure: Measure) -> Vec<(f64, f64)> {
    let point = |scenario: Scenario| {
        let statistics = report.statistics(scenario, kind, measure)?;
        Some((scenario.load(), statistics.mean))
    };
    LOADS.into_iter().filter_map(point).collect()
}

fn line_style(colour: RGBColor, width: u32) -> plotters::style::ShapeStyle {
    plotters::style::Color::stroke_width(&colour, width)
}

fn plot_error(error: impl std::error::Error) -> TrialError {
    TrialError::Plot(error.to_string())
}
