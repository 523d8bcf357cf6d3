//! Guards against validation that misses a fault, names the wrong field or line, reports a fault twice,
//! or prints a key.

use googletest::prelude::*;
use zinniahinge_document::DocumentError;
use zinniahinge_document::FaultKind;
use zinniahinge_document::FaultKind::*;
use zinniahinge_document::MAX_DOCUMENT_BYTES;
use zinniahinge_document::check;

const BASE: &str = r#"service = "llm"
kind = "models"
group = "llm-group"
fencing = true

[weight_store]
loads_per_second = 1.5
at_once = 4
adapters_at_once = 30

[[models]]
name = "small"
memory = "4 GiB"
slots = 8
max_prompt_tokens = 4096
max_output_tokens = 1024
load_ms = { memory = 200, disk = 600, remote = 1500 }
keep_alive_floor_ms = 1000
keep_alive_ceiling_ms = 60000

[[models]]
name = "large"
memory = "14.5 GiB"
slots = 4
max_prompt_tokens = 8192
max_output_tokens = 2048
load_ms = { memory = 500, disk = 1500, remote = 4000 }

[[adapters]]
name = "reports"
base = "small"
memory = "64 MiB"

[[routes]]
prefix = "/v1/chat"
methods = ["POST"]
access = "keyed"
idempotent = true
deadline_ms = 60000

[[routes]]
prefix = "/r/llm/about"
methods = ["GET"]
access = "open"
idempotent = true
deadline_ms = 2000
target = { group = "pages" }

[[accounts]]
name = "vendor"
key_digests = ["46c3d160f6fd38c3241a82d0261ef7ede67bca62d8e8f56e04aed07efac83c47"]
tokens_per_second = 2000
burst = 40000
models = ["*"]
routes = ["*"]

[[accounts]]
name = "parish"
key_digests = ["4fad51f2ec9ca7fb9347d396c050434cf930989c485c46a3e7e1ea96a375abed"]
tokens_per_second = 500
burst = 12000
models = ["small", "small:*"]
routes = ["/v1/chat"]
"#;

const PLAIN: &str = r#"service = "app"
kind = "plain"
group = "app"
[[routes]]
prefix = "/r/app"
methods = ["GET"]
access = "keyed"
idempotent = true
deadline_ms = 1000
[[routes]]
prefix = "/r/app/pay"
methods = ["POST"]
access = "keyed"
idempotent = false
deadline_ms = 9000
"#;

/// A replacement in a valid document and the single fault that it must cause.
struct FaultCase {
    kind: FaultKind,
    from: &'static str,
    to: &'static str,
    field: &'static str,
    /// Text that identifies the fault's line: the last one that contains it.
    on_line: &'static str,
}

const fn case(
    kind: FaultKind,
    from: &'static str,
    to: &'static str,
    field: &'static str,
    on_line: &'static str,
) -> FaultCase {
    FaultCase {
        kind,
        from,
        to,
        field,
        on_line,
    }
}

#[rustfmt::skip]
const CASES: &[FaultCase] = &[
    case(Syntax, "slots = 4\n", "slots = \n", "document", "slots = "),
    case(Syntax, "at_once = 4\n", "at_once = 4\nat_once = 5\n", "document", "at_once = 5"),
    case(UnknownField, "fencing = true", "fencing = true\nfence = 1", "fence", "fence = 1"),
    case(UnknownField, "slots = 4", "slots = 4\nslot = 4", "models[1].slot", "slot = 4"),
    case(UnknownField, "disk = 600", "disk = 600, tape = 9", "models[0].load_ms.tape", "tape"),
    case(UnknownField, "at_once = 4", "at_once = 4\nwindow = 4", "weight_store.window", "window"),
    case(UnknownField, "group = \"pages\"", "group = \"p\", x = 1", "routes[1].target.x", "x = 1"),
    case(UnknownField, "base = \"small\"", "base = \"small\"\nv = 1", "adapters[0].v", "v = 1"),
    case(UnknownField, "burst = 12000", "burst = 12000\nbusrt = 1", "accounts[1].busrt", "busrt"),
    case(MissingField, "fencing = true\n", "", "fencing", "service"),
    case(MissingField, "slots = 4\n", "", "models[1].slots", "[[models]]"),
    case(MissingField, ", disk = 600", "", "models[0].load_ms.disk", "remote = 1500"),
    case(WrongType, "fencing = true", "fencing = \"yes\"", "fencing", "fencing"),
    case(WrongType, "slots = 4", "slots = 4.0", "models[1].slots", "slots = 4.0"),
    case(WrongType, "methods = [\"GET\"]", "methods = \"GET\"", "routes[1].methods", "\"GET\""),
    case(InvalidValue, "name = \"large\"", "name = \"lar:ge\"", "models[1].name", "lar:ge"),
    case(InvalidValue, "14.5 GiB", "14.5 GB", "models[1].memory", "14.5 GB"),
    case(InvalidValue, "\"open\"", "\"public\"", "routes[1].access", "public"),
    case(InvalidValue, "\"GET\"", "\"get\"", "routes[1].methods[0]", "\"get\""),
    case(InvalidValue, "[\"GET\"]", "[]", "routes[1].methods", "[]"),
    case(InvalidValue, "/about\"", "/about/\"", "routes[1].prefix", "/about/"),
    case(InvalidValue, "/about\"", "/a/../b\"", "routes[1].prefix", "/a/../b"),
    case(InvalidValue, "/about\"", "/a%62out\"", "routes[1].prefix", "/a%62out"),
    case(InvalidValue, "disk = 600", "disk = 100", "models[0].load_ms.disk", "disk = 100"),
    case(InvalidValue, "_ms = 60000\n\n[[models", "_ms = 999\n\n[[models",
        "models[0].keep_alive_ceiling_ms", "_ms = 999"),
    case(InvalidValue, "access = \"keyed\"", "access = \"open\" # x", "routes[0].access", "# x"),
    case(InvalidValue, "/v1/chat\"\nm", "/v1/chat/\"\nm", "routes[0].prefix", "/v1/chat/"),
    case(InvalidValue, "name = \"small\"", "name = \"s m\"", "models[0].name", "s m"),
    case(OutOfRange, "slots = 4", "slots = 0", "models[1].slots", "slots = 0"),
    case(OutOfRange, "slots = 4", "slots = -4", "models[1].slots", "slots = -4"),
    case(OutOfRange, "slots = 4", "slots = 99999999999999999999", "models[1].slots", "slots = 9"),
    case(OutOfRange, "14.5 GiB", "145 TiB", "models[1].memory", "145 TiB"),
    case(OutOfRange, "14.5 GiB", "0 GiB", "models[1].memory", "0 GiB"),
    case(OutOfRange, "= 1.5\n", "= 0.0\n", "weight_store.loads_per_second", "= 0.0"),
    case(OutOfRange, "= 1.5\n", "= nan\n", "weight_store.loads_per_second", "= nan"),
    case(OutOfRange, "= 1.5\n", "= 1e9\n", "weight_store.loads_per_second", "= 1e9"),
    case(OutOfRange, "= 2000\ntarget", "= 0\ntarget", "routes[1].deadline_ms", "_ms = 0"),
    case(OutOfRange, "burst = 12000", "burst = 12000\nweight = 0", "accounts[1].weight", "weight = 0"),
    case(OutOfRange, "= 500\nburst", "= 0\nburst", "accounts[1].tokens_per_second", "second = 0"),
    case(DuplicateName, "name = \"large\"", "name = \"small\"", "models[1].name", "name = \"small\""),
    case(DuplicateName, "name = \"parish\"", "name = \"vendor\"", "accounts[1].name", "\"vendor\""),
    case(MissingReference, "base = \"small\"", "base = \"tiny\"", "adapters[0].base", "tiny"),
    case(MissingReference, "\"small:*\"", "\"tiny\"", "accounts[1].models[1]", "tiny"),
    case(MissingReference, "\"small:*\"", "\"small:x\"", "accounts[1].models[1]", "small:x"),
    case(MissingReference, "[\"/v1/chat\"]", "[\"/v2\"]", "accounts[1].routes[0]", "/v2"),
    case(BurstTooSmall, "burst = 40000", "burst = 10239", "accounts[0].burst", "10239"),
    case(BurstTooSmall, "burst = 12000", "burst = 5119", "accounts[1].burst", "5119"),
    case(RouteOverlap, "/pay\"\nmethods = [\"POST\"]", "\"\nmethods = [\"POST\", \"GET\"]",
        "routes[1].prefix", "\"/r/app\""),
    case(RouteOverlap, "\"keyed\"\nidempotent = true\ndeadline_ms = 1000",
        "\"open\"\nidempotent = true\ndeadline_ms = 1000", "routes[1].prefix", "/r/app/pay"),
    case(InvalidValue, "/r/app/pay", "/r/application", "routes[1].prefix", "/r/application"),
    case(InvalidValue, "/r/llm/about", "/r/app/about", "routes[1].prefix", "/r/app/about"),
    case(InvalidValue, "\"open\"\nidempotent = true\ndeadline_ms = 2000\ntarget = { group = \"pages\" }",
        "\"keyed\"\nidempotent = true\ndeadline_ms = 2000", "routes[1].prefix", "about"),
    case(InvalidValue, "= 60000\n\n[[routes", "= 60000\nbatch_deadline_ms = 9\n\n[[routes",
        "routes[0].batch_deadline_ms", "batch"),
    case(InvalidDigest, "46c3", "46c", "accounts[0].key_digests[0]", "46c"),
    case(InvalidDigest, "46c3", "+6c3", "accounts[0].key_digests[0]", "+6c3"),
    case(SharedDigest, "4fad51f2ec9ca7fb9347d396c050434cf930989c485c46a3e7e1ea96a375abed",
        "46c3d160f6fd38c3241a82d0261ef7ede67bca62d8e8f56e04aed07efac83c47",
        "accounts[1].key_digests[0]", "46c3"),
    case(NotApplicable, "group = \"app\"", "group = \"app\"\nfencing = true", "fencing", "fencing"),
    case(MissingReference, "deadline_ms = 1000", "deadline_ms = 1000\ntarget = \"model-api\"", "routes[0].target", "target"),
];

fn faults_of(text: &str) -> Option<DocumentError> {
    check(text, "test.toml").err()
}

fn kinds_of(text: &str) -> Vec<FaultKind> {
    let error = faults_of(text);
    let faults = error.iter().flat_map(|error| &error.faults);
    faults.map(|fault| fault.kind).collect()
}

#[gtest]
fn base_documents_have_no_fault() {
    for text in [BASE, PLAIN] {
        expect_that!(faults_of(text), none());
    }
}

#[gtest]
fn each_fault_is_reported_once_with_kind_field_and_line() {
    for case in CASES {
        let base = [BASE, PLAIN]
            .into_iter()
            .find(|base| base.contains(case.from));
        let text = base.unwrap_or_default().replacen(case.from, case.to, 1);
        let lines: Vec<&str> = text.lines().collect();
        let line = lines.iter().rposition(|line| line.contains(case.on_line));
        let error = faults_of(&text);
        let faults = error.iter().flat_map(|error| &error.faults);
        let found: Vec<_> = faults.map(|f| (f.kind, f.field.as_str(), f.line)).collect();
        let expected = (case.kind, case.field, line.map_or(0, |line| line + 1));
        expect_that!(
            found,
            elements_are![eq(&expected)],
            "{} -> {}",
            case.from,
            case.to
        );
    }
}

#[gtest]
fn all_faults_are_reported_at_once_in_line_order() {
    let text = BASE
        .replacen("fencing = true", "fence = true", 1)
        .replacen("slots = 8", "slots = 0", 1)
        .replacen("base = \"small\"", "base = \"tiny\"", 1)
        .replacen("46c3", "zzzz", 1);
    let expected = [
        MissingField,
        UnknownField,
        OutOfRange,
        MissingReference,
        InvalidDigest,
    ];
    expect_that!(kinds_of(&text), container_eq(expected));
}

/// Guards against a size limit on the bare text: the second text is small enough by itself, but its JSON
/// string isn't.
#[gtest]
fn oversized_document_is_refused_before_it_is_read() {
    let texts = [
        format!("{BASE}# {}", "x".repeat(MAX_DOCUMENT_BYTES)),
        format!("{BASE}# {}", "\"".repeat(MAX_DOCUMENT_BYTES / 2)),
    ];
    for text in texts {
        expect_that!(kinds_of(&text), container_eq([TooLarge]));
    }
}

/// Guards against printed reports that reveal a key which an operator pasted instead of its digest.
#[gtest]
fn pasted_keys_are_not_printed() {
    for key in ["zk-secret-key", "secret-without-prefix"] {
        let text = BASE.replacen("46c3", &format!("{key}\", \"46c3"), 1);
        let error = faults_of(&text).expect("a key is no digest");
        let report = format!("{:?}\n{error:?}", miette::Report::new(error.clone()));
        expect_that!(report, not(contains_substring(key)));
        expect_that!(report, contains_substring("accounts[0].key_digests[0]"));
    }
}
