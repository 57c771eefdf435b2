//! Plots the results of a report over time, as SVG.

use std::path::{Path, PathBuf};

use miette::Diagnostic;
use plotters::prelude::*;
use thiserror::Error;

use crate::report::{Report, Row};
use crate::statistics::WINDOW_US;

const SIZE_PX: (u32, u32) = (960, 420);

/// Result of drawing plots.
pub type Result<T> = std::result::Result<T, PlotError>;

/// A plot cannot be written.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot write the plot {}: {source}", file.display())]
pub struct PlotError {
    file: PathBuf,
    source: PlotErrorCause,
}

/// Cause of a [`PlotError`].
#[derive(Debug, Error)]
pub enum PlotErrorCause {
    /// The directory cannot be created.
    #[error(transparent)]
    Directory(#[from] std::io::Error),
    /// The drawing cannot be made or written.
    #[error(transparent)]
    Drawing(#[from] DrawingAreaErrorKind<std::io::Error>),
}

/// One chart, drawn for every report.
struct Figure {
    file: &'static str,
    title: &'static str,
    /// Index of the request kind in the counts of a window: 0 online, 1 batch.
    kind: usize,
}

const FIGURES: [Figure; 2] = [
    Figure {
        file: "online-in-time",
        title: "online requests in time, by arrival",
        kind: 0,
    },
    Figure {
        file: "batch-in-time",
        title: "batch items in time, by arrival",
        kind: 1,
    },
];

/// Writes one SVG file per figure.
pub fn write(report: &Report, directory: &Path) -> Result<()> {
    let failed = |file: &Path, source: PlotErrorCause| PlotError {
        file: file.to_owned(),
        source,
    };
    std::fs::create_dir_all(directory).map_err(|error| failed(directory, error.into()))?;
    for figure in &FIGURES {
        let file = directory.join(format!("{}-{}.svg", report.deployment, figure.file));
        draw(report, figure, &file).map_err(|source| failed(&file, source))?;
    }
    Ok(())
}

/// Share in time of each window with expected requests, over all seeds.
fn line(row: &Row, kind: usize) -> Vec<(f64, f64)> {
    let windows = row
        .statistics
        .iter()
        .map(|statistics| statistics.windows.len())
        .max();
    let mut points = Vec::new();
    for index in 0..windows.unwrap_or_default() {
        let (mut expected, mut in_time) = (0, 0);
        for statistics in &row.statistics {
            expected += statistics.windows[index].expected[kind];
            in_time += statistics.windows[index].in_time[kind];
        }
        if expected > 0 {
            let at_s = index as f64 * WINDOW_US as f64 / 1e6;
            points.push((at_s, in_time as f64 / expected as f64));
        }
    }
    points
}

fn draw(report: &Report, figure: &Figure, path: &Path) -> std::result::Result<(), PlotErrorCause> {
    let lines: Vec<_> = report
        .rows
        .iter()
        .map(|row| line(row, figure.kind))
        .collect();
    let last_s = lines
        .iter()
        .flatten()
        .map(|(at_s, _)| *at_s)
        .fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{}: {}", report.deployment, figure.title),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..last_s, 0.0..1.05)?;
    chart.configure_mesh().x_desc("arrival, s").draw()?;
    for (number, (row, points)) in report.rows.iter().zip(lines).enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(row.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
