use std::path::Path;

use plotters::prelude::*;

use crate::BenchError;
use crate::CallResult;
use crate::SeedRun;
use crate::bench_error::Result;

const SIZE: (u32, u32) = (900, 500);

/// Draws the time to the first token of every whole answer against its planned time of sending;
/// cold requests are red.
pub fn plot_first_tokens(path: &Path, name: &str, runs: &[SeedRun]) -> Result<()> {
    draw(path, name, runs).map_err(|error| BenchError::Invalid(error.to_string()))
}

fn draw(
    path: &Path,
    name: &str,
    runs: &[SeedRun],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let points: Vec<(f64, f64, bool)> = runs
        .iter()
        .flat_map(|run| &run.records)
        .filter(|record| record.result == CallResult::Whole)
        .map(|record| {
            let seconds = record.first_token.as_secs_f64();
            (record.intended.as_secs_f64(), seconds, record.is_cold)
        })
        .collect();
    let end = points.iter().map(|point| point.0).fold(1.0, f64::max);
    let top = points.iter().map(|point| point.1).fold(0.01, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{name}: time to first token"), ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..end, (0.001..top * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("planned time of sending, s")
        .y_desc("s, red: waited for a load")
        .draw()?;
    chart.draw_series(points.iter().map(|(x, y, is_cold)| {
        let colour = if *is_cold { RED } else { BLUE };
        Circle::new((*x, *y), 2, colour.filled())
    }))?;
    area.present()?;
    Ok(())
}
