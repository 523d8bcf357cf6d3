//! Reads the sections of a document from its TOML tables.
//!
//! A field with a fault gets a default value, so that reading goes on and finds further faults. The
//! document is discarded in the end, and rules that need the field are skipped.

use std::time::Duration;

use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

use crate::AdapterEntry;
use crate::ClientAccount;
use crate::FaultKind;
use crate::KeepAliveRange;
use crate::KeyDigest;
use crate::LoadTimes;
use crate::MemorySize;
use crate::ModelEntry;
use crate::ModelGrant;
use crate::RouteAccess;
use crate::RouteTarget;
use crate::ServiceDocument;
use crate::ServiceKind;
use crate::ServiceRoute;
use crate::WeightStoreLimits;
use crate::normalize_path;
use crate::table_reader::FieldValue;
use crate::table_reader::TableReader;

// The upper limits are an order of magnitude above the largest planned installation (640 servers,
// 5,100 accelerators, 1.8 million tokens/s). A larger number is most likely given in a wrong unit.

const MIN_MEMORY: MemorySize = MemorySize(1 << 10);
const MAX_MEMORY: MemorySize = MemorySize(16 << 40);
const MAX_SLOTS: u32 = 4096;
const MAX_MODEL_TOKENS: u64 = 10_000_000;
const MAX_LOAD_MS: u64 = 3_600_000;
const MAX_KEEP_ALIVE_MS: u64 = 7 * 24 * 3_600_000;
const MAX_DEADLINE_MS: u64 = 24 * 3_600_000;
const MAX_LOADS_PER_SECOND: f64 = 1000.0;
const MAX_CONCURRENT_LOADS: u32 = 1000;
const MAX_CONCURRENT_ADAPTER_LOADS: u32 = 10_000;
const MAX_TOKENS_PER_SECOND: u64 = 20_000_000;
const MAX_BURST_TOKENS: u64 = 10_000_000_000;
const MAX_ACCOUNT_WEIGHT: u32 = 1000;

const PRIORITY_CLASSES: [(&str, PriorityClass); 3] = [
    ("urgent", PriorityClass::Urgent),
    ("normal", PriorityClass::Normal),
    ("batch", PriorityClass::Batch),
];

const METHODS: [(&str, &str); 7] = [
    ("GET", "GET"),
    ("HEAD", "HEAD"),
    ("POST", "POST"),
    ("PUT", "PUT"),
    ("PATCH", "PATCH"),
    ("DELETE", "DELETE"),
    ("OPTIONS", "OPTIONS"),
];

// ----

/// Reads all sections and reports faults of single fields. [`check_rules`](crate::rules::check_rules)
/// then checks the rules between fields.
pub(crate) fn read_document(mut root: TableReader<'_>) -> ServiceDocument {
    let service = root.required("service", "name of the service");
    let service = service.and_then(|v| v.name());
    let kinds = [
        ("models", ServiceKind::Models),
        ("plain", ServiceKind::Plain),
    ];
    let kind = root.required("kind", "`models` or `plain`");
    let kind = kind.and_then(|v| v.choice(&kinds));
    let group = root.required("group", "name of the backend server group in the host list");
    let group = group.and_then(|v| v.name()).unwrap_or_default();
    let fencing = read_fencing(&mut root, kind);
    let weight_store = read_weight_store(&mut root, kind);
    let kind = kind.unwrap_or_default();
    let document = ServiceDocument {
        service: service.unwrap_or_default(),
        kind,
        fencing,
        weight_store,
        models: read_tables(&mut root, "models", read_model),
        adapters: read_tables(&mut root, "adapters", read_adapter),
        routes: read_tables(&mut root, "routes", |table| read_route(table, kind, &group)),
        accounts: read_tables(&mut root, "accounts", read_account),
        group,
    };
    root.reject_unknown_fields();
    document
}

fn read_tables<T>(
    root: &mut TableReader<'_>,
    name: &'static str,
    read: impl Fn(&mut TableReader<'_>) -> T,
) -> Vec<T> {
    let tables = root.tables(name).into_iter();
    let entries = tables.map(|mut table| {
        let entry = read(&mut table);
        table.reject_unknown_fields();
        entry
    });
    entries.collect()
}

fn read_fencing(root: &mut TableReader<'_>, kind: Option<ServiceKind>) -> bool {
    let expected =
        "true if every engine of the group refuses orders with an outdated fencing number";
    let field = match kind {
        Some(ServiceKind::Models) => root.required("fencing", expected),
        _ => root.optional("fencing"),
    };
    let Some(field) = field else { return false };
    if kind == Some(ServiceKind::Plain) {
        return reject_for_plain(&field).unwrap_or_default();
    }
    field.boolean().unwrap_or_default()
}

fn read_weight_store(
    root: &mut TableReader<'_>,
    kind: Option<ServiceKind>,
) -> Option<WeightStoreLimits> {
    let expected = "a table with loads_per_second, at_once and adapters_at_once";
    let field = match kind {
        Some(ServiceKind::Models) => root.required("weight_store", expected),
        _ => root.optional("weight_store"),
    }?;
    if kind == Some(ServiceKind::Plain) {
        return reject_for_plain(&field);
    }
    let mut table = field.table()?;
    let rate = table.required(
        "loads_per_second",
        "maximum rate of model load starts, per second",
    );
    let at_once = table.required(
        "at_once",
        "maximum number of concurrent model loads at full speed",
    );
    let adapters = table.required(
        "adapters_at_once",
        "maximum number of concurrent adapter loads at full speed",
    );
    table.reject_unknown_fields();
    Some(WeightStoreLimits {
        loads_per_second: rate?.positive_number(MAX_LOADS_PER_SECOND)?,
        at_once: at_once?.small_integer(1..=MAX_CONCURRENT_LOADS, "loads")?,
        adapters_at_once: adapters?.small_integer(1..=MAX_CONCURRENT_ADAPTER_LOADS, "loads")?,
    })
}

fn reject_for_plain<T>(field: &FieldValue<'_>) -> Option<T> {
    let problem = "does not apply to a plain service";
    field.reject(
        FaultKind::NotApplicable,
        problem,
        "no such field, or kind = \"models\"",
    )
}

// ----

fn read_model(table: &mut TableReader<'_>) -> ModelEntry {
    ModelEntry {
        name: read_name(table),
        version: table.optional("version").and_then(|v| v.name()),
        memory: read_memory(table),
        slots: table
            .required(
                "slots",
                "maximum number of concurrent requests of one replica",
            )
            .and_then(|v| v.small_integer(1..=MAX_SLOTS, "requests"))
            .unwrap_or_default(),
        max_prompt_tokens: read_tokens(table, "max_prompt_tokens", MAX_MODEL_TOKENS),
        max_output_tokens: read_tokens(table, "max_output_tokens", MAX_MODEL_TOKENS),
        load_times: read_load_times(table),
        keep_alive: KeepAliveRange {
            floor: read_keep_alive(table, "keep_alive_floor_ms", 0),
            ceiling: read_keep_alive(table, "keep_alive_ceiling_ms", 1),
        },
    }
}

fn read_name(table: &mut TableReader<'_>) -> Name {
    let field = table.required("name", "a name that is unique in its list");
    field.and_then(|v| v.name()).unwrap_or_default()
}

fn read_memory(table: &mut TableReader<'_>) -> MemorySize {
    let expected = "a size such as \"14 GiB\", from 1 KiB to 16 TiB";
    let Some(field) = table.required("memory", expected) else {
        return MemorySize::default();
    };
    let Some(text) = field.text() else {
        return MemorySize::default();
    };
    let size = match text.parse::<MemorySize>() {
        Err(_) => field.reject_invalid("not a memory size", expected),
        Ok(size) if size < MIN_MEMORY || size > MAX_MEMORY => {
            field.reject(FaultKind::OutOfRange, "size is out of range", expected)
        }
        Ok(size) => Some(size),
    };
    size.unwrap_or_default()
}

fn read_tokens(table: &mut TableReader<'_>, name: &'static str, max: u64) -> u64 {
    let field = table.required(name, "a number of tokens");
    let tokens = field.and_then(|v| v.integer(1..=max, "tokens"));
    tokens.unwrap_or_default()
}

fn read_load_times(table: &mut TableReader<'_>) -> LoadTimes {
    let expected = "a table { memory, disk, remote } of milliseconds";
    let field = table.required("load_ms", expected);
    let levels = field.and_then(|v| v.table());
    let Some(mut levels) = levels else {
        return LoadTimes::default();
    };
    let mut read = |name| {
        let field = levels.required(name, "expected load time in milliseconds");
        let millis = field.and_then(|v| v.integer(1..=MAX_LOAD_MS, "ms"));
        Duration::from_millis(millis.unwrap_or_default())
    };
    let load_times = LoadTimes {
        memory: read("memory"),
        disk: read("disk"),
        remote: read("remote"),
    };
    levels.reject_unknown_fields();
    load_times
}

fn read_keep_alive(
    table: &mut TableReader<'_>,
    name: &'static str,
    min_millis: u64,
) -> Option<Duration> {
    let field = table.optional(name)?;
    let millis = field.integer(min_millis..=MAX_KEEP_ALIVE_MS, "ms")?;
    Some(Duration::from_millis(millis))
}

fn read_adapter(table: &mut TableReader<'_>) -> AdapterEntry {
    let base = table.required("base", "name of a model of this document");
    AdapterEntry {
        base: base.and_then(|v| v.name()).unwrap_or_default(),
        name: read_name(table),
        memory: read_memory(table),
    }
}

// ----

fn read_route(table: &mut TableReader<'_>, kind: ServiceKind, group: &Name) -> ServiceRoute {
    let accesses = [("open", RouteAccess::Open), ("keyed", RouteAccess::Keyed)];
    let access = table.required("access", "`open` or `keyed`");
    let access = access.and_then(|v| v.choice(&accesses));
    let idempotent = table.required("idempotent", "true if a request may be sent again");
    let deadline = table.required("deadline_ms", "milliseconds from arrival");
    let deadline = deadline.and_then(|v| v.integer(1..=MAX_DEADLINE_MS, "ms"));
    let batch_deadline = table.optional("batch_deadline_ms");
    let batch_deadline = batch_deadline.and_then(|v| v.integer(1..=MAX_DEADLINE_MS, "ms"));
    ServiceRoute {
        prefix: read_prefix(table),
        methods: read_methods(table),
        access: access.unwrap_or(RouteAccess::Keyed),
        idempotent: idempotent.and_then(|v| v.boolean()).unwrap_or_default(),
        class: read_class(table, "class"),
        deadline: Duration::from_millis(deadline.unwrap_or_default()),
        batch_deadline: batch_deadline.map(Duration::from_millis),
        target: read_target(table, kind, group),
    }
}

fn read_prefix(table: &mut TableReader<'_>) -> Name {
    let expected = "an absolute path without trailing slash, empty or dot segments, `%`, `?`, `#`";
    let field = table.required("prefix", expected);
    let Some(field) = field else {
        return Name::default();
    };
    let text = field.text().unwrap_or("/");
    let has_plain_characters = text
        .bytes()
        .all(|b| b.is_ascii_graphic() && !b"%?#".contains(&b));
    let has_no_trailing_slash = text == "/" || !text.ends_with('/');
    if has_plain_characters && has_no_trailing_slash && normalize_path(text).is_some() {
        return text.into();
    }
    field
        .reject_invalid("not a route prefix", expected)
        .unwrap_or_default()
}

fn read_methods(table: &mut TableReader<'_>) -> Vec<Name> {
    let expected = "a list of methods such as [\"GET\"]";
    let Some(field) = table.required("methods", expected) else {
        return Vec::new();
    };
    let Some(items) = field.list() else {
        return Vec::new();
    };
    if items.is_empty() {
        return field
            .reject_invalid("the list of methods is empty", expected)
            .unwrap_or_default();
    }
    let methods = items.iter().filter_map(|item| item.choice(&METHODS));
    methods.map(Name::from).collect()
}

fn read_class(table: &mut TableReader<'_>, name: &'static str) -> PriorityClass {
    let class = table
        .optional(name)
        .and_then(|v| v.choice(&PRIORITY_CLASSES));
    class.unwrap_or_default()
}

/// Reads a route's target. Without one, a model service routes to its models and a plain service to its
/// group of backend servers.
fn read_target(table: &mut TableReader<'_>, kind: ServiceKind, group: &Name) -> RouteTarget {
    let default_target = match kind {
        ServiceKind::Models => RouteTarget::ModelApi,
        ServiceKind::Plain => RouteTarget::Group(group.clone()),
    };
    let Some(field) = table.optional("target") else {
        return default_target;
    };
    if field.is_string() {
        let _: Option<()> = field.choice(&[("model-api", ())]);
        return RouteTarget::ModelApi;
    }
    let Some(mut target) = field.table() else {
        return default_target;
    };
    let group = target.required("group", "name of a backend server group in the host list");
    let group = group.and_then(|v| v.name()).unwrap_or_default();
    target.reject_unknown_fields();
    RouteTarget::Group(group)
}

// ----

fn read_account(table: &mut TableReader<'_>) -> ClientAccount {
    let weight = table.optional("weight");
    let weight = weight.and_then(|v| v.small_integer(1..=MAX_ACCOUNT_WEIGHT, ""));
    ClientAccount {
        name: read_name(table),
        key_digests: read_digests(table),
        tokens_per_second: read_tokens(table, "tokens_per_second", MAX_TOKENS_PER_SECOND),
        burst: read_tokens(table, "burst", MAX_BURST_TOKENS),
        class_ceiling: read_class(table, "class_ceiling"),
        weight: weight.unwrap_or(1),
        models: read_texts(table, "models")
            .map(ModelGrant::from_text)
            .collect(),
        routes: read_texts(table, "routes").map(Name::from).collect(),
    }
}

/// Reads an account's key digests. A digest with a fault is replaced by a placeholder, so that the index
/// of every other digest still agrees with its path.
fn read_digests(table: &mut TableReader<'_>) -> Vec<KeyDigest> {
    let expected = "a list of SHA-256 digests; empty if the account has no key";
    let Some(field) = table.required("key_digests", expected) else {
        return Vec::new();
    };
    let items = field.list().unwrap_or_default();
    let digests = items
        .iter()
        .map(|item| read_digest(item).unwrap_or(KeyDigest([0; 32])));
    digests.collect()
}

fn read_digest(item: &FieldValue<'_>) -> Option<KeyDigest> {
    let digest = item.text().and_then(KeyDigest::from_hex);
    if digest.is_none() {
        // The operator may have pasted the key itself, which must not be printed.
        item.mask();
        let problem = "not a digest (value hidden)";
        let expected = "64 hex digits, as printed by `zinniahingectl keys digest`";
        return item.reject(FaultKind::InvalidDigest, problem, expected);
    }
    digest
}

fn read_texts<'a>(
    table: &mut TableReader<'a>,
    name: &'static str,
) -> impl Iterator<Item = &'a str> + use<'a> {
    let items = table.optional(name).and_then(|v| v.list());
    let items = items.unwrap_or_default();
    items
        .into_iter()
        .map(|item| item.text().unwrap_or_default())
}
