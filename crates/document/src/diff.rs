//! Compares two documents field by field.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use zinniahinge_types::PriorityClass;

use crate::AdapterEntry;
use crate::ClientAccount;
use crate::KeepAliveRange;
use crate::LoadTimes;
use crate::ModelEntry;
use crate::RouteAccess;
use crate::RouteTarget;
use crate::ServiceDocument;
use crate::ServiceKind;
use crate::ServiceRoute;
use crate::WeightStoreLimits;

/// A field whose value differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Path of the field, with names instead of list indexes, for example `models[small].memory`.
    pub field: String,
    /// Old value; `None` if the field was added.
    pub old: Option<String>,
    /// New value; `None` if the field was removed.
    pub new: Option<String>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { field, old, new } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "~ {field}: {old} -> {new}"),
            (Some(old), None) => write!(f, "- {field}: {old}"),
            (None, Some(new)) => write!(f, "+ {field}: {new}"),
            (None, None) => write!(f, "  {field}"),
        }
    }
}

/// Returns the fields that differ, sorted by path. The order of list entries is ignored, except among
/// routes with the same prefix.
pub fn diff(old: &ServiceDocument, new: &ServiceDocument) -> Vec<FieldChange> {
    let mut old_fields = FieldMap::of_document(old).fields;
    let mut changes = Vec::new();
    for (field, value) in FieldMap::of_document(new).fields {
        let old = old_fields.remove(&field);
        if old.as_ref() != Some(&value) {
            let new = Some(value);
            changes.push(FieldChange { field, old, new });
        }
    }
    changes.extend(old_fields.into_iter().map(|(field, value)| FieldChange {
        field,
        old: Some(value),
        new: None,
    }));
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    changes
}

// ----

/// Values of a document's fields as text, by path.
#[derive(Default)]
struct FieldMap {
    fields: BTreeMap<String, String>,
}

impl FieldMap {
    fn of_document(document: &ServiceDocument) -> Self {
        let ServiceDocument {
            service,
            kind,
            group,
            fencing,
            weight_store,
            models,
            adapters,
            routes,
            accounts,
        } = document;
        let mut map = Self::default();
        map.put("", "service", service);
        map.put("", "kind", kind_name(*kind));
        map.put("", "group", group);
        map.put("", "fencing", fencing);
        map.put_weight_store(weight_store.as_ref());
        models.iter().for_each(|model| map.put_model(model));
        adapters.iter().for_each(|adapter| map.put_adapter(adapter));
        for (index, route) in routes.iter().enumerate() {
            map.put_route(route, &routes[..index]);
        }
        accounts.iter().for_each(|account| map.put_account(account));
        map
    }

    fn put(&mut self, entry: &str, name: &str, value: impl fmt::Display) {
        let separator = if entry.is_empty() { "" } else { "." };
        let field = format!("{entry}{separator}{name}");
        self.fields.insert(field, value.to_string());
    }

    fn put_millis(&mut self, entry: &str, name: &str, value: Duration) {
        self.put(entry, name, value.as_millis());
    }

    fn put_optional(&mut self, entry: &str, name: &str, value: Option<impl fmt::Display>) {
        if let Some(value) = value {
            self.put(entry, name, value);
        }
    }

    /// Adds a field for each member of a set, so that a difference names only the members that were added
    /// or removed.
    fn put_set<T: fmt::Display>(&mut self, entry: &str, name: &str, members: &[T]) {
        for member in members {
            self.put(entry, &format!("{name}[{member}]"), member);
        }
    }

    fn put_weight_store(&mut self, limits: Option<&WeightStoreLimits>) {
        let Some(limits) = limits else { return };
        let WeightStoreLimits {
            loads_per_second,
            at_once,
            adapters_at_once,
        } = limits;
        self.put("weight_store", "loads_per_second", loads_per_second);
        self.put("weight_store", "at_once", at_once);
        self.put("weight_store", "adapters_at_once", adapters_at_once);
    }

    fn put_model(&mut self, model: &ModelEntry) {
        let ModelEntry {
            name,
            version,
            memory,
            slots,
            max_prompt_tokens,
            max_output_tokens,
            load_times,
            keep_alive,
        } = model;
        let LoadTimes {
            memory: memory_load_time,
            disk,
            remote,
        } = *load_times;
        let KeepAliveRange { floor, ceiling } = *keep_alive;
        let entry = format!("models[{name}]");
        self.put(&entry, "memory", memory);
        self.put_optional(&entry, "version", version.as_ref());
        self.put(&entry, "slots", slots);
        self.put(&entry, "max_prompt_tokens", max_prompt_tokens);
        self.put(&entry, "max_output_tokens", max_output_tokens);
        self.put_millis(&entry, "load_ms.memory", memory_load_time);
        self.put_millis(&entry, "load_ms.disk", disk);
        self.put_millis(&entry, "load_ms.remote", remote);
        self.put_optional(
            &entry,
            "keep_alive_floor_ms",
            floor.map(|time| time.as_millis()),
        );
        self.put_optional(
            &entry,
            "keep_alive_ceiling_ms",
            ceiling.map(|time| time.as_millis()),
        );
    }

    fn put_adapter(&mut self, adapter: &AdapterEntry) {
        let AdapterEntry { name, base, memory } = adapter;
        self.put(&format!("adapters[{base}:{name}]"), "memory", memory);
    }

    fn put_route(&mut self, route: &ServiceRoute, earlier_routes: &[ServiceRoute]) {
        let ServiceRoute {
            prefix,
            methods,
            access,
            idempotent,
            class,
            deadline,
            batch_deadline,
            target,
        } = route;
        // Routes with the same prefix are numbered in the order of the document.
        let same_prefix_count = earlier_routes
            .iter()
            .filter(|other| other.prefix == *prefix)
            .count();
        let entry = match same_prefix_count {
            0 => format!("routes[{prefix}]"),
            _ => format!("routes[{prefix}#{}]", same_prefix_count + 1),
        };
        self.put_set(&entry, "methods", methods);
        self.put(&entry, "access", access_name(*access));
        self.put(&entry, "idempotent", idempotent);
        self.put(&entry, "class", class_name(*class));
        self.put_millis(&entry, "deadline_ms", *deadline);
        let batch_millis = batch_deadline.map(|time| time.as_millis());
        self.put_optional(&entry, "batch_deadline_ms", batch_millis);
        match target {
            RouteTarget::ModelApi => self.put(&entry, "target", "model-api"),
            RouteTarget::Group(group) => self.put(&entry, "target", format_args!("group {group}")),
        }
    }

    fn put_account(&mut self, account: &ClientAccount) {
        let ClientAccount {
            name,
            key_digests,
            tokens_per_second,
            burst,
            class_ceiling,
            weight,
            models,
            routes,
        } = account;
        let entry = format!("accounts[{name}]");
        self.put(&entry, "tokens_per_second", tokens_per_second);
        self.put(&entry, "burst", burst);
        self.put(&entry, "class_ceiling", class_name(*class_ceiling));
        self.put(&entry, "weight", weight);
        self.put_set(&entry, "key_digests", key_digests);
        self.put_set(&entry, "models", models);
        self.put_set(&entry, "routes", routes);
    }
}

fn kind_name(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Models => "models",
        ServiceKind::Plain => "plain",
    }
}

fn access_name(access: RouteAccess) -> &'static str {
    match access {
        RouteAccess::Open => "open",
        RouteAccess::Keyed => "keyed",
    }
}

fn class_name(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Urgent => "urgent",
        PriorityClass::Normal => "normal",
        PriorityClass::Batch => "batch",
    }
}
