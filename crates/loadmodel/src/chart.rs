//! Bar chart of a comparison of policies.

use displaydoc::Display;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 6] = [BLACK, MAGENTA, BLUE, RED, GREEN, CYAN];

/// Failure to draw a chart
#[derive(Debug, Display)]
pub enum ChartError {
    /// drawing failed: {0}
    Draw(String),
}

impl std::error::Error for ChartError {}

/// Fractions served in time by policy, for one load pattern
pub struct PatternBars {
    /// Name of the pattern
    pub pattern: &'static str,
    /// Names of policies, and fractions from 0 to 1
    pub bars: Vec<(&'static str, f64)>,
}

/// Draws one bar per pattern and policy into an SVG file
///
/// # Errors
/// `ChartError` if the file can't be written.
pub fn draw(path: &Path, patterns: &[PatternBars]) -> Result<(), ChartError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    for (panel, pattern) in area.split_evenly((1, patterns.len())).iter().zip(patterns) {
        let width = pattern.bars.len() as f64;
        let mut chart = ChartBuilder::on(panel)
            .caption(pattern.pattern, ("sans-serif", 15))
            .margin(6)
            .y_label_area_size(30)
            .build_cartesian_2d(0.0..width, 0.0..1.0)
            .map_err(failed)?;
        chart.configure_mesh().disable_x_mesh().disable_x_axis().draw().map_err(failed)?;
        let bars = pattern.bars.iter().zip(COLOURS).enumerate();
        for (index, ((name, value), colour)) in bars {
            let left = index as f64 + 0.1;
            let bar = Rectangle::new([(left, 0.0), (left + 0.8, *value)], colour.mix(0.5).filled());
            chart.draw_series([bar]).map_err(failed)?;
            let label = Text::new(*name, (left, value + 0.06), ("sans-serif", 9));
            chart.draw_series([label]).map_err(failed)?;
        }
    }
    area.present().map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> ChartError {
    ChartError::Draw(error.to_string())
}
