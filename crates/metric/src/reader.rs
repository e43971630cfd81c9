//! Collects metrics on demand.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::InstrumentKind;
use opentelemetry_sdk::metrics::ManualReader;
use opentelemetry_sdk::metrics::Pipeline;
use opentelemetry_sdk::metrics::Temporality;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::reader::MetricReader;

/// A metric reader that collects on demand.
///
/// Clones share their state: the meter provider keeps one, the caller collects through another.
#[derive(Clone, Debug, Default)]
pub struct Reader(Arc<ManualReader>);

impl Reader {
    /// Collects the current value of each metric.
    ///
    /// If that fails, the error is logged and the result may lack metrics.
    pub fn collect(&self) -> ResourceMetrics {
        let mut collected = ResourceMetrics::default();
        if let Err(error) = self.0.collect(&mut collected) {
            tracing::warn!(event = "metrics-failed", %error);
        }
        collected
    }
}

impl MetricReader for Reader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}
