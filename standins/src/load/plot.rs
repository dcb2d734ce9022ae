//! Plots of a report's time series as SVG files.

use std::path::{Path, PathBuf};

use eyre::WrapErr as _;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea as _, LineSeries, MAGENTA, RED, RGBColor,
    SVGBackend, WHITE,
};

use super::report::{EventReport, Point, Report};

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 360);

/// The colours of the lines, used cyclically.
const COLOURS: [RGBColor; 4] = [BLUE, GREEN, MAGENTA, BLACK];

struct Line<'a> {
    name: &'a str,
    points: &'a [Point],
}

struct Plot<'a> {
    title: &'a str,
    unit: &'a str,
    lines: Vec<Line<'a>>,
    events: &'a [EventReport],
}

/// Writes the four plots into a directory and returns their paths.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn write_plots(report: &Report, folder: &Path) -> eyre::Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder).wrap_err_with(|| folder.display().to_string())?;
    let series = &report.series;
    let single = |name, points| vec![Line { name, points }];
    let centres = series.started.iter();
    let mut service: Vec<Line<'_>> = centres
        .map(|(name, points)| Line { name, points })
        .collect();
    service.push(Line {
        name: "answered",
        points: &series.answered,
    });
    let plots = [
        (
            "gap",
            "Fairness gap",
            "tokens per weight",
            single("gap", &series.gap),
        ),
        (
            "utilisation",
            "Utilisation",
            "part of slots",
            single("slots", &series.utilisation),
        ),
        (
            "control",
            "Control traffic",
            "bytes per second",
            single("control", &series.control),
        ),
        ("service", "Service by data centre", "per second", service),
    ];
    let mut paths = Vec::new();
    for (name, title, unit, lines) in plots {
        let path = folder.join(format!("{}-{name}.svg", report.mix));
        let events = &report.events;
        let plot = Plot {
            title,
            unit,
            lines,
            events,
        };
        draw(&plot, &path).wrap_err_with(|| path.display().to_string())?;
        paths.push(path);
    }
    Ok(paths)
}

fn draw(plot: &Plot<'_>, path: &Path) -> eyre::Result<()> {
    let points = || plot.lines.iter().flat_map(|line| line.points);
    let end = points().map(|point| point.at).fold(1.0, f64::max);
    let top = points().map(|point| point.value).fold(1e-3, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let names: Vec<&str> = plot.lines.iter().map(|line| line.name).collect();
    let caption = format!("{} ({}): {}", plot.title, plot.unit, names.join(", "));
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (line, colour) in plot.lines.iter().zip(COLOURS.iter().cycle()) {
        let points = line.points.iter().map(|point| (point.at, point.value));
        chart.draw_series(LineSeries::new(points, colour))?;
    }
    for event in plot.events {
        let mark = [(event.at, 0.0), (event.at, top)];
        chart.draw_series(LineSeries::new(mark, &RED))?;
    }
    area.present()?;
    Ok(())
}
