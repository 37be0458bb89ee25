use std::fmt;
use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// The metrics of this process in the Prometheus text format.
#[derive(Clone)]
pub struct MetricsText(PrometheusHandle);

impl fmt::Debug for MetricsText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MetricsText")
    }
}

impl MetricsText {
    /// The current metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}

/// Installs the process's metrics recorder; later calls return the same one.
///
/// # Panics
///
/// If another metrics recorder has been installed in the process.
pub fn install_metrics() -> MetricsText {
    let handle = HANDLE.get_or_init(|| {
        PrometheusBuilder::new()
            .install_recorder()
            .expect("no other metrics recorder is installed in this process")
    });
    MetricsText(handle.clone())
}
