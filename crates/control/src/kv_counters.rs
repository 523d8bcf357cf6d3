//! Exports the calls on the key-value service as metrics.

use std::time::Duration;

use prometheus::IntGaugeVec;
use tokio_util::sync::CancellationToken;
use zinniahinge_kv::CallCounts;
use zinniahinge_kv::KvClient;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;

/// How often the counts are copied.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// Registers `kv_calls` by kind and keeps it up to date until `token` is cancelled.
pub fn export_kv_counts(
    registry: &MetricsRegistry,
    kv: KvClient,
    token: CancellationToken,
) -> Result<(), MetricError> {
    let help = "Calls on the key-value service since the start.";
    let calls = registry.gauge_vec("kv_calls", help, &["kind"])?;
    tokio::spawn(async move {
        loop {
            copy_counts(&calls, &kv);
            let pause = tokio::time::sleep(COPY_INTERVAL);
            if token.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    });
    Ok(())
}

fn copy_counts(gauge: &IntGaugeVec, kv: &KvClient) {
    let CallCounts {
        reads,
        writes,
        leases,
        watches,
        not_sent,
        unknown,
    } = kv.counts();
    let set = |kind: &str, count: u64| gauge.with_label_values(&[kind]).set(count as i64);
    set("read", reads);
    set("write", writes);
    set("lease", leases);
    set("watch", watches);
    set("not_sent", not_sent);
    set("unknown", unknown);
}
