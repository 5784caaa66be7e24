//! `plot`: draws the rows of a JSON file as curves.

use std::collections::BTreeMap;
use std::fs;

use clap::{Arg, ArgMatches, Command};
use plotters::prelude::*;
use serde_json::Value;

use super::BenchResult;

const SIZE: (u32, u32) = (720, 420);
/// Height of the chart as a factor of the highest value.
const HEADROOM: f64 = 1.05;

/// The subcommand and its arguments.
pub fn usage() -> Command {
    let needed = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).required(true)
    };
    Command::new("plot")
        .about("Draws a file of figures as curves, into an SVG file")
        .arg(
            Arg::new("figures")
                .required(true)
                .help("JSON file with one object a row"),
        )
        .arg(needed("x", "Field along the bottom"))
        .arg(needed("y", "Field of the curves' heights"))
        .arg(
            Arg::new("by")
                .long("by")
                .help("Field that tells the curves apart"),
        )
        .arg(needed("out", "SVG file to write"))
}

/// Points of each curve, by the curve's name.
type Curves = BTreeMap<String, Vec<(f64, f64)>>;

/// Runs the command.
pub fn run(matches: &ArgMatches) -> BenchResult {
    let text = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let (file, x, y, by) = (text("figures"), text("x"), text("y"), text("by"));
    let rows: Vec<Value> = serde_json::from_slice(&fs::read(file)?)?;
    let curves = curves(&rows, x, y, by);
    if curves.is_empty() {
        return Err(format!("{file} has no row with {x} and {y}").into());
    }
    draw(&curves, x, y, text("out"))
}

fn curves(rows: &[Value], x: &str, y: &str, by: &str) -> Curves {
    let mut curves = Curves::new();
    for row in rows {
        let (Some(at), Some(height)) = (row[x].as_f64(), row[y].as_f64()) else {
            continue;
        };
        let name = row[by].as_str().unwrap_or(y).to_owned();
        curves.entry(name).or_default().push((at, height));
    }
    for points in curves.values_mut() {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    curves
}

fn draw(curves: &Curves, x: &str, y: &str, out: &str) -> BenchResult {
    let points = || curves.values().flatten();
    let low = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let high = points()
        .map(|point| point.0)
        .fold(f64::NEG_INFINITY, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(out, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(low..high, 0.0..top.max(f64::MIN_POSITIVE))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (at, (name, points)) in curves.iter().enumerate() {
        let color = Palette99::pick(at).stroke_width(2);
        let line = LineSeries::new(points.iter().copied(), color);
        let key = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color);
        chart.draw_series(line)?.label(name.as_str()).legend(key);
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
