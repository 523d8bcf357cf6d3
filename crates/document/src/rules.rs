//! Checks the rules between fields. A rule is skipped if a field that it needs was read with a fault.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;

use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

use crate::AdapterEntry;
use crate::ClientAccount;
use crate::FaultKind;
use crate::KeyDigest;
use crate::ModelEntry;
use crate::ModelGrant;
use crate::RouteAccess;
use crate::RouteTarget;
use crate::ServiceDocument;
use crate::ServiceKind;
use crate::ServiceRoute;
use crate::fault_sink::FaultSink;

/// Limits the cost of authentication: each request is compared with every digest of the document.
const MAX_DIGESTS_PER_ACCOUNT: usize = 16;

/// Root of the paths of the OpenAI-compatible API.
const MODEL_API_ROOT: &str = "/v1";

/// Checks all rules and reports every violation to `sink`.
pub(crate) fn check_rules(document: &ServiceDocument, sink: &FaultSink<'_>) {
    let rules = RuleCheck { document, sink };
    rules.check_names();
    rules.check_kind();
    rules.check_models();
    rules.check_adapters();
    rules.check_routes();
    rules.check_digests();
    for (index, account) in document.accounts.iter().enumerate() {
        rules.check_grants(index, account);
        rules.check_burst(index, account);
        rules.check_account_routes(index, account);
    }
}

struct RuleCheck<'a> {
    document: &'a ServiceDocument,
    sink: &'a FaultSink<'a>,
}

impl RuleCheck<'_> {
    /// Reports a fault at a field. Reports nothing if the field is absent or was read with a fault.
    fn report_fault(&self, kind: FaultKind, field: &str, problem: String, expected: &str) {
        if let Some(span) = self.sink.valid_span(field) {
            self.sink.add_fault(kind, field, span, problem, expected);
        }
    }

    /// Returns true if the field is present and was read without a fault; faults of rules don't count.
    fn is_valid(&self, field: &str) -> bool {
        self.sink.valid_span(field).is_some()
    }

    // ----

    fn check_names(&self) {
        let ServiceDocument {
            models,
            adapters,
            accounts,
            ..
        } = self.document;
        self.check_unique("models", models.iter().map(|model| &model.name));
        let full_names = adapters.iter().map(|entry| (&entry.base, &entry.name));
        self.check_unique("adapters", full_names);
        self.check_unique("accounts", accounts.iter().map(|account| &account.name));
    }

    fn check_unique<K: Eq + Hash>(&self, list: &str, names: impl Iterator<Item = K>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            let field = format!("{list}[{index}].name");
            if self.is_valid(&field) && !seen.insert(name) {
                let problem = "the name is already used in this list".to_owned();
                self.report_fault(FaultKind::DuplicateName, &field, problem, "a unique name");
            }
        }
    }

    fn check_kind(&self) {
        if !self.is_valid("kind") {
            return;
        }
        let ServiceDocument {
            kind,
            models,
            adapters,
            ..
        } = self.document;
        if *kind == ServiceKind::Models && models.is_empty() && !self.is_valid("models") {
            let problem = "a service of kind `models` has no model".to_owned();
            self.report_fault(
                FaultKind::MissingField,
                "kind",
                problem,
                "at least one [[models]]",
            );
        }
        let sections = [("models", models.len()), ("adapters", adapters.len())];
        let present = sections.into_iter().filter(|(_, count)| *count > 0);
        for (section, _) in present.filter(|_| *kind == ServiceKind::Plain) {
            let problem = format!("a plain service has no {section}");
            let expected = "no such section, or kind = \"models\"";
            self.report_fault(FaultKind::NotApplicable, section, problem, expected);
        }
    }

    // ----

    fn check_models(&self) {
        for (index, model) in self.document.models.iter().enumerate() {
            self.check_load_order(index, model);
            self.check_keep_alive(index, model);
        }
    }

    fn check_load_order(&self, index: usize, model: &ModelEntry) {
        let times = &model.load_times;
        let neighbors = [
            ("memory", times.memory, "disk", times.disk),
            ("disk", times.disk, "remote", times.remote),
        ];
        for (near, near_time, far, far_time) in neighbors {
            let field = |level: &str| format!("models[{index}].load_ms.{level}");
            if self.is_valid(&field(near)) && far_time < near_time {
                let problem = format!("a load from {far} is faster than one from {near}");
                let expected = "memory <= disk <= remote";
                self.report_fault(FaultKind::InvalidValue, &field(far), problem, expected);
            }
        }
    }

    fn check_keep_alive(&self, index: usize, model: &ModelEntry) {
        let (Some(floor), Some(ceiling)) = (model.keep_alive.floor, model.keep_alive.ceiling)
        else {
            return;
        };
        if ceiling < floor {
            let field = format!("models[{index}].keep_alive_ceiling_ms");
            let problem = "the ceiling is below the floor".to_owned();
            let expected = format!("at least {} ms", floor.as_millis());
            self.report_fault(FaultKind::InvalidValue, &field, problem, &expected);
        }
    }

    fn check_adapters(&self) {
        for (index, adapter) in self.document.adapters.iter().enumerate() {
            if !self.has_model(&adapter.base) {
                let field = format!("adapters[{index}].base");
                let problem = format!("there is no model `{}`", adapter.base);
                self.report_fault(
                    FaultKind::MissingReference,
                    &field,
                    problem,
                    "name of a model",
                );
            }
        }
    }

    // ----

    fn check_routes(&self) {
        for (index, route) in self.document.routes.iter().enumerate() {
            self.check_target(index, route);
            self.check_prefix_root(index, route);
            self.check_batch_deadline(index, route);
            for (earlier_index, earlier) in self.document.routes[..index].iter().enumerate() {
                self.check_overlap((index, route), (earlier_index, earlier));
            }
        }
    }

    fn check_target(&self, index: usize, route: &ServiceRoute) {
        if route.target != RouteTarget::ModelApi {
            return;
        }
        if self.is_valid("kind") && self.document.kind == ServiceKind::Plain {
            let field = format!("routes[{index}].target");
            let problem = "a plain service has no model".to_owned();
            let expected = "{ group = \"...\" }, or no target";
            self.report_fault(FaultKind::MissingReference, &field, problem, expected);
        }
        if route.access == RouteAccess::Open {
            let field = format!("routes[{index}].access");
            let problem = "the model API charges an account, which needs a key".to_owned();
            self.report_fault(FaultKind::InvalidValue, &field, problem, "`keyed`");
        }
    }

    /// Checks that the prefix lies under the service's own root, so that no team's document can capture the
    /// requests of another service.
    fn check_prefix_root(&self, index: usize, route: &ServiceRoute) {
        let ServiceDocument { service, kind, .. } = self.document;
        let root = match (&route.target, kind) {
            (RouteTarget::Group(_), _) => format!("/r/{service}"),
            (RouteTarget::ModelApi, ServiceKind::Models) => MODEL_API_ROOT.to_owned(),
            // `check_target` reports this target.
            (RouteTarget::ModelApi, ServiceKind::Plain) => return,
        };
        let rest = route.prefix.strip_prefix(&*root);
        let is_inside = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
        if !is_inside && self.is_valid("kind") && self.is_valid("service") {
            let field = format!("routes[{index}].prefix");
            let problem = "the prefix is outside the paths of the service".to_owned();
            let expected = format!("`{root}` or a path below it");
            self.report_fault(FaultKind::InvalidValue, &field, problem, &expected);
        }
    }

    fn check_batch_deadline(&self, index: usize, route: &ServiceRoute) {
        if route.deadline_for(PriorityClass::Batch) < route.deadline {
            let field = format!("routes[{index}].batch_deadline_ms");
            let problem = "the batch deadline is shorter than deadline_ms".to_owned();
            let expected = format!("at least {} ms", route.deadline.as_millis());
            self.report_fault(FaultKind::InvalidValue, &field, problem, &expected);
        }
    }

    /// Checks that two routes with the same prefix share no method, and that neither exposes the other.
    /// Each route comes with its index.
    fn check_overlap(&self, later: (usize, &ServiceRoute), earlier: (usize, &ServiceRoute)) {
        let prefix_field = |index: usize| format!("routes[{index}].prefix");
        if !self.is_valid(&prefix_field(later.0)) || !self.is_valid(&prefix_field(earlier.0)) {
            return;
        }
        if later.1.prefix == earlier.1.prefix {
            self.check_same_prefix(later, earlier);
        } else if later.1.covers(&earlier.1.prefix) {
            self.check_nested(later, earlier);
        } else if earlier.1.covers(&later.1.prefix) {
            self.check_nested(earlier, later);
        }
    }

    fn check_same_prefix(&self, later: (usize, &ServiceRoute), earlier: (usize, &ServiceRoute)) {
        let Some(method) = later
            .1
            .methods
            .iter()
            .find(|method| earlier.1.allows(method))
        else {
            return;
        };
        let field = format!("routes[{}].prefix", later.0);
        let problem = format!(
            "routes[{}] has the same prefix and method {method}",
            earlier.0
        );
        let expected = "one route per prefix and method";
        self.report_fault(FaultKind::RouteOverlap, &field, problem, expected);
    }

    /// Rejects a keyed route below an open one. It would be reachable without a key by any spelling of its
    /// path that the backend server resolves but prefix matching doesn't.
    fn check_nested(&self, outer: (usize, &ServiceRoute), inner: (usize, &ServiceRoute)) {
        let has_valid_access = |index: usize| self.is_valid(&format!("routes[{index}].access"));
        let is_exposed =
            outer.1.access == RouteAccess::Open && inner.1.access == RouteAccess::Keyed;
        if is_exposed && has_valid_access(outer.0) && has_valid_access(inner.0) {
            let field = format!("routes[{}].prefix", inner.0);
            let problem = format!("the open routes[{}] covers this keyed route", outer.0);
            let expected = "no keyed route below an open one";
            self.report_fault(FaultKind::RouteOverlap, &field, problem, expected);
        }
    }

    // ----

    fn check_digests(&self) {
        let mut owners: HashMap<KeyDigest, usize> = HashMap::new();
        for (index, account) in self.document.accounts.iter().enumerate() {
            if account.key_digests.len() > MAX_DIGESTS_PER_ACCOUNT {
                let field = format!("accounts[{index}].key_digests");
                let problem = format!("the account lists {} digests", account.key_digests.len());
                let expected = format!("at most {MAX_DIGESTS_PER_ACCOUNT}");
                self.report_fault(FaultKind::OutOfRange, &field, problem, &expected);
            }
            for (place, digest) in account.key_digests.iter().enumerate() {
                let field = format!("accounts[{index}].key_digests[{place}]");
                if self.is_valid(&field) {
                    self.check_digest_owner(&field, *owners.entry(*digest).or_insert(index), index);
                    self.check_repeated_digest(&field, account, place);
                }
            }
        }
    }

    fn check_digest_owner(&self, field: &str, owner: usize, index: usize) {
        if owner != index {
            let name = &self.document.accounts[owner].name;
            let problem = format!("account `{name}` has the same key");
            self.report_fault(
                FaultKind::SharedDigest,
                field,
                problem,
                "a key that no other account has",
            );
        }
    }

    fn check_repeated_digest(&self, field: &str, account: &ClientAccount, place: usize) {
        if account.key_digests[..place].contains(&account.key_digests[place]) {
            let problem = "the account lists this digest twice".to_owned();
            self.report_fault(FaultKind::SharedDigest, field, problem, "each digest once");
        }
    }

    // ----

    fn check_grants(&self, index: usize, account: &ClientAccount) {
        for (place, grant) in account.models.iter().enumerate() {
            let field = format!("accounts[{index}].models[{place}]");
            let is_known = match grant {
                ModelGrant::Any => !self.document.models.is_empty(),
                ModelGrant::Base(base) | ModelGrant::AnyAdapter(base) => self.has_model(base),
                ModelGrant::Adapter(base, name) => self.has_adapter(base, name),
            };
            if !is_known {
                let problem = format!("there is no model or adapter `{grant}`");
                let expected = "`model`, `model:adapter`, `model:*` or `*`";
                self.report_fault(FaultKind::MissingReference, &field, problem, expected);
            }
        }
    }

    /// Checks that the account's token bucket can hold the largest request to any model that the account
    /// may use; such a request could never be admitted otherwise.
    fn check_burst(&self, index: usize, account: &ClientAccount) {
        let is_usable = |model: &&ModelEntry| {
            let grants = || account.models.iter();
            grants().any(|grant| grant.base().is_none_or(|base| *base == model.name))
        };
        let usable = self.document.models.iter().filter(is_usable);
        let Some(largest) = usable.max_by_key(|model| model.max_request_tokens()) else {
            return;
        };
        if account.burst < largest.max_request_tokens() {
            let field = format!("accounts[{index}].burst");
            let problem = format!(
                "a request to model `{}` can take {} tokens",
                largest.name,
                largest.max_request_tokens()
            );
            let expected = format!("at least {} tokens", largest.max_request_tokens());
            self.report_fault(FaultKind::BurstTooSmall, &field, problem, &expected);
        }
    }

    fn check_account_routes(&self, index: usize, account: &ClientAccount) {
        for (place, prefix) in account.routes.iter().enumerate() {
            let field = format!("accounts[{index}].routes[{place}]");
            if **prefix != *"*" && !self.has_route(prefix) {
                let problem = format!("there is no route `{prefix}`");
                let expected = "the prefix of a route of this document, or `*`";
                self.report_fault(FaultKind::MissingReference, &field, problem, expected);
            }
        }
    }

    // ----

    /// Returns true if the model exists, or if any model's name is absent or was read with a fault: that
    /// may be the model meant.
    fn has_model(&self, name: &Name) -> bool {
        let models = &self.document.models;
        models.iter().any(|model| model.name == *name)
            || self.has_invalid_entry("models", models.len(), "name")
    }

    /// Returns true if the adapter exists, or if any adapter's base or name is absent or was read with a
    /// fault; see [`Self::has_model`].
    fn has_adapter(&self, base: &Name, name: &Name) -> bool {
        let adapters = &self.document.adapters;
        let is_same = |adapter: &AdapterEntry| adapter.base == *base && adapter.name == *name;
        adapters.iter().any(is_same)
            || self.has_invalid_entry("adapters", adapters.len(), "base")
            || self.has_invalid_entry("adapters", adapters.len(), "name")
    }

    /// Returns true if a route with this prefix exists, or if any route's prefix is absent or was read with a
    /// fault; see [`Self::has_model`].
    fn has_route(&self, prefix: &Name) -> bool {
        let routes = &self.document.routes;
        routes.iter().any(|route| route.prefix == *prefix)
            || self.has_invalid_entry("routes", routes.len(), "prefix")
    }

    /// Returns true if `field` is absent or was read with a fault in any of the `count` entries of `list`.
    fn has_invalid_entry(&self, list: &str, count: usize, field: &str) -> bool {
        (0..count).any(|index| !self.is_valid(&format!("{list}[{index}].{field}")))
    }
}
