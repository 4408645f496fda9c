//! Losses as a table, as CSV and as a plot over the day.

use std::error::Error;
use std::io::Write;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use super::{Loss, Losses};

const PLOT_SIZE: (u32, u32) = (900, 420);

/// Writes a table with a block for each route, its largest losses first.
pub fn print(losses: &Losses, mut out: impl Write) -> std::io::Result<()> {
    for (route, it) in losses {
        let share = it.in_time as f64 / it.requests.max(1) as f64;
        writeln!(
            out,
            "{route}  objective {:?}  requests {}  in time {} ({share:.3})",
            it.objective, it.requests, it.in_time,
        )?;
        let mut causes: Vec<_> = it.causes.iter().collect();
        causes.sort_by(|a, b| b.1.value.total_cmp(&a.1.value));
        for (cause, Loss { requests, value }) in causes {
            writeln!(out, "  {:>6.3}  {requests:>5}  {cause}", value / it.value.max(1e-9))?;
        }
    }
    Ok(())
}

/// Writes a row for each route and cause.
pub fn write_csv(losses: &Losses, out: impl Write) -> Result<(), Box<dyn Error>> {
    let mut csv = csv::Writer::from_writer(out);
    csv.write_record(["route", "cause", "requests", "value", "share_of_value"])?;
    for (route, it) in losses {
        for (cause, loss) in &it.causes {
            csv.write_record([
                route.clone(),
                cause.to_string(),
                loss.requests.to_string(),
                format!("{:.3}", loss.value),
                format!("{:.4}", loss.value / it.value.max(1e-9)),
            ])?;
        }
    }
    csv.flush()?;
    Ok(())
}

/// Plots the value lost in each second of the day, a line for each route.
pub fn write_plot(losses: &Losses, path: &Path) -> Result<(), Box<dyn Error>> {
    let seconds = losses.values().flat_map(|it| &it.seconds);
    let last = seconds.clone().map(|it| *it.0).max().unwrap_or_default();
    let most = seconds.map(|it| it.1.value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .caption("value lost by second of the day", ("sans-serif", 16))
        .build_cartesian_2d(0..last + 1, 0.0..most * 1.05)?;
    chart.configure_mesh().x_desc("second").y_desc("value").draw()?;
    for (idx, (route, it)) in losses.iter().enumerate() {
        let color = Palette99::pick(idx).to_rgba();
        let value = |second| it.seconds.get(&second).map_or(0.0, |it| it.value);
        let line = LineSeries::new((0..=last).map(|it| (it, value(it))), &color);
        chart
            .draw_series(line)?
            .label(route)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
