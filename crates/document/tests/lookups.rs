//! Checks the lookups that serve requests, the example documents, and the comparison of documents.

use std::path::Path;

use googletest::prelude::*;
use zinniahinge_document::CompiledDocument;
use zinniahinge_document::KEY_PREFIX;
use zinniahinge_document::KeyDigest;
use zinniahinge_document::MemorySize;
use zinniahinge_document::RouteAccess;
use zinniahinge_document::check;
use zinniahinge_document::diff;
use zinniahinge_document::new_key;
use zinniahinge_types::PriorityClass;

fn example(name: &str) -> (String, CompiledDocument) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = std::fs::read_to_string(folder.join(name)).expect(name);
    let document = check(&text, name).expect(name);
    (text, CompiledDocument::new(document))
}

struct ExampleCase {
    file: &'static str,
    models: usize,
    adapters: usize,
    accounts: usize,
}

/// Guards against example documents that fail validation or don't have the stated sizes any more.
#[gtest]
fn examples_pass_at_their_sizes() {
    #[rustfmt::skip]
    let cases = [
        ExampleCase { file: "gaspruef-llm.toml", models: 30, adapters: 55, accounts: 5 },
        ExampleCase { file: "gaspruef-app.toml", models: 0, adapters: 0, accounts: 5 },
        ExampleCase { file: "kerbrat-llm.toml", models: 45, adapters: 100, accounts: 5 },
        ExampleCase { file: "kerbrat-app.toml", models: 0, adapters: 0, accounts: 5 },
        ExampleCase { file: "demo-llm.toml", models: 2, adapters: 1, accounts: 2 },
        ExampleCase { file: "demo-app.toml", models: 0, adapters: 0, accounts: 2 },
    ];
    for case in cases {
        let (_, compiled) = example(case.file);
        let document = compiled.document();
        expect_that!(document.models, len(eq(case.models)), "{}", case.file);
        expect_that!(document.adapters, len(eq(case.adapters)), "{}", case.file);
        expect_that!(document.accounts, len(eq(case.accounts)), "{}", case.file);
    }
}

/// Guards against a key that authenticates another account, or a valid key that is rejected
/// (invariant I4).
#[gtest]
fn keys_find_their_account() {
    let (_, document) = example("demo-llm.toml");
    let cases = [
        ("zk-demo-vendor-key", Some("vendor")),
        ("zk-demo-parish-key", Some("parish")),
        ("zk-demo-parish-kez", None),
        ("", None),
    ];
    for (key, expected) in cases {
        let found = document.account_by_digest(&KeyDigest::of_key(key).0);
        expect_that!(found.map(|account| &*account.name), eq(expected), "{key}");
    }
    let (_, rotating) = example("gaspruef-llm.toml");
    for key in ["zk-gaspruef-vendors-key", "zk-gaspruef-vendors-key-2"] {
        let found = rotating.account_by_digest(&KeyDigest::of_key(key).0);
        expect_that!(found.map(|account| &*account.name), some(eq("vendors")));
    }
}

struct GrantCase {
    account: &'static str,
    base: &'static str,
    adapter: Option<&'static str>,
    allowed: bool,
}

/// Guards against a grant of a base model that also permits its adapters, or the reverse.
#[gtest]
fn grants_cover_exactly_what_they_name() {
    let (_, document) = example("gaspruef-llm.toml");
    #[rustfmt::skip]
    let cases = [
        GrantCase { account: "vendors", base: "report-32b", adapter: Some("x"), allowed: true },
        GrantCase { account: "parishes", base: "report-8b", adapter: None, allowed: true },
        GrantCase { account: "parishes", base: "report-8b", adapter: Some("tents"), allowed: true },
        GrantCase { account: "parishes", base: "report-3b", adapter: Some("tents"), allowed: false },
        GrantCase { account: "parishes", base: "report-32b", adapter: None, allowed: false },
    ];
    for case in cases {
        let account = document.account(case.account).expect(case.account);
        let allowed = account.may_use_model(case.base, case.adapter);
        expect_that!(
            allowed,
            eq(case.allowed),
            "{} {:?}",
            case.base,
            case.adapter
        );
    }
    expect_that!(document.model("report-8b"), some(anything()));
    expect_that!(document.model("report-9b"), none());
    expect_that!(document.adapter("report-8b", "stalls"), some(anything()));
    expect_that!(document.adapter("report-14b", "stalls"), none());
}

const NESTED: &str = r#"service = "app"
kind = "plain"
group = "app"
routes = [
  { prefix = "/r/app", methods = ["GET", "POST"], access = "keyed", idempotent = true, deadline_ms = 9 },
  { prefix = "/r/app/pay", methods = ["POST"], access = "keyed", idempotent = false, deadline_ms = 9 },
  { prefix = "/r/app/pay", methods = ["GET"], access = "keyed", idempotent = true, deadline_ms = 9 },
  { prefix = "/r/app/about", methods = ["GET"], access = "open", idempotent = true, deadline_ms = 9 },
]
"#;

struct RouteCase {
    method: &'static str,
    path: &'static str,
    route: Option<(&'static str, bool)>,
}

/// Guards against a spelling of a path that selects a route with weaker access control, or one that
/// allows the retry of a non-idempotent request (invariants I4 and I10).
#[gtest]
fn longest_prefix_decides_under_every_spelling() {
    let document = CompiledDocument::parse(NESTED).expect("valid");
    #[rustfmt::skip]
    let cases = [
        RouteCase { method: "GET", path: "/r/app", route: Some(("/r/app", true)) },
        RouteCase { method: "GET", path: "/r/app/", route: Some(("/r/app", true)) },
        RouteCase { method: "POST", path: "/r/app/pay/7", route: Some(("/r/app/pay", false)) },
        RouteCase { method: "GET", path: "/r/app/pay/7", route: Some(("/r/app/pay", true)) },
        RouteCase { method: "PUT", path: "/r/app/pay", route: None },
        RouteCase { method: "POST", path: "/r/app/payment", route: Some(("/r/app", true)) },
        RouteCase { method: "POST", path: "/r/app/%70ay", route: Some(("/r/app/pay", false)) },
        RouteCase { method: "POST", path: "/r/app/%C3%A9/x", route: Some(("/r/app", true)) },
        RouteCase { method: "GET", path: "/r/app/about/../pay", route: None },
        RouteCase { method: "GET", path: "/r/app/about/%2e%2E/pay", route: None },
        RouteCase { method: "GET", path: "/r/app/about%2f..", route: None },
        RouteCase { method: "GET", path: "/r/app//pay", route: None },
        RouteCase { method: "GET", path: "/r/app/about\\x", route: None },
        RouteCase { method: "GET", path: "/r/app/%zz", route: None },
        RouteCase { method: "GET", path: "/r/app/%", route: None },
        RouteCase { method: "GET", path: "/r/apple", route: None },
        RouteCase { method: "GET", path: "", route: None },
    ];
    for case in cases {
        let found = document.route(case.method, case.path);
        let found = found.map(|route| (&*route.prefix, route.idempotent));
        expect_that!(found, eq(case.route), "{} {}", case.method, case.path);
    }
    let about = document
        .route("GET", "/r/app/about/us")
        .map(|route| route.access);
    expect_that!(about, some(eq(RouteAccess::Open)));
}

/// Guards against batch requests (layout reviews, for example) that are refused at the shorter deadline
/// of other classes.
#[gtest]
fn batch_requests_have_their_own_deadline() {
    let (_, document) = example("kerbrat-llm.toml");
    let route = document
        .route("POST", "/v1/chat/completions")
        .expect("route");
    let cases = [
        (PriorityClass::Urgent, 90),
        (PriorityClass::Normal, 90),
        (PriorityClass::Batch, 3600),
    ];
    for (class, seconds) in cases {
        expect_that!(
            route.deadline_for(class).as_secs(),
            eq(seconds),
            "{class:?}"
        );
    }
}

/// Guards against memory sizes that are parsed with a wrong unit or from malformed text.
#[gtest]
fn memory_sizes_round_trip() {
    for (text, bytes) in [("14 GiB", 14 << 30), ("1.5 KiB", 1536), ("2 TiB", 2 << 40)] {
        let size: MemorySize = text.parse().expect(text);
        expect_that!(size.bytes(), eq(bytes));
        expect_that!(size.to_string().parse::<MemorySize>().ok(), eq(Some(size)));
    }
    for text in [
        "14",
        "14GiB",
        "14 GB",
        "-1 GiB",
        "1. GiB",
        " GiB",
        "1.2345 GiB",
        "99999999 TiB",
    ] {
        expect_that!(text.parse::<MemorySize>(), err(anything()), "{text}");
    }
}

/// Guards against a missed difference, and against one that is reported because list entries changed
/// their order.
#[gtest]
fn diff_names_each_changed_field() {
    let (text, old) = example("demo-llm.toml");
    let changed = text
        .replacen("4 GiB", "5 GiB", 1)
        .replacen("keep_alive_floor_ms = 10000\n", "", 1)
        .replacen(
            "[\"small\", \"small:reports\"]",
            "[\"small:*\", \"small\"]",
            1,
        );
    let new = check(&changed, "changed").expect("valid");
    let lines: Vec<String> = diff(old.document(), &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "+ accounts[parish].models[small:*]: small:*",
        "- accounts[parish].models[small:reports]: small:reports",
        "- models[small].keep_alive_floor_ms: 10000",
        "~ models[small].memory: 4 GiB -> 5 GiB",
    ];
    expect_that!(lines, container_eq(expected));
    expect_that!(diff(old.document(), old.document()), is_empty());
}

/// Guards against repeated keys and against keys in debug output.
#[gtest]
fn generated_keys_differ_and_stay_hidden() {
    let (first, second) = (new_key(), new_key());
    expect_that!(first.key, starts_with(KEY_PREFIX));
    expect_that!(first.key, not(eq(&second.key)));
    expect_that!(KeyDigest::of_key(&first.key), eq(first.digest));
    expect_that!(
        KeyDigest::from_hex(&first.digest.to_string()),
        some(eq(first.digest))
    );
    expect_that!(
        format!("{first:?}"),
        not(contains_substring(first.key.as_str()))
    );
}
