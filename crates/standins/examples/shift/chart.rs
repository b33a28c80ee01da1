//! Chart of a day: mix, roles and goodput over time.

use crate::caller::CallEnd;
use crate::day::DayRecord;
use crate::schedule::{DAY_LENGTH, prompt_fraction};
use displaydoc::Display;
use plotters::prelude::*;
use std::path::Path;
use std::time::Duration;

const SIZE: (u32, u32) = (900, 700);
const BIN: Duration = Duration::from_secs(1);

/// Failure to draw a chart
#[derive(Debug, Display)]
pub enum ChartError {
    /// failed to draw the chart: {0}
    Draw(String),
}

impl std::error::Error for ChartError {}

type Series = Vec<(f64, f64)>;

/// Draws a day as SVG
///
/// # Errors
/// `ChartError` if the file can't be written.
pub fn draw(path: &Path, record: &DayRecord, title: &str) -> Result<(), ChartError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let panels = area.split_evenly((3, 1));
    let fraction = vec![("prompt fraction", BLUE, fractions())];
    draw_panel(&panels[0], title, 1.0, record, &fraction)?;
    let roles = vec![
        ("prefill", BLUE, roles(record, |it| it.prefill)),
        ("decode", RED, roles(record, |it| it.decode)),
        ("mixed", GREEN, roles(record, |it| it.mixed)),
        ("away", BLACK, roles(record, |it| it.away)),
    ];
    draw_panel(&panels[1], "engines by role", 8.0, record, &roles)?;
    let good = vec![("goodput", RED, goodput(record))];
    draw_panel(&panels[2], "goodput of generations by second of arrival", 1.0, record, &good)?;
    area.present().map_err(failed)
}

fn draw_panel<'a>(
    area: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    title: &str,
    top: f64,
    record: &DayRecord,
    lines: &[(&str, RGBColor, Series)],
) -> Result<(), ChartError> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(36)
        .build_cartesian_2d(0.0..DAY_LENGTH.as_secs_f64(), 0.0..top * 1.05)
        .map_err(failed)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(failed)?;
    for (at, event) in &record.events {
        let at = at.as_secs_f64();
        let line = LineSeries::new([(at, 0.0), (at, top)], BLACK.mix(0.3));
        chart.draw_series(line).map_err(failed)?;
        let label = Text::new(event.name(), (at, top), ("sans-serif", 9));
        chart.draw_series([label]).map_err(failed)?;
    }
    for (name, colour, series) in lines {
        let drawn = chart.draw_series(LineSeries::new(series.clone(), *colour)).map_err(failed)?;
        let colour = *colour;
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], colour);
        drawn.label(*name).legend(key);
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.3)).draw().map_err(failed)
}

fn fractions() -> Series {
    let seconds = DAY_LENGTH.as_secs() * 4;
    let point = |it: u64| (it as f64 / 4.0, prompt_fraction(Duration::from_millis(it * 250)));
    (0..seconds).map(point).collect()
}

fn roles(record: &DayRecord, count: impl Fn(&crate::day::RoleSample) -> usize) -> Series {
    record.roles.iter().map(|it| (it.at_ms as f64 / 1_000.0, count(it) as f64)).collect()
}

fn goodput(record: &DayRecord) -> Series {
    let mut bins = vec![(0, 0); DAY_LENGTH.as_secs() as usize + 1];
    for result in record.results.iter().filter(|it| it.call.kind.is_generation()) {
        let bin = (result.call.at.as_secs_f64() / BIN.as_secs_f64()) as usize;
        let Some((offered, good)) = bins.get_mut(bin) else {
            continue;
        };
        *offered += 1;
        *good += usize::from(result.end == CallEnd::Good);
    }
    let full = bins.iter().enumerate().filter(|(_, (offered, _))| *offered > 0);
    full.map(|(bin, (offered, good))| (bin as f64, f64::from(*good as u32) / f64::from(*offered)))
        .collect()
}

fn failed(error: impl std::fmt::Display) -> ChartError {
    ChartError::Draw(error.to_string())
}
