//! Rendering of charts as SVG.

use std::fmt::Write as _;

use crate::escape::escape;
use crate::{Chart, ChartKind, format_number};

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 300.0;
const LEFT: f64 = 70.0;
const RIGHT: f64 = 20.0;
const TOP: f64 = 50.0;
const BOTTOM: f64 = 40.0;
const GRID_LINES: u32 = 4;
/// Colours that remain distinct with the common forms of colour blindness.
const COLOURS: [&str; 6] = ["#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00"];

/// Draws a chart as an SVG document.
#[must_use]
pub fn render_svg(chart: &Chart) -> String {
    let mut svg = String::new();
    // Writing to a string does not fail.
    let _ = write_chart(&mut svg, chart);
    svg
}

fn write_chart(svg: &mut String, chart: &Chart) -> std::fmt::Result {
    let measured = chart.series.iter().flat_map(|it| it.values.iter().copied().flatten());
    let highest = measured.chain(chart.limit).filter(|it| it.is_finite()).fold(0.0, f64::max);
    let top_value = if highest == 0.0 { 1.0 } else { highest * 1.05 };
    let y_of = |value: f64| {
        let share = (value / top_value).clamp(0.0, 1.0);
        HEIGHT - BOTTOM - share * (HEIGHT - BOTTOM - TOP)
    };
    writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\" role=\"img\">"
    )?;
    writeln!(svg, "<title>{}</title>", escape(&chart.title))?;
    let title = format!("{} ({})", chart.title, chart.unit);
    writeln!(svg, "<text x=\"{LEFT}\" y=\"16\" font-size=\"13\">{}</text>", escape(&title))?;
    for line in 0..=GRID_LINES {
        let value = top_value * f64::from(line) / f64::from(GRID_LINES);
        let y = y_of(value);
        let end = WIDTH - RIGHT;
        writeln!(svg, "<path d=\"M{LEFT} {y:.1}H{end}\" stroke=\"#ddd\"/>")?;
        let (x, y) = (LEFT - 6.0, y + 4.0);
        let label = format_number(value);
        writeln!(svg, "<text x=\"{x}\" y=\"{y:.1}\" text-anchor=\"end\">{label}</text>")?;
    }
    for (index, series) in chart.series.iter().enumerate() {
        let x = LEFT + 150.0 * index as f64;
        let (colour, name) = (colour(index), escape(&series.name));
        writeln!(svg, "<rect x=\"{x}\" y=\"26\" width=\"10\" height=\"10\" fill=\"{colour}\"/>")?;
        writeln!(svg, "<text x=\"{}\" y=\"35\">{name}</text>", x + 14.0)?;
    }
    let x_positions = x_positions(chart);
    for (x_centre, label) in x_positions.iter().zip(&chart.positions) {
        let (y, label) = (HEIGHT - BOTTOM + 16.0, escape(label));
        writeln!(svg, "<text x=\"{x_centre:.1}\" y=\"{y}\" text-anchor=\"middle\">{label}</text>")?;
    }
    match chart.kind {
        ChartKind::Bars => write_bars(svg, chart, &x_positions, y_of)?,
        ChartKind::Lines => write_lines(svg, chart, &x_positions, y_of)?,
    }
    if let Some(limit) = chart.limit {
        let (y, end) = (y_of(limit), WIDTH - RIGHT);
        writeln!(
            svg,
            "<path d=\"M{LEFT} {y:.1}H{end}\" stroke=\"#a00\" stroke-dasharray=\"4 3\"/>"
        )?;
    }
    writeln!(svg, "</svg>")
}

fn colour(index: usize) -> &'static str {
    COLOURS[index % COLOURS.len()]
}

/// Returns the horizontal coordinates of the positions: evenly spaced, or on a logarithmic scale
/// for a line chart over positive numbers.
fn x_positions(chart: &Chart) -> Vec<f64> {
    let count = chart.positions.len();
    let width = WIDTH - LEFT - RIGHT;
    let step = width / count.max(1) as f64;
    let even = || (0..count).map(|index| LEFT + step * (index as f64 + 0.5)).collect();
    if chart.kind == ChartKind::Bars {
        return even();
    }
    let numbers: Option<Vec<f64>> =
        chart.positions.iter().map(|it| it.parse().ok().filter(|it| 0.0 < *it)).collect();
    let Some(numbers) = numbers else { return even() };
    let low = numbers.iter().copied().fold(f64::INFINITY, f64::min).ln();
    let high = numbers.iter().copied().fold(0.0, f64::max).ln();
    if high <= low {
        return even();
    }
    let inset = 40.0;
    let x_of = |it: &f64| LEFT + inset + (it.ln() - low) / (high - low) * (width - 2.0 * inset);
    numbers.iter().map(x_of).collect()
}

fn write_bars(
    svg: &mut String,
    chart: &Chart,
    x_positions: &[f64],
    y_of: impl Fn(f64) -> f64,
) -> std::fmt::Result {
    let group = 0.8 * (WIDTH - LEFT - RIGHT) / x_positions.len().max(1) as f64;
    let width = group / chart.series.len().max(1) as f64;
    for (index, series) in chart.series.iter().enumerate() {
        for (x_centre, value) in x_positions.iter().zip(&series.values) {
            let Some(value) = value.filter(|it| it.is_finite()) else { continue };
            let (x, y) = (x_centre - group / 2.0 + width * index as f64, y_of(value));
            let height = HEIGHT - BOTTOM - y;
            writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" \
                 fill=\"{}\"><title>{}: {}</title></rect>",
                colour(index),
                escape(&series.name),
                format_number(value)
            )?;
        }
    }
    Ok(())
}

fn write_lines(
    svg: &mut String,
    chart: &Chart,
    x_positions: &[f64],
    y_of: impl Fn(f64) -> f64,
) -> std::fmt::Result {
    for (index, series) in chart.series.iter().enumerate() {
        let values = x_positions.iter().zip(&series.values);
        let points = values.filter_map(|(x, value)| Some((*x, (*value)?)));
        let points: Vec<_> = points.filter(|(_, value)| value.is_finite()).collect();
        let path: Vec<_> =
            points.iter().map(|(x, value)| format!("{x:.1},{:.1}", y_of(*value))).collect();
        let (colour, name) = (colour(index), escape(&series.name));
        let path = path.join(" ");
        writeln!(svg, "<polyline points=\"{path}\" fill=\"none\" stroke=\"{colour}\"/>")?;
        for (x, value) in points {
            let (y, value) = (y_of(value), format_number(value));
            writeln!(
                svg,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"{colour}\">\
                 <title>{name}: {value}</title></circle>"
            )?;
        }
    }
    Ok(())
}
