//! Renders metrics as text, with one `name{label="value"} number` per line.

use std::fmt::Display;
use std::fmt::Write;

use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::data::AggregatedMetrics;
use opentelemetry_sdk::metrics::data::Histogram;
use opentelemetry_sdk::metrics::data::MetricData;
use opentelemetry_sdk::metrics::data::ResourceMetrics;

/// Renders all metrics, sorted by line.
///
/// A histogram becomes one `_bucket` line per bound, with the cumulative count of the values up to
/// the bound (label `le`), and the lines `_sum` and `_count`. Exponential histograms are left out.
pub fn render(collected: &ResourceMetrics) -> String {
    let mut lines = Vec::new();
    for metric in collected.scope_metrics().flat_map(|scope| scope.metrics()) {
        match metric.data() {
            AggregatedMetrics::F64(data) => add_metric(&mut lines, metric.name(), data),
            AggregatedMetrics::U64(data) => add_metric(&mut lines, metric.name(), data),
            AggregatedMetrics::I64(data) => add_metric(&mut lines, metric.name(), data),
        }
    }
    lines.sort();
    lines.into_iter().map(|line| line + "\n").collect()
}

fn add_metric<T: Copy + Display>(lines: &mut Vec<String>, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Gauge(gauge) => {
            for point in gauge.data_points() {
                lines.push(format_line(name, point.attributes(), None, point.value()));
            }
        }
        MetricData::Sum(sum) => {
            for point in sum.data_points() {
                lines.push(format_line(name, point.attributes(), None, point.value()));
            }
        }
        MetricData::Histogram(histogram) => add_histogram(lines, name, histogram),
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn add_histogram<T: Copy + Display>(lines: &mut Vec<String>, name: &str, data: &Histogram<T>) {
    for point in data.data_points() {
        let mut cumulative = 0;
        let bounds = point.bounds().map(|bound| bound.to_string());
        let bounds = bounds.chain(["+Inf".to_owned()]);
        for (bound, count) in bounds.zip(point.bucket_counts()) {
            cumulative += count;
            let name = format!("{name}_bucket");
            lines.push(format_line(&name, point.attributes(), Some(&bound), cumulative));
        }
        lines.push(format_line(&format!("{name}_sum"), point.attributes(), None, point.sum()));
        lines.push(format_line(&format!("{name}_count"), point.attributes(), None, point.count()));
    }
}

fn format_line<'point>(
    name: &str,
    labels: impl Iterator<Item = &'point KeyValue>,
    bound: Option<&str>,
    value: impl Display,
) -> String {
    let mut labels: Vec<String> =
        labels.map(|label| format!("{}={:?}", label.key, label.value.to_string())).collect();
    labels.sort();
    labels.extend(bound.map(|bound| format!("le={bound:?}")));
    let mut line = name.to_owned();
    if !labels.is_empty() {
        let _ = write!(line, "{{{}}}", labels.join(","));
    }
    let _ = write!(line, " {value}");
    line
}
