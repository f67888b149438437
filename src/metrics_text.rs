//! Metrics of the process in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of latency histograms, in seconds. They reach from the latency of
/// a look-up to the longest latency goals that operators set.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0,
];

/// Handle to the metrics of the process, which its hosts share; installs the recorder on first use.
pub fn handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let latencies = Matcher::Suffix("_latency_seconds".to_owned());
            let builder = PrometheusBuilder::new();
            let builder = builder
                .set_buckets_for_metric(latencies, LATENCY_BUCKETS_S)
                .expect("there are buckets");
            let recorder = builder.build_recorder();
            let handle = recorder.handle();
            // A recorder that the embedding process has installed already is kept.
            drop(metrics::set_global_recorder(recorder));
            handle
        })
        .clone()
}

/// All metrics in the Prometheus text format.
pub fn render() -> String {
    let handle = handle();
    handle.run_upkeep();
    handle.render()
}
