//! Plots latency and outcomes over time as SVG.

use std::fmt::Write as _;

use crate::load::{RequestOutcome, RequestRecord};

const WIDTH: f64 = 800.0;
const PANEL_HEIGHT: f64 = 220.0;
const MARGIN: f64 = 50.0;

/// Totals of one second of a run.
#[derive(Clone, Debug, Default)]
struct SecondStats {
    latencies_ms: Vec<f64>,
    answered: f64,
    refused: f64,
    failed: f64,
}

/// Returns an SVG plot of the median and 99th percentile latency and of the
/// outcomes, by the second in which the requests were due.
pub fn svg(title: &str, records: &[RequestRecord]) -> String {
    let seconds = by_second(records);
    let quantiles = |q: f64| seconds.iter().map(|s| quantile(&s.latencies_ms, q)).collect();
    let counts = |count: fn(&SecondStats) -> f64| seconds.iter().map(count).collect();
    let mut text = String::new();
    let height = 2.0 * (PANEL_HEIGHT + MARGIN) + MARGIN;
    let _ = writeln!(
        text,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">"
    );
    let _ = writeln!(text, "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>");
    let title = title.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(text, "<text x=\"{MARGIN}\" y=\"20\">{title}</text>");
    let latency: [(&str, &str, Vec<f64>); 2] =
        [("p50 ms", "#1f77b4", quantiles(0.5)), ("p99 ms", "#d62728", quantiles(0.99))];
    draw_panel(&mut text, MARGIN, &latency);
    let endings: [(&str, &str, Vec<f64>); 3] = [
        ("answered/s", "#2ca02c", counts(|s| s.answered)),
        ("refused/s", "#ff7f0e", counts(|s| s.refused)),
        ("failed/s", "#d62728", counts(|s| s.failed)),
    ];
    draw_panel(&mut text, 2.0 * MARGIN + PANEL_HEIGHT, &endings);
    text.push_str("</svg>\n");
    text
}

fn by_second(records: &[RequestRecord]) -> Vec<SecondStats> {
    let last = records.iter().map(|request| request.due_ms / 1_000).max().unwrap_or(0);
    let mut seconds = vec![SecondStats::default(); last as usize + 1];
    for request in records {
        let second = &mut seconds[(request.due_ms / 1_000) as usize];
        match request.ending {
            RequestOutcome::Answered => {
                second.answered += 1.0;
                second.latencies_ms.push(request.latency_us as f64 / 1_000.0);
            }
            RequestOutcome::Refused { .. } => second.refused += 1.0,
            RequestOutcome::Failed(_) | RequestOutcome::MixedUp => second.failed += 1.0,
        }
    }
    for second in &mut seconds {
        second.latencies_ms.sort_by(f64::total_cmp);
    }
    seconds
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn draw_panel(text: &mut String, top: f64, series: &[(&str, &str, Vec<f64>)]) {
    let max_value = series.iter().flat_map(|(_, _, values)| values).copied().fold(1.0, f64::max);
    let bottom = top + PANEL_HEIGHT;
    let right = WIDTH - MARGIN;
    let _ = writeln!(
        text,
        "<path d=\"M{MARGIN} {top} V{bottom} H{right}\" fill=\"none\" stroke=\"black\"/>\n\
         <text x=\"4\" y=\"{top}\">{max_value:.0}</text><text x=\"4\" y=\"{bottom}\">0</text>"
    );
    for (index, (label, colour, values)) in series.iter().enumerate() {
        let steps = values.len().saturating_sub(1).max(1) as f64;
        let points: Vec<_> = values
            .iter()
            .enumerate()
            .map(|(i, value)| {
                let x = MARGIN + (right - MARGIN) * i as f64 / steps;
                let y = bottom - PANEL_HEIGHT * value / max_value;
                format!("{x:.1},{y:.1}")
            })
            .collect();
        let _ = writeln!(
            text,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\"/>",
            points.join(" ")
        );
        let x = MARGIN + 10.0 + 110.0 * index as f64;
        let _ = writeln!(text, "<text x=\"{x}\" y=\"{top}\" fill=\"{colour}\">{label}</text>");
    }
}
