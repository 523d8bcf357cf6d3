//! Rules between fields. A rule is skipped when a field that it needs was already rejected.

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

/// Most digests of one account: every one is compared on every request.
const MAX_DIGESTS: usize = 16;

/// Paths of the OpenAI-compatible interface.
const MODEL_API_ROOT: &str = "/v1";

/// Reports every broken rule.
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
    /// Reports a fault at a field that was read, and nothing if the field was rejected.
    fn fault(&self, kind: FaultKind, field: &str, problem: String, expected: &str) {
        if let Some(span) = self.sink.span(field) {
            self.sink.fault(kind, field, span, problem, expected);
        }
    }

    fn is_read(&self, field: &str) -> bool {
        self.sink.span(field).is_some()
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
            if self.is_read(&field) && !seen.insert(name) {
                let problem = "the name is already used in this list".to_owned();
                self.fault(FaultKind::DuplicateName, &field, problem, "a unique name");
            }
        }
    }

    fn check_kind(&self) {
        if !self.is_read("kind") {
            return;
        }
        let ServiceDocument {
            kind,
            models,
            adapters,
            ..
        } = self.document;
        if *kind == ServiceKind::Models && models.is_empty() && !self.is_read("models") {
            let problem = "a service of kind `models` has no model".to_owned();
            self.fault(
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
            self.fault(FaultKind::NotApplicable, section, problem, expected);
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
        let steps = [
            ("memory", times.memory, "disk", times.disk),
            ("disk", times.disk, "remote", times.remote),
        ];
        for (near, near_time, far, far_time) in steps {
            let field = |level: &str| format!("models[{index}].load_ms.{level}");
            if self.is_read(&field(near)) && far_time < near_time {
                let problem = format!("a load from {far} is faster than one from {near}");
                let expected = "memory <= disk <= remote";
                self.fault(FaultKind::InvalidValue, &field(far), problem, expected);
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
            self.fault(FaultKind::InvalidValue, &field, problem, &expected);
        }
    }

    fn check_adapters(&self) {
        for (index, adapter) in self.document.adapters.iter().enumerate() {
            if !self.has_model(&adapter.base) {
                let field = format!("adapters[{index}].base");
                let problem = format!("there is no model `{}`", adapter.base);
                self.fault(
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
            for (other, earlier) in self.document.routes[..index].iter().enumerate() {
                self.check_overlap((index, route), (other, earlier));
            }
        }
    }

    fn check_target(&self, index: usize, route: &ServiceRoute) {
        if route.target != RouteTarget::ModelApi {
            return;
        }
        if self.is_read("kind") && self.document.kind == ServiceKind::Plain {
            let field = format!("routes[{index}].target");
            let problem = "a plain service has no model".to_owned();
            let expected = "{ group = \"...\" }, or no target";
            self.fault(FaultKind::MissingReference, &field, problem, expected);
        }
        if route.access == RouteAccess::Open {
            let field = format!("routes[{index}].access");
            let problem = "the model API charges an account, which needs a key".to_owned();
            self.fault(FaultKind::InvalidValue, &field, problem, "`keyed`");
        }
    }

    /// Each service has its own paths, so that no team's document can take another's requests.
    fn check_prefix_root(&self, index: usize, route: &ServiceRoute) {
        let ServiceDocument { service, kind, .. } = self.document;
        let root = match (&route.target, kind) {
            (RouteTarget::Group(_), _) => format!("/r/{service}"),
            (RouteTarget::ModelApi, ServiceKind::Models) => MODEL_API_ROOT.to_owned(),
            // The target itself is the fault.
            (RouteTarget::ModelApi, ServiceKind::Plain) => return,
        };
        let rest = route.prefix.strip_prefix(&*root);
        let is_inside = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
        if !is_inside && self.is_read("kind") && self.is_read("service") {
            let field = format!("routes[{index}].prefix");
            let problem = "the prefix is outside of the service's paths".to_owned();
            let expected = format!("`{root}` or a path below it");
            self.fault(FaultKind::InvalidValue, &field, problem, &expected);
        }
    }

    fn check_batch_deadline(&self, index: usize, route: &ServiceRoute) {
        if route.deadline_for(PriorityClass::Batch) < route.deadline {
            let field = format!("routes[{index}].batch_deadline_ms");
            let problem = "batch requests have less time than others".to_owned();
            let expected = format!("at least {}", route.deadline.as_millis());
            self.fault(FaultKind::InvalidValue, &field, problem, &expected);
        }
    }

    fn check_overlap(&self, late: (usize, &ServiceRoute), early: (usize, &ServiceRoute)) {
        let prefix_field = |index: usize| format!("routes[{index}].prefix");
        if !self.is_read(&prefix_field(late.0)) || !self.is_read(&prefix_field(early.0)) {
            return;
        }
        if late.1.prefix == early.1.prefix {
            self.check_same_prefix(late, early);
        } else if late.1.covers(&early.1.prefix) {
            self.check_nested(late, early);
        } else if early.1.covers(&late.1.prefix) {
            self.check_nested(early, late);
        }
    }

    fn check_same_prefix(&self, late: (usize, &ServiceRoute), early: (usize, &ServiceRoute)) {
        let Some(method) = late.1.methods.iter().find(|method| early.1.allows(method)) else {
            return;
        };
        let field = format!("routes[{}].prefix", late.0);
        let problem = format!(
            "routes[{}] has the same prefix and method {method}",
            early.0
        );
        let expected = "one route per prefix and method";
        self.fault(FaultKind::RouteOverlap, &field, problem, expected);
    }

    /// A keyed route below an open one would be reachable without a key under any spelling of its
    /// path that the backend server resolves and the prefix comparison does not.
    fn check_nested(&self, outer: (usize, &ServiceRoute), inner: (usize, &ServiceRoute)) {
        let is_read = |index: usize| self.is_read(&format!("routes[{index}].access"));
        let is_exposed =
            outer.1.access == RouteAccess::Open && inner.1.access == RouteAccess::Keyed;
        if is_exposed && is_read(outer.0) && is_read(inner.0) {
            let field = format!("routes[{}].prefix", inner.0);
            let problem = format!("the open routes[{}] covers this keyed route", outer.0);
            let expected = "no keyed route below an open one";
            self.fault(FaultKind::RouteOverlap, &field, problem, expected);
        }
    }

    // ----

    fn check_digests(&self) {
        let mut owners: HashMap<KeyDigest, usize> = HashMap::new();
        for (index, account) in self.document.accounts.iter().enumerate() {
            if account.key_digests.len() > MAX_DIGESTS {
                let field = format!("accounts[{index}].key_digests");
                let problem = format!("{} digests", account.key_digests.len());
                let expected = format!("at most {MAX_DIGESTS}");
                self.fault(FaultKind::OutOfRange, &field, problem, &expected);
            }
            for (place, digest) in account.key_digests.iter().enumerate() {
                let field = format!("accounts[{index}].key_digests[{place}]");
                if self.is_read(&field) {
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
            self.fault(FaultKind::SharedDigest, field, problem, "a key of its own");
        }
    }

    fn check_repeated_digest(&self, field: &str, account: &ClientAccount, place: usize) {
        if account.key_digests[..place].contains(&account.key_digests[place]) {
            let problem = "the account lists this digest twice".to_owned();
            self.fault(FaultKind::SharedDigest, field, problem, "each digest once");
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
                self.fault(FaultKind::MissingReference, &field, problem, expected);
            }
        }
    }

    fn check_burst(&self, index: usize, account: &ClientAccount) {
        let is_usable = |model: &&ModelEntry| {
            let grants = || account.models.iter();
            grants().any(|grant| grant.base().is_none_or(|base| *base == model.name))
        };
        let usable = self.document.models.iter().filter(is_usable);
        let Some(largest) = usable.max_by_key(|model| model.largest_request()) else {
            return;
        };
        if account.burst < largest.largest_request() {
            let field = format!("accounts[{index}].burst");
            let problem = format!(
                "a request to model `{}` can need {} tokens",
                largest.name,
                largest.largest_request()
            );
            let expected = format!("at least {}", largest.largest_request());
            self.fault(FaultKind::BurstTooSmall, &field, problem, &expected);
        }
    }

    fn check_account_routes(&self, index: usize, account: &ClientAccount) {
        for (place, prefix) in account.routes.iter().enumerate() {
            let field = format!("accounts[{index}].routes[{place}]");
            if **prefix != *"*" && !self.has_route(prefix) {
                let problem = format!("there is no route `{prefix}`");
                let expected = "the prefix of a route of this document, or `*`";
                self.fault(FaultKind::MissingReference, &field, problem, expected);
            }
        }
    }

    // ----

    /// True also if the name of some model was rejected, because that may be the missing one.
    fn has_model(&self, name: &Name) -> bool {
        let models = &self.document.models;
        models.iter().any(|model| model.name == *name)
            || self.is_any_rejected("models", models.len(), "name")
    }

    /// As [`Self::has_model`] for adapters.
    fn has_adapter(&self, base: &Name, name: &Name) -> bool {
        let adapters = &self.document.adapters;
        let is_same = |adapter: &AdapterEntry| adapter.base == *base && adapter.name == *name;
        adapters.iter().any(is_same)
            || self.is_any_rejected("adapters", adapters.len(), "base")
            || self.is_any_rejected("adapters", adapters.len(), "name")
    }

    /// As [`Self::has_model`] for routes.
    fn has_route(&self, prefix: &Name) -> bool {
        let routes = &self.document.routes;
        routes.iter().any(|route| route.prefix == *prefix)
            || self.is_any_rejected("routes", routes.len(), "prefix")
    }

    fn is_any_rejected(&self, list: &str, count: usize, field: &str) -> bool {
        (0..count).any(|index| !self.is_read(&format!("{list}[{index}].{field}")))
    }
}
