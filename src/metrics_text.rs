//! The process's metrics as Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of latencies, in seconds: from a look-up to the longest
/// goals that operators set.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0,
];

/// The process's metrics; hosts of one process share them.
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
            // Another recorder of the embedding process stays in place.
            drop(metrics::set_global_recorder(recorder));
            handle
        })
        .clone()
}

/// All metrics as text.
pub fn render() -> String {
    let handle = handle();
    handle.run_upkeep();
    handle.render()
}
