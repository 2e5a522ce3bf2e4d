//! Counters and latency histograms, served as text.

use std::{cell::RefCell, collections::BTreeMap, convert::Infallible, fmt::Write, rc::Rc};

use hdrhistogram::Histogram;
use hyper::{StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::spawn_local};

use super::{answer::plain, state::State};

/// The longest latency that is told apart.
const LATENCY_LIMIT_MS: u64 = 60_000;
/// Series that are kept at the most; routes come and go with the configuration.
const SERIES_LIMIT: usize = 256;

/// Counters and histograms of one instance.
#[derive(Default)]
pub(super) struct Metrics {
    series: RefCell<BTreeMap<Labels, Histogram<u64>>>,
}

/// What tells one histogram from another.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Labels {
    service: String,
    route: String,
    code: &'static str,
}

impl Metrics {
    /// Takes in one request.
    pub(super) fn request(&self, service: &str, route: &str, code: &'static str, taken_ms: u64) {
        let mut series = self.series.borrow_mut();
        let key = Labels { service: service.to_owned(), route: route.to_owned(), code };
        if series.len() >= SERIES_LIMIT && !series.contains_key(&key) {
            return;
        }
        let histogram = series.entry(key).or_insert_with(|| {
            Histogram::new_with_max(LATENCY_LIMIT_MS, 2).expect("the bounds are valid constants")
        });
        histogram.saturating_record(taken_ms);
    }

    fn text(&self, state: &State) -> String {
        let mut text = String::new();
        let mut line = |line: std::fmt::Arguments<'_>| {
            let _ = text.write_fmt(line);
            text.push('\n');
        };
        line(format_args!("azuregate_ready {}", u8::from(state.is_ready())));
        line(format_args!("azuregate_connections {}", state.connections.get()));
        line(format_args!("azuregate_instances {}", state.members.borrow().len()));
        for (Labels { service, route, code }, histogram) in self.series.borrow().iter() {
            let labels = format!("service=\"{service}\",route=\"{route}\",code=\"{code}\"");
            line(format_args!("azuregate_requests_total{{{labels}}} {}", histogram.len()));
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let value = histogram.value_at_quantile(quantile);
                line(format_args!(
                    "azuregate_latency_ms{{{labels},quantile=\"{quantile}\"}} {value}"
                ));
            }
        }
        text
    }
}

/// Serves the metrics until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = Rc::clone(&state);
        spawn_local(async move {
            let service = service_fn(move |_| {
                let text = state.metrics.text(&state).into_bytes();
                async move { Ok::<_, Infallible>(plain(StatusCode::OK, "text/plain", text)) }
            });
            // An error means that whoever reads the metrics has left.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
