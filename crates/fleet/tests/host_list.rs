//! Guards requests against a host list that is late or down while processes start (I12).

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use serde_json::json;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::FleetError;
use zinniahinge_fleet::TestClient;

const ABOUT: &str = "/r/demo-app/about";
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Guards against a started host that takes requests before it knows a backend server, and against
/// the loss of the list that is known when only the control process starts anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_is_ready_with_the_host_list_only_and_keeps_it() {
    let builder = FleetBuilder::new().with_services(1);
    let mut fleet = builder
        .start_serving(&[DEMO_APP])
        .await
        .expect("fleet serves");
    let client = TestClient::new().expect("client");
    let url = fleet.url("entry-1", ABOUT).expect("known");
    assert_that!(client.get(&url).await.expect("answered").status, eq(200));

    let down = json!({ "kind": "down" });
    fleet.add_fault("hostlist", &down).await.expect("fault");
    fleet
        .process("control-1")
        .expect("known")
        .restart()
        .expect("restarted");
    let restarted = Instant::now();
    while restarted.elapsed() < Duration::from_secs(3) {
        let answer = client.get(&url).await.expect("answered");
        assert_that!(answer.status, eq(200), "{}", answer.text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    fleet
        .process("entry-1")
        .expect("known")
        .restart()
        .expect("restarted");
    let entry = fleet.process("entry-1").expect("known");
    let ready = entry.wait_ready(Duration::from_secs(3)).await;
    assert_that!(ready, err(pat!(FleetError::Late { .. })));
    fleet.clear_faults("hostlist").await.expect("cleared");
    fleet.wait_ready(READY_LIMIT).await.expect("ready");
    assert_that!(client.get(&url).await.expect("answered").status, eq(200));
}
