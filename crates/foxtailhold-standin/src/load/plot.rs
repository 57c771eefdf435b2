//! Bar charts of a load report as SVG files.

use std::path::Path;

use plotters::prelude::*;

use crate::error::Result;
use crate::load::report::{Report, Row};

const SIZE_PX: (u32, u32) = (960, 420);

/// A chart with one bar for each phase and policy.
struct Figure {
    file: &'static str,
    title: &'static str,
    value: fn(&Row) -> f64,
}

const FIGURES: [Figure; 3] = [
    Figure {
        file: "first-token-p99",
        title: "p99 of first token, ms",
        value: |row| row.statistics.first_token.p99_ms,
    },
    Figure {
        file: "between-tokens-p99",
        title: "p99 between tokens, ms",
        value: |row| row.statistics.between_tokens.p99_ms,
    },
    Figure {
        file: "batch-items",
        title: "batch items a second",
        value: |row| row.items_per_s,
    },
];

/// Writes one SVG file for each chart to `directory`, which is created if it is missing.
pub fn write(report: &Report, directory: &Path) -> Result<()> {
    std::fs::create_dir_all(directory)?;
    for figure in &FIGURES {
        let name = format!("{}-{}.svg", report.deployment, figure.file);
        draw(report, figure, &directory.join(name))?;
    }
    Ok(())
}

fn draw(report: &Report, figure: &Figure, path: &Path) -> Result<()> {
    let (policies, phases) = (report.policies(), report.phases());
    let value = |policy: &str, phase: &str| report.median(policy, phase, figure.value);
    let mut highest = 1.0_f64;
    for policy in &policies {
        for phase in &phases {
            highest = highest.max(value(policy, phase));
        }
    }
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!("{}: {}", report.deployment, figure.title);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..phases.len() as f64, 0.0..highest * 1.1)?;
    let label = |x: &f64| phases.get(*x as usize).copied().unwrap_or_default().into();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(phases.len() + 1)
        .x_label_formatter(&label)
        .draw()?;
    let width = 0.8 / policies.len() as f64;
    for (number, policy) in policies.iter().enumerate() {
        let style = Palette99::pick(number).filled();
        let mut bars = Vec::new();
        for (index, phase) in phases.iter().enumerate() {
            let left = index as f64 + 0.1 + number as f64 * width;
            let corners = [(left, 0.0), (left + width, value(policy, phase))];
            bars.push(Rectangle::new(corners, style));
        }
        chart
            .draw_series(bars)?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
