//! SVG plot of an experiment's results.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::report::ExperimentReport;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// Time between two points of the timeline, in minutes.
const TIMELINE_STEP_MINUTES: f64 = 0.5;

/// Plots the share of requests answered within the target over time, with one line for each policy.
pub(super) fn write(report: &ExperimentReport, path: &Path) -> Result<()> {
    draw(report, path).map_err(|error| eyre!("failed to plot {}: {error}", path.display()))
}

fn draw(report: &ExperimentReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let lines = report.policies.iter().map(|policy| {
        let runs: Vec<_> = policy.runs.iter().map(|run| run.timeline.as_slice()).collect();
        (policy.policy.as_str(), mean_line(&runs))
    });
    let lines: Vec<_> = lines.collect();
    let longest = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..longest as f64 * TIMELINE_STEP_MINUTES, 0.0..1.02)?;
    chart
        .configure_mesh()
        .x_desc("minutes")
        .y_desc("share within target")
        .draw()?;
    for (number, (name, line)) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = line
            .iter()
            .enumerate()
            .map(|(step, value)| (step as f64 * TIMELINE_STEP_MINUTES, *value));
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2));
        series.label(*name).legend(key);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn mean_line(runs: &[&[f64]]) -> Vec<f64> {
    let longest = runs.iter().map(|run| run.len()).max().unwrap_or(0);
    let point = |step: usize| {
        let values: Vec<f64> = runs.iter().filter_map(|run| run.get(step).copied()).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    (0..longest).map(point).collect()
}
