//! Renders burn rates as a self-contained HTML page with plots.

use chervilfall_schema::BurnRow;
use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, SVGBackend, BLUE, RED, WHITE};

use crate::burn::{Burn, Series};

/// Width of a plot, in pixels.
const WIDTH: u32 = 900;
/// Height of a plot, in pixels.
const HEIGHT: u32 = 260;
/// Space for the labels of an axis, in pixels.
const AXIS: u32 = 46;

/// An error while drawing a plot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("can't draw: {0}")]
pub struct PageError(String);

/// Returns an HTML page with a table of all queues and a plot for each queue.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn.
pub fn page(burn: &Burn) -> Result<String, PageError> {
    let rows: String = burn.rows.iter().map(table_row).collect();
    let plots = burn.series.iter().map(|series| {
        let svg = plot(series, burn.log_ms)?;
        Ok(format!("<h2>{}</h2>\n{svg}", escape(&series.queue)))
    });
    let plots: String = plots.collect::<Result<_, PageError>>()?;
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn of objectives</title>\n\
         <style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:0.2em 1em;text-align:right}}</style>\n\
         </head><body>\n<h1>Burn of objectives</h1>\n\
         <p>Share of jobs that have to complete within their objective: {} of 1. A burn rate of 1 uses up the \
         budget exactly; the red line.</p>\n<table>\n\
         <tr><th>queue</th><th>requests</th><th>bad</th><th>burn, 5 min</th><th>burn, 1 h</th>\
         <th>budget left</th><th>page</th></tr>\n{rows}</table>\n{plots}</body></html>\n",
        rate(burn.success_permille)
    ))
}

fn table_row(row: &BurnRow) -> String {
    let cells = [
        escape(&row.class),
        row.requests.to_string(),
        row.bad.to_string(),
        rate(row.burn_short_permille),
        rate(row.burn_long_permille),
        rate(row.budget_left_permille),
        if row.page { "yes" } else { "no" }.to_owned(),
    ];
    format!("<tr><td>{}</td></tr>\n", cells.join("</td><td>"))
}

/// Returns an SVG plot of the burn rate of one queue.
fn plot(series: &Series, log_ms: u64) -> Result<String, PageError> {
    let mut svg = String::new();
    draw(series, log_ms, &mut svg).map_err(|error| PageError(error.to_string()))?;
    Ok(svg)
}

fn draw(series: &Series, log_ms: u64, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let points: Vec<(f64, f64)> = series
        .points
        .iter()
        .map(|point| (seconds(point.at_ms), units(point.burn_permille)))
        .collect();
    let highest = points.iter().map(|(_, burn)| *burn).fold(2.0, f64::max);
    let end = seconds(log_ms).max(1.0);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(AXIS)
        .y_label_area_size(AXIS)
        .build_cartesian_2d(0.0..end, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 1.0), (end, 1.0)], &RED))?;
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    drop(chart);
    root.present()?;
    Ok(())
}

// Times and rates of a log are far below 2^53, so that the conversion to `f64` is exact.
#[allow(clippy::cast_precision_loss)]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

#[allow(clippy::cast_precision_loss)]
fn units(permille: u64) -> f64 {
    permille as f64 / 1_000.0
}

fn rate(permille: u64) -> String {
    format!("{}.{:03}", permille / 1_000, permille % 1_000)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
