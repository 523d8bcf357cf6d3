//! Guards I12: a planned stop ends by itself, in time, and costs no request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;

/// Default limit of a control process for handing its shards over.
const DRAIN_LIMIT: Duration = Duration::from_secs(15);

/// Guards against a stopped control process that waits for connections that its peers open anew
/// while it stops, and against lookups that fail while shards are handed over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_stops_in_time_while_its_peers_go_on() {
    let builder = FleetBuilder::new().with_hosts(3).with_services(1);
    let mut fleet = builder
        .start_serving(&[DEMO_APP])
        .await
        .expect("fleet serves");
    let is_over = Arc::new(AtomicBool::new(false));
    let url = fleet.url("entry-1", "/r/demo-app/status/1").expect("known");
    let over = is_over.clone();
    let traffic = tokio::spawn(async move {
        let client = TestClient::new().expect("client").with_key(VENDOR_KEY);
        let mut count = 0;
        while !over.load(Ordering::Acquire) {
            let answer = client.get(&url).await.expect("answered");
            assert_that!(answer.status, eq(200), "{count}: {}", answer.text());
            count += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        count
    });
    for name in ["control-3", "control-2"] {
        let control = fleet.process(name).expect("known");
        control.terminate().expect("sent");
        let status = control.wait_exit(DRAIN_LIMIT).await;
        let status = status.unwrap_or_else(|error| panic!("{error}"));
        assert_that!(status.success(), eq(true), "{name}");
    }
    is_over.store(true, Ordering::Release);
    assert_that!(traffic.await.expect("no lookup failed"), ge(50));
}
