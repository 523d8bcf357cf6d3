//! Key rings and the replay filter.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use zinniahinge_peer::KeyRing;
use zinniahinge_peer::ReplayFilter;
use zinniahinge_types::MonotonicTime;

struct RingCase {
    text: String,
    signing_key: Option<&'static str>,
}

fn key(id: &str) -> String {
    format!("{id}:{}", "ab".repeat(32))
}

/// Guards against a process that runs without keys, or with a key that it misread.
#[gtest]
fn rings_are_read_or_refused() {
    let cases = [
        RingCase {
            text: String::new(),
            signing_key: None,
        },
        RingCase {
            text: "# only a comment\n".to_owned(),
            signing_key: None,
        },
        RingCase {
            text: key("k1"),
            signing_key: Some("k1"),
        },
        RingCase {
            text: format!("\n# new\n{}\n{}\n", key("k2"), key("k1")),
            signing_key: Some("k2"),
        },
        RingCase {
            text: format!("{}0", key("k1")),
            signing_key: None,
        },
        RingCase {
            text: format!("k1:{}", "zz".repeat(32)),
            signing_key: None,
        },
        RingCase {
            text: format!("k 1:{}", "ab".repeat(32)),
            signing_key: None,
        },
        RingCase {
            text: "ab".repeat(32),
            signing_key: None,
        },
        RingCase {
            text: format!("{}\nbroken", key("k1")),
            signing_key: None,
        },
    ];
    for RingCase { text, signing_key } in cases {
        let ring = KeyRing::parse(&text);
        let id = ring
            .as_ref()
            .ok()
            .map(|ring| ring.signing_key().id.to_string());
        expect_that!(id.as_deref(), eq(signing_key), "{text}");
    }
}

/// Guards against a secret in a log line.
#[gtest]
fn secrets_are_not_printed() {
    let ring = KeyRing::parse(&key("k1"));
    expect_that!(format!("{ring:?}"), not(contains_substring("171, 171")));
    expect_that!(format!("{ring:?}"), not(contains_substring("abab")));
}

/// Guards against a message that takes effect twice. A message is accepted up to 30 s early or late, so its nonce
/// must be known for a minute.
#[gtest]
fn nonces_are_remembered_for_a_minute() {
    for first in [0, 1, 30, 59, 60, 61, 119] {
        let filter = ReplayFilter::default();
        let at = |seconds| MonotonicTime::from_origin(Duration::from_secs(seconds));
        expect_that!(filter.admit(7, at(first)), eq(true));
        for later in [0, 1, 30, 59] {
            expect_that!(
                filter.admit(7, at(first + later)),
                eq(false),
                "{first} + {later}"
            );
        }
        expect_that!(filter.admit(8, at(first + 59)), eq(true));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Guards against a panic on any key file, for example one cut within a character.
    #[test]
    fn any_key_file_is_read_or_refused(text in "\\PC{0,120}") {
        let _ = KeyRing::parse(&text);
    }
}
