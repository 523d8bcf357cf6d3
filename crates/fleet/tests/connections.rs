//! Guards the connections: TLS towards callers with certificate reload, and the rotation of the
//! keys between processes while traffic runs.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use tempfile::TempDir;
use zinniahinge_fleet::ChatAnswer;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_fleet::chat_body;
use zinniahinge_fleet::peer_key_line;
use zinniahinge_fleet::wait_until;

const CHAT: &str = "/v1/chat/completions";

/// Time for processes to notice changed files; they look every second.
const RELOAD_LIMIT: Duration = Duration::from_secs(5);

// ----------------------------------------------------------------------------------------------

fn openssl(dir: &Path, arguments: &str) {
    let output = Command::new("openssl")
        .args(arguments.split(' '))
        .current_dir(dir)
        .output()
        .expect("the openssl command is installed");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_that!(
        output.status.success(),
        eq(true),
        "openssl {arguments}: {errors}"
    );
}

/// Makes an issuer and, issued by it, a certificate for loopback. Returns the issuer.
fn make_certificate(dir: &Path, name: &str) -> Vec<u8> {
    let key = "-newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes";
    let issuer = format!("req -x509 {key} -days 2 -subj /CN=issuer-{name}");
    openssl(
        dir,
        &format!("{issuer} -keyout {name}-issuer.key -out {name}-issuer.pem"),
    );
    let request = format!("req {key} -subj /CN={name} -keyout {name}.key -out {name}.csr");
    openssl(dir, &request);
    fs::write(dir.join("names"), "subjectAltName=IP:127.0.0.1\n").expect("written");
    let sign = format!("x509 -req -in {name}.csr -days 2 -CAcreateserial -extfile names");
    openssl(
        dir,
        &format!("{sign} -CA {name}-issuer.pem -CAkey {name}-issuer.key -out {name}.pem"),
    );
    fs::read(dir.join(format!("{name}-issuer.pem"))).expect("issuer")
}

fn put_in_place(dir: &Path, name: &str) {
    for kind in ["key", "pem"] {
        let from = dir.join(format!("{name}.{kind}"));
        fs::copy(from, dir.join(format!("new.{kind}"))).expect("copied");
        let target = dir.join(format!("used.{kind}"));
        fs::rename(dir.join(format!("new.{kind}")), target).expect("renamed");
    }
}

/// Guards against plain text towards callers, and against a certificate that stays in use after it
/// was replaced: a caller that trusts only the new issuer must get through without a restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_use_tls_and_a_replaced_certificate_is_taken_over() {
    let dir = TempDir::new().expect("folder");
    let first = make_certificate(dir.path(), "first");
    let second = make_certificate(dir.path(), "second");
    put_in_place(dir.path(), "first");
    let file = |name: &str| dir.path().join(name).display().to_string();
    let (certificate, key) = (file("used.pem"), file("used.key"));
    let tls = ["--tls-certificate", &certificate, "--tls-key", &key];
    let builder = FleetBuilder::new()
        .with_services(1)
        .with_arguments(ProgramKind::Entry, &tls);
    let fleet = builder
        .start_serving(&[DEMO_APP])
        .await
        .expect("fleet serves");
    let plain_url = fleet.url("entry-1", "/r/demo-app/status/1").expect("known");
    let url = plain_url.replace("http://", "https://");
    let get = async |issuer: &[u8]| {
        let client = TestClient::trusting(issuer)
            .expect("client")
            .with_key(VENDOR_KEY);
        client
            .get(&url)
            .await
            .is_ok_and(|answer| answer.is_success())
    };
    let client = TestClient::trusting(&first)
        .expect("client")
        .with_key(VENDOR_KEY);
    let answer = client.get(&url).await.expect("answered over TLS");
    assert_that!(answer.status, eq(200));
    assert_that!(get(&second).await, eq(false));
    let plain = TestClient::new().expect("client").with_key(VENDOR_KEY);
    let plain = plain.get(&plain_url).await;
    assert_that!(plain.is_ok_and(|answer| answer.is_success()), eq(false));

    put_in_place(dir.path(), "second");
    let is_reloaded = async || get(&second).await;
    let reloaded = wait_until("the new certificate", RELOAD_LIMIT, is_reloaded).await;
    reloaded.expect("the certificate is reloaded");
    assert_that!(get(&first).await, eq(false));

    fs::write(dir.path().join("used.pem"), "broken").expect("written");
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_that!(
        get(&second).await,
        eq(true),
        "a broken file must not end the service"
    );
}

// ----------------------------------------------------------------------------------------------

/// Guards against requests that fail while the keys between processes are replaced in the three
/// steps that operators use: add the new key, sign with it, remove the old one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn peer_keys_are_replaced_while_traffic_runs() {
    let builder = FleetBuilder::new()
        .with_hosts(3)
        .with_engines(1)
        .with_services(1);
    let fleet = builder
        .start_serving(&[DEMO_LLM, DEMO_APP])
        .await
        .expect("fleet serves");
    let fleet = Arc::new(fleet);
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic: Vec<_> = (1..=3)
        .map(|host| {
            let entry = format!("entry-{host}");
            tokio::spawn(send_until(fleet.clone(), is_over.clone(), entry))
        })
        .collect();
    let old = fs::read_to_string(fleet.peer_keys()).expect("keys");
    let new = peer_key_line("fleet-2");
    for keys in [format!("{old}{new}"), format!("{new}{old}"), new.clone()] {
        tokio::time::sleep(Duration::from_millis(2500)).await;
        let file = fleet.peer_keys();
        let next = file.with_extension("next");
        fs::write(&next, keys).expect("written");
        fs::rename(&next, &file).expect("renamed");
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    is_over.store(true, Ordering::Release);
    for sent in traffic {
        assert_that!(sent.await.expect("finished"), ge(20));
    }
    for number in 1..=3 {
        let control = format!("control-{number}");
        let log = fleet
            .all()
            .find(|process| process.spec().name == control)
            .expect("known");
        assert_that!(
            log.log(),
            contains_substring("signing_key: fleet-2"),
            "{control}"
        );
    }
}

/// Sends lookups, bookings and model requests in turn; all must succeed. Returns their number.
async fn send_until(
    fleet: Arc<zinniahinge_fleet::Fleet>,
    is_over: Arc<AtomicBool>,
    entry: String,
) -> usize {
    let url = |path: &str| fleet.url(&entry, path).expect("known");
    let mut count = 0;
    while !is_over.load(Ordering::Acquire) {
        let client = TestClient::new().expect("client").with_key(VENDOR_KEY);
        let answer = client
            .post(&url(CHAT), chat_body("small", "hello", 2, true))
            .await;
        let answer = answer.expect("answered");
        let is_whole = ChatAnswer::read(&answer).looks_whole;
        assert_that!(is_whole, eq(true), "{entry} {count}: {}", answer.text());
        let answer = client
            .get(&url("/r/demo-app/status/1"))
            .await
            .expect("answered");
        assert_that!(answer.status, eq(200), "{entry} {count}: {}", answer.text());
        let keyed = client.with_header("idempotency-key", &format!("{entry}-{count}"));
        let body = format!("{entry}-{count}");
        let answer = keyed
            .post(&url("/r/demo-app/bookings"), body)
            .await
            .expect("answered");
        assert_that!(answer.status, eq(200), "{entry} {count}: {}", answer.text());
        count += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    count
}
