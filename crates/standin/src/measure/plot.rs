//! Plots as SVG.

use std::io;
use std::path::Path;

use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 420);
const COLORS: &[RGBColor] = &[
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
];

/// Bars in groups.
pub struct Bars<'a> {
    /// Title.
    pub title: &'a str,
    /// What the bars show.
    pub y_label: &'a str,
    /// Names of the groups.
    pub groups: Vec<String>,
    /// Name and a value for each group.
    pub series: Vec<(&'a str, Vec<f64>)>,
}

/// Lines over time.
pub struct Lines<'a> {
    /// Title.
    pub title: &'a str,
    /// What the lines show.
    pub y_label: &'a str,
    /// Name and points: seconds, value.
    pub series: Vec<(&'a str, Vec<(f64, f64)>)>,
}

fn failed(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

/// Writes bars; values over ten times the smallest series' largest are cut.
pub fn bars(path: &Path, plot: &Bars) -> io::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let largest = plot
        .series
        .iter()
        .flat_map(|(_, values)| values)
        .fold(0.0_f64, |a, b| a.max(*b));
    let width = plot.groups.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(plot.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..largest * 1.1)
        .map_err(failed)?;
    let groups = plot.groups.clone();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .y_desc(plot.y_label)
        .x_labels(plot.groups.len() * 2)
        .x_label_formatter(&|x| match (x.fract() - 0.5).abs() < 0.01 {
            true => groups.get(*x as usize).cloned().unwrap_or_default(),
            false => String::new(),
        })
        .draw()
        .map_err(failed)?;
    let step = 0.8 / plot.series.len() as f64;
    for (i, (name, values)) in plot.series.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        let bar = |(group, value): (usize, &f64)| {
            let left = group as f64 + 0.1 + step * i as f64;
            Rectangle::new([(left, 0.0), (left + step * 0.9, *value)], color.filled())
        };
        chart
            .draw_series(values.iter().enumerate().map(bar))
            .map_err(failed)?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    legend(&mut chart)?;
    root.present().map_err(failed)
}

/// Writes lines.
pub fn lines(path: &Path, plot: &Lines) -> io::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let points = || plot.series.iter().flat_map(|(_, points)| points);
    let last = points().fold(1.0_f64, |a, (x, _)| a.max(*x));
    let largest = points().fold(0.0_f64, |a, (_, y)| a.max(*y));
    let mut chart = ChartBuilder::on(&root)
        .caption(plot.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..largest * 1.1)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(plot.y_label)
        .draw()
        .map_err(failed)?;
    for (i, (name, points)) in plot.series.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))
            .map_err(failed)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color.stroke_width(2)));
    }
    legend(&mut chart)?;
    root.present().map_err(failed)
}

type Chart<'a, 'b> = ChartContext<
    'a,
    SVGBackend<'b>,
    Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
>;

fn legend<'a, 'b: 'a>(chart: &mut Chart<'a, 'b>) -> io::Result<()> {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(failed)
}
