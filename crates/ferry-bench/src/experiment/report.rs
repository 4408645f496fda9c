//! HTML report of an experiment: attainment over time, latency curves and cost by pool.

use std::fmt::Write;

use super::samples::{Results, Summary};

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 240.0;
const MARGIN: f64 = 40.0;
const COLOURS: [&str; 6] = ["#1b6ca8", "#c0392b", "#27885a", "#b9770e", "#6c3483", "#555555"];
/// Length of a bucket of attainment over time, in milliseconds.
const BUCKET_MS: u64 = 1_000;
/// Quantiles of the latency curve.
const QUANTILES: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

/// Renders the page.
pub fn page(name: &str, results: &Results) -> Result<String, String> {
    let policies = results.policies();
    let mut summaries = Vec::new();
    for policy in &policies {
        summaries.push(results.summary(policy)?);
    }
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px sans-serif;max-width:760px;margin:2em auto}}\
         td,th{{padding:2px 10px;text-align:right}}</style><h1>{name}</h1>"
    );
    html += &table(results, &summaries);
    html += &legend(&policies);
    html += "<h2>Attainment over time, by second of the run</h2>";
    html += &lines(&policies.iter().map(|it| attainment(results, it)).collect::<Vec<_>>(), 1.0);
    html += "<h2>Latency of complete requests in ms, by quantile</h2>";
    let curves: Vec<Vec<(f64, f64)>> = summaries.iter().map(latency_curve).collect();
    let max = curves.iter().flatten().map(|it| it.1).fold(1.0, f64::max);
    html += &lines(&curves, max);
    let quantiles: Vec<String> = QUANTILES.iter().map(ToString::to_string).collect();
    let _ = write!(html, "<p>quantiles {}</p></html>", quantiles.join(", "));
    Ok(html)
}

fn table(results: &Results, summaries: &[Summary]) -> String {
    let mut html = "<table><tr><th>policy<th>sent<th>attainment<th>p50 ms<th>p99 ms\
                    <th>runner-seconds by pool, for 1,000 requests</tr>"
        .to_owned();
    for it in summaries {
        let costs: Vec<String> = results
            .pool_costs(&it.policy)
            .iter()
            .map(|(pool, cost)| format!("{pool} {cost:.1}"))
            .collect();
        let ms = |quantile| it.latencies.value_at_quantile(quantile) as f64 / 1e3;
        let _ = write!(
            html,
            "<tr><td>{}<td>{}<td>{:.4}<td>{:.1}<td>{:.1}<td>{}</tr>",
            it.policy,
            it.sent,
            it.attainment,
            ms(0.5),
            ms(0.99),
            costs.join(", ")
        );
    }
    html + "</table>"
}

fn legend(policies: &[&str]) -> String {
    let mut html = "<p>".to_owned();
    for (policy, colour) in policies.iter().zip(COLOURS.iter().cycle()) {
        let _ = write!(html, "<span style=\"color:{colour}\">&#9632; {policy}</span> ");
    }
    html + "</p>"
}

/// Returns the share of requests completed in time, by second of arrival.
fn attainment(results: &Results, policy: &str) -> Vec<(f64, f64)> {
    let mut buckets: Vec<(u32, u32)> = Vec::new();
    for sample in results.samples.iter().filter(|it| it.policy == policy) {
        let idx = (sample.at_ms / BUCKET_MS) as usize;
        if buckets.len() <= idx {
            buckets.resize(idx + 1, (0, 0));
        }
        buckets[idx].0 += 1;
        buckets[idx].1 += u32::from(sample.is_in_time());
    }
    let filled = buckets.iter().enumerate().filter(|(_, it)| 0 < it.0);
    filled.map(|(idx, it)| (idx as f64, f64::from(it.1) / f64::from(it.0))).collect()
}

fn latency_curve(summary: &Summary) -> Vec<(f64, f64)> {
    let at = |quantile: &f64| summary.latencies.value_at_quantile(*quantile) as f64 / 1e3;
    QUANTILES.iter().enumerate().map(|(idx, it)| (idx as f64, at(it))).collect()
}

/// Draws one line for each series, with a vertical axis from zero to `max`.
fn lines(series: &[Vec<(f64, f64)>], max: f64) -> String {
    let last = series.iter().flatten().map(|it| it.0).fold(1.0, f64::max);
    let mut svg = format!(
        "<svg width=\"{WIDTH}\" height=\"{HEIGHT}\" font-size=\"11\">\
         <text x=\"0\" y=\"{MARGIN}\">{max:.0}</text>\
         <text x=\"0\" y=\"{}\">0</text>\
         <path d=\"M{MARGIN} {MARGIN}V{}H{}\" fill=\"none\" stroke=\"#999\"/>",
        HEIGHT - MARGIN,
        HEIGHT - MARGIN,
        WIDTH - MARGIN
    );
    for (points, colour) in series.iter().zip(COLOURS.iter().cycle()) {
        let coord = |(x, y): &(f64, f64)| {
            let x = MARGIN + x / last * (WIDTH - 2.0 * MARGIN);
            let y = HEIGHT - MARGIN - y / max * (HEIGHT - 2.0 * MARGIN);
            format!("{x:.1},{y:.1}")
        };
        let coords: Vec<String> = points.iter().map(coord).collect();
        let _ = write!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>",
            coords.join(" ")
        );
    }
    svg + "</svg>"
}
