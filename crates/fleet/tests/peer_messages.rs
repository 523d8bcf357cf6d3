//! Guards the messages between processes: one that is forged, repeated, cut, over-long or of an
//! unknown version changes nothing and is counted.

use std::fs;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use googletest::prelude::*;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::RawExchange;
use zinniahinge_fleet::TestAnswer;
use zinniahinge_fleet::peer_key_line;
use zinniahinge_fleet::wait_until;
use zinniahinge_types::ChargeReply;
use zinniahinge_types::ChargeRequest;
use zinniahinge_types::GrantId;

const CHARGE: &str = "/peer/charge";

/// Largest message, as in `docs/design.md` and the peer crate.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

const ANSWER_LIMIT: Duration = Duration::from_secs(15);

/// A message as its sender writes it. The tests change single parts after sealing.
#[derive(Clone)]
struct SealedMessage {
    version: String,
    key_id: String,
    time_ms: u64,
    nonce: u64,
    code: String,
    body: Vec<u8>,
    /// Length that the header section states.
    length: usize,
}

fn charge(grant: u128, tokens: u64) -> Vec<u8> {
    let request = ChargeRequest {
        service: "demo-app".into(),
        account: "vendor".into(),
        grant_id: GrantId(grant),
        tokens,
        max_wait: Duration::ZERO,
    };
    rmp_serde::to_vec_named(&request).expect("encoded")
}

/// Seals `body` with a line of the file of peer keys.
fn seal(key_line: &str, body: Vec<u8>, age: Duration) -> SealedMessage {
    let (key_id, digits) = key_line.trim().split_once(':').expect("a key line");
    // HMAC pads a shorter key with zeros to the block size of the hash.
    let mut block = [0_u8; 64];
    for (index, byte) in block[..32].iter_mut().enumerate() {
        let digits = &digits[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).expect("hexadecimal");
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    let time_ms = (now - age).as_millis() as u64;
    let nonce: u64 = rand::random();
    let mut mac = Hmac::<Sha256>::new(&block.into());
    mac.update(b"request\0");
    mac.update(CHARGE.as_bytes());
    mac.update(&[0]);
    mac.update(&time_ms.to_be_bytes());
    mac.update(&nonce.to_be_bytes());
    mac.update(&body);
    let code = mac.finalize().into_bytes();
    SealedMessage {
        version: "1".to_owned(),
        key_id: key_id.to_owned(),
        time_ms,
        nonce,
        code: code.iter().map(|byte| format!("{byte:02x}")).collect(),
        length: body.len(),
        body,
    }
}

/// Sends the message; `None` if the process closes without an answer.
async fn send(fleet: &Fleet, message: &SealedMessage) -> Option<TestAnswer> {
    let SealedMessage {
        version,
        key_id,
        time_ms,
        nonce,
        code,
        body,
        length,
    } = message;
    let address = fleet.spec("control-1").expect("known").address;
    let mut exchange = RawExchange::open(address).await.expect("connected");
    let head = format!(
        "POST {CHARGE} HTTP/1.1\r\nhost: control\r\ncontent-length: {length}\r\n\
         x-zinniahinge-version: {version}\r\nx-zinniahinge-key: {key_id}\r\n\
         x-zinniahinge-time: {time_ms}\r\nx-zinniahinge-nonce: {nonce:016x}\r\n\
         x-zinniahinge-mac: {code}\r\n\r\n"
    );
    exchange.send(head.as_bytes()).await.expect("sent");
    // The process may answer and close before it has read an over-long body.
    let _ = exchange.send(body).await;
    exchange.read(ANSWER_LIMIT).await
}

/// Tokens left in the account's bucket, by a genuine charge of one token; `None` if it was refused.
async fn tokens_left(fleet: &Fleet, key_line: &str, grant: u128) -> Option<u64> {
    let message = seal(key_line, charge(grant, 1), Duration::ZERO);
    let answer = send(fleet, &message).await.filter(TestAnswer::is_success)?;
    match rmp_serde::from_slice(&answer.body).expect("decoded") {
        ChargeReply::Granted { remaining, .. } => Some(remaining),
        ChargeReply::Refused { .. } | ChargeReply::NotOwner => None,
    }
}

struct MessageCase {
    guards: &'static str,
    message: SealedMessage,
}

fn message_cases(key_line: &str) -> Vec<MessageCase> {
    let genuine = |grant| seal(key_line, charge(grant, 300), Duration::ZERO);
    let other_key = peer_key_line("fleet-1");
    let unknown_key = peer_key_line("fleet-9");
    let minute = Duration::from_secs(60);
    let cut = charge(20, 300)[..20].to_vec();
    let mut changed = genuine(21);
    changed.body = charge(21, 299);
    let mut shortened = genuine(22);
    shortened.body.truncate(30);
    shortened.length = 30;
    let mut retimed = genuine(23);
    retimed.time_ms += 1;
    vec![
        MessageCase {
            guards: "another version of the protocol",
            message: SealedMessage {
                version: "2".to_owned(),
                ..genuine(11)
            },
        },
        MessageCase {
            guards: "a wrong key under a known id",
            message: seal(&other_key, charge(12, 300), Duration::ZERO),
        },
        MessageCase {
            guards: "an unknown key",
            message: seal(&unknown_key, charge(13, 300), Duration::ZERO),
        },
        MessageCase {
            guards: "an old message",
            message: seal(key_line, charge(14, 300), minute),
        },
        MessageCase {
            guards: "a changed body",
            message: changed,
        },
        MessageCase {
            guards: "a body cut on the way",
            message: shortened,
        },
        MessageCase {
            guards: "a changed time",
            message: retimed,
        },
        MessageCase {
            guards: "a sealed body that is no message",
            message: seal(key_line, cut, Duration::ZERO),
        },
        MessageCase {
            guards: "a code that is no code",
            message: SealedMessage {
                code: "zz".to_owned(),
                ..genuine(15)
            },
        },
        MessageCase {
            guards: "an over-long body",
            message: seal(key_line, vec![0; MAX_MESSAGE_BYTES + 1], Duration::ZERO),
        },
    ]
}

/// Guards against messages that take effect although nobody in possession of the keys sent them
/// now, and against rejections that nobody can see.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_that_is_not_genuine_changes_nothing_and_is_counted() {
    let builder = FleetBuilder::new().with_services(1);
    let fleet = builder.start_serving(&[DEMO_APP]).await;
    let fleet = fleet.expect("fleet serves");
    let key_line = fs::read_to_string(fleet.peer_keys()).expect("keys");
    let rejected = async || fleet.metric("control-1", "peer_rejected_total").await;
    let left = async || tokens_left(&fleet, &key_line, rand::random()).await;
    let has_tokens = async || left().await.is_some_and(|left| left >= 900);
    let filled = wait_until("a full bucket", ANSWER_LIMIT, has_tokens).await;
    filled.expect("genuine messages are granted");

    for case in message_cases(&key_line) {
        let before = rejected().await.expect("metric");
        let left_before = left().await.expect("granted");
        let answer = send(&fleet, &case.message).await;
        let status = answer.map(|answer| answer.status);
        assert_that!(status, some(eq(400)), "guards against: {}", case.guards);
        let after = rejected().await.expect("metric");
        assert_that!(after - before, eq(1.0), "guards against: {}", case.guards);
        // The reading itself takes one token; a charge that took effect would have taken 300.
        let left_after = left().await.expect("granted");
        assert_that!(
            left_after + 1,
            ge(left_before),
            "guards against: {}",
            case.guards
        );
    }

    let before = rejected().await.expect("metric");
    let message = seal(&key_line, charge(30, 0), Duration::ZERO);
    let first = send(&fleet, &message).await.expect("answered");
    assert_that!(first.status, eq(200));
    let again = send(&fleet, &message).await.expect("answered");
    assert_that!(again.status, eq(400), "guards against: a repeated message");
    assert_that!(rejected().await.expect("metric") - before, eq(1.0));
}
