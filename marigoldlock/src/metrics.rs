//! Prometheus metrics of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder; later calls have no effect.
pub fn init() {
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Renders the metrics in the Prometheus text format; empty without a recorder.
pub fn render() -> String {
    HANDLE
        .get()
        .and_then(Option::as_ref)
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
