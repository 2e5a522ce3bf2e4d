//! Sink that sends metrics in the statsd format by UDP; docs/OPERATING.md lists the
//! names.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};

use super::{MetricSink, Sample};

/// Maximum number of metrics that wait for the sending thread; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 8_192;

/// A sink that sends metrics in the statsd format by UDP.
pub struct StatsdSink {
    client: StatsdClient,
}

impl StatsdSink {
    /// Creates a sink that sends to `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if no local UDP port can be opened.
    pub fn new(addr: SocketAddr) -> Result<StatsdSink, Box<dyn std::error::Error + Send + Sync>> {
        let any = if addr.is_ipv6() { "[::]:0" } else { "0.0.0.0:0" };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::with_capacity(
            UdpMetricSink::from(addr, socket)?,
            MAX_QUEUED_METRICS,
        );
        Ok(StatsdSink { client: StatsdClient::from_sink("azuregate", sink) })
    }
}

impl MetricSink for StatsdSink {
    fn request(&self, sample: &Sample) {
        let tenant = sample.tenant.as_ref().map_or("none", |tenant| tenant.as_str());
        self.client
            .count_with_tags("request", 1)
            .with_tag("service", sample.service.as_str())
            .with_tag("tenant", tenant)
            .with_tag("class", sample.class.as_str())
            .with_tag("code", sample.code)
            .send();
        self.client
            .time_with_tags("request_ms", sample.latency_ms)
            .with_tag("service", sample.service.as_str())
            .with_tag("tenant", tenant)
            .with_tag("class", sample.class.as_str())
            .send();
    }

    fn dropped(&self, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.client.count_with_tags("samples_dropped", count).send();
    }
}
