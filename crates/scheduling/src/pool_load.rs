//! Model loads of a [`PoolPlanner`]: order, rate limit, placement and eviction.

use std::cmp::Reverse;
use std::time::Duration;

use rand::seq::IndexedRandom;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

use crate::CacheLevel;
use crate::EvictionRule;
use crate::LifecycleStage;
use crate::LoadOrder;
use crate::ModelSpec;
use crate::OrderAction;
use crate::PermitScope;
use crate::PlacementRule;
use crate::PoolOrder;
use crate::PoolPlanner;
use crate::demand_record::DemandRecord;
use crate::open_order::OpenOrder;
use crate::pool_drain::ReplicaKey;
use crate::pool_planner::MemoryClaim;
use crate::replica_record::DrainReason;
use crate::replica_record::ReplicaRecord;
use crate::server_record::ServerRecord;

/// Deadlines are compared in steps of this length, so that fairness and age decide between close
/// ones.
const DEADLINE_BUCKET: Duration = Duration::from_secs(5);

/// Placement cost of a drain and unload before the load, in seconds of load time.
const DRAIN_COST_S: f64 = 0.5;

/// Window in which the probability of the next request counts for an eviction.
const REUSE_HORIZON: Duration = Duration::from_secs(60);

/// A model that needs one more replica.
#[derive(Clone, Debug)]
pub(crate) struct LoadCandidate {
    pub(crate) model: Name,
    account: Option<Name>,
    class: PriorityClass,
    deadline_in: Duration,
    waited: Duration,
    expected: Duration,
}

/// A server that can take a load, and the replicas that must be evicted there first.
#[derive(Clone, Debug)]
struct Placement {
    server: Name,
    victims: Vec<ReplicaKey>,
    cost: f64,
    free_bytes: u64,
}

impl PoolPlanner {
    /// Returns load orders for models without a replica and for overloaded ones, most urgent first.
    pub(crate) fn load_models(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        let candidates = self.load_candidates(now);
        let wanted = |model: &Name| candidates.iter().any(|candidate| candidate.model == *model);
        self.claims.retain(|model, _| wanted(model));
        let mut orders = Vec::new();
        for (position, candidate) in candidates.iter().enumerate() {
            // Memory is freed only for loads that can start soon, because concurrent loads are
            // limited.
            let may_claim = position < self.settings.load_limit as usize;
            orders.extend(self.load_model(candidate, may_claim, now));
        }
        orders
    }

    /// Orders one load if memory and a load permit are available; otherwise starts to free memory
    /// for it.
    fn load_model(
        &mut self,
        candidate: &LoadCandidate,
        may_claim: bool,
        now: MonotonicTime,
    ) -> Option<PoolOrder> {
        let spec = self.catalog.models.get(&candidate.model)?.clone();
        let placement = self.place(candidate, &spec, now)?;
        let level = self.servers[&placement.server].cache_level(&candidate.model);
        if !placement.victims.is_empty() || placement.free_bytes < spec.bytes {
            if may_claim {
                self.claim(candidate, &spec, &placement, now);
            }
            return None;
        }
        if !self.permit_is_due(level, now) {
            return None;
        }
        let order = self.load_order(candidate, &spec, &placement, level, now);
        let sent = self.open_order(order, now)?;
        self.claims.remove(&candidate.model);
        if self.needs_permit(level) {
            self.permits.take(now, self.settings.loads_per_second);
        }
        Some(sent)
    }

    /// Builds the load order. It is sent again at the earliest after three times the expected load
    /// time.
    fn load_order(
        &self,
        candidate: &LoadCandidate,
        spec: &ModelSpec,
        placement: &Placement,
        level: CacheLevel,
        now: MonotonicTime,
    ) -> OpenOrder {
        let expected = spec.load_times.at(level);
        OpenOrder {
            action: OrderAction::LoadModel,
            server: placement.server.clone(),
            boot_id: self.servers[&placement.server].boot_id,
            model: candidate.model.clone(),
            adapter: None,
            bytes: spec.bytes,
            issued_at: now,
            resend_at: now + self.settings.resend_after.max(expected * 3),
            permit: self.needs_permit(level),
            account: candidate.account.clone(),
        }
    }

    /// Sets memory on a server aside for the model and drains the replicas that occupy it.
    fn claim(
        &mut self,
        candidate: &LoadCandidate,
        spec: &ModelSpec,
        placement: &Placement,
        now: MonotonicTime,
    ) {
        for victim in &placement.victims {
            self.start_drain(victim, DrainReason::Evicted, now);
        }
        let claim = MemoryClaim {
            server: placement.server.clone(),
            bytes: spec.bytes,
        };
        self.claims.insert(candidate.model.clone(), claim);
    }

    // ---------------------------------------------------------------------------------------------
    // Permits

    /// Returns true if a load from `level` counts against the rate and concurrency of the weight
    /// store.
    fn needs_permit(&self, level: CacheLevel) -> bool {
        match self.settings.permit_scope {
            PermitScope::AllLoads => true,
            PermitScope::RemoteLoads => level == CacheLevel::Remote,
        }
    }

    /// Returns true if the limits of the weight store allow a load from `level` to start now.
    fn permit_is_due(&self, level: CacheLevel, now: MonotonicTime) -> bool {
        if !self.needs_permit(level) {
            return true;
        }
        let open = self.orders.values().filter(|order| order.permit).count();
        open < self.settings.load_limit as usize && self.permits.is_due(now)
    }

    // ---------------------------------------------------------------------------------------------
    // Queue

    /// Returns the models that need a replica, in the order in which they are loaded.
    fn load_candidates(&self, now: MonotonicTime) -> Vec<LoadCandidate> {
        let demands = self.demands.iter();
        let mut candidates: Vec<_> = demands
            .filter_map(|(model, demand)| self.load_candidate(model, demand, now))
            .collect();
        match self.settings.load_order {
            LoadOrder::FirstInFirstOut => {
                candidates.sort_by_key(|candidate| Reverse(candidate.waited))
            }
            LoadOrder::Weighted => {
                candidates.sort_by_cached_key(|candidate| self.load_rank(candidate))
            }
        }
        candidates
    }

    /// Returns the model if its waiting requests justify another replica.
    fn load_candidate(
        &self,
        model: &Name,
        demand: &DemandRecord,
        now: MonotonicTime,
    ) -> Option<LoadCandidate> {
        let spec = self.catalog.models.get(model)?;
        let most_urgent = demand.most_urgent()?;
        if !self.wants_replica(model, demand, spec, now) {
            return None;
        }
        Some(LoadCandidate {
            model: model.clone(),
            account: Some(most_urgent.account.clone()),
            class: most_urgent.class,
            deadline_in: demand.deadline_in(now),
            waited: demand.waited(now),
            expected: self.nearest_load_time(model),
        })
    }

    /// Returns true if the model needs another replica. A model without one needs exactly one,
    /// however many requests wait; a model whose replicas cannot keep up gets one more at a time.
    fn wants_replica(
        &self,
        model: &Name,
        demand: &DemandRecord,
        spec: &ModelSpec,
        now: MonotonicTime,
    ) -> bool {
        let replicas = self.servers.values().filter_map(|r| r.replicas.get(model));
        let (mut loading, mut ready, mut slots, mut in_flight) = (0_u32, 0_u32, 0_u32, 0_u32);
        for replica in replicas {
            match replica.stage {
                LifecycleStage::Loading => loading += 1,
                LifecycleStage::Ready => {
                    ready += 1;
                    slots += replica.slots;
                    in_flight += replica.in_flight;
                }
                LifecycleStage::Draining | LifecycleStage::Unloading => {}
            }
        }
        if loading > 0 || demand.waiting_count() == 0 {
            return false;
        }
        if ready == 0 {
            return true;
        }
        if demand.applied_version < demand.list_version {
            // The waiting requests were reported before their dispatcher knew the present replicas.
            return false;
        }
        let servable = self.servable_count(model, demand);
        let limit = f64::from(slots) * self.settings.scale_out_backlog;
        // Requests that wait while more than half of the slots are free can't use any present
        // replica.
        let stuck = servable > 0 && in_flight * 2 < slots;
        let waited = demand.waited(now) >= self.settings.scale_out_wait;
        let overloaded = f64::from(servable) > limit || stuck;
        ready < spec.max_replicas && overloaded && waited
    }

    /// Counts the waiting requests that a ready replica could serve if it had a free slot.
    fn servable_count(&self, model: &Name, demand: &DemandRecord) -> u32 {
        let servable = demand.waiting.iter().filter(|waiting| {
            let records = self.servers.values();
            let mut replicas = records.filter_map(|record| record.replicas.get(model));
            replicas.any(|replica| {
                replica.stage == LifecycleStage::Ready
                    && replica.has_adapter(waiting.adapter.as_ref())
            })
        });
        servable.map(|waiting| waiting.count).sum()
    }

    /// Returns the sort key of a load; the smallest is loaded first. Its parts are the priority
    /// class after ageing, the slack to the deadline, the account's open loads and the expected
    /// load time.
    fn load_rank(&self, candidate: &LoadCandidate) -> (u32, u64, usize, Duration) {
        let step = self.settings.ageing.as_millis().max(1);
        let aged = u32::try_from(candidate.waited.as_millis() / step).unwrap_or(u32::MAX);
        let class = (candidate.class as u32).saturating_sub(aged);
        let slack = candidate.deadline_in.checked_sub(candidate.expected);
        // A load that finishes too late for every waiting request comes after those that don't.
        let urgency = slack.map_or(u64::MAX, |slack| {
            slack.as_secs() / DEADLINE_BUCKET.as_secs()
        });
        let open = self.orders.values().filter(|order| {
            order.action == OrderAction::LoadModel && order.account == candidate.account
        });
        let left = candidate.expected.saturating_sub(candidate.waited);
        (class, urgency, open.count(), left)
    }

    // ---------------------------------------------------------------------------------------------
    // Placement

    /// Chooses a server for the load by the placement rule; `None` if no server can take it.
    fn place(
        &mut self,
        candidate: &LoadCandidate,
        spec: &ModelSpec,
        now: MonotonicTime,
    ) -> Option<Placement> {
        if let Some(placement) = self.claimed_placement(candidate, now) {
            return Some(placement);
        }
        let servers = self.servers.iter();
        let placements: Vec<_> = servers
            .filter(|(_, record)| record.may_load(&candidate.model, now))
            .filter_map(|(server, record)| self.placement(server, record, candidate, spec, now))
            .collect();
        match self.settings.placement {
            PlacementRule::Random => placements.choose(&mut self.rng).cloned(),
            PlacementRule::LeastLoaded => placements.into_iter().max_by_key(|p| p.free_bytes),
            PlacementRule::CacheAware => placements
                .into_iter()
                .min_by(|a, b| a.cost.total_cmp(&b.cost)),
        }
    }

    /// Returns the server on which memory is being freed for the model, if its memory still
    /// suffices.
    fn claimed_placement(
        &self,
        candidate: &LoadCandidate,
        now: MonotonicTime,
    ) -> Option<Placement> {
        let claim = self.claims.get(&candidate.model)?;
        let record = self.servers.get(&claim.server)?;
        let claimed = self.claimed_bytes(&claim.server, &candidate.model);
        let coming = record.free_bytes() + record.freeing_bytes();
        if !record.may_load(&candidate.model, now) || coming < claimed + claim.bytes {
            return None;
        }
        Some(Placement {
            server: claim.server.clone(),
            victims: Vec::new(),
            cost: 0.0,
            free_bytes: record.loadable_bytes(&candidate.model),
        })
    }

    /// Returns the bytes on a server that are set aside for other models.
    fn claimed_bytes(&self, server: &Name, model: &Name) -> u64 {
        let claims = self.claims.iter();
        let others = claims.filter(|(name, claim)| *name != model && claim.server == *server);
        others.map(|(_, claim)| claim.bytes).sum()
    }

    /// Evaluates a load on one server: the victims, and the cost in seconds as load time + value of
    /// the victims + drain time. `None` if too little memory can be freed.
    fn placement(
        &self,
        server: &Name,
        record: &ServerRecord,
        candidate: &LoadCandidate,
        spec: &ModelSpec,
        now: MonotonicTime,
    ) -> Option<Placement> {
        let claimed = self.claimed_bytes(server, &candidate.model);
        let coming = record.free_bytes() + record.freeing_bytes();
        let needed = (spec.bytes + claimed).saturating_sub(coming);
        let victims = self.victims(server, record, candidate, needed, now)?;
        let evicted: f64 = victims
            .iter()
            .filter_map(|victim| Some(self.value(record, victim, self.replica(victim)?, now)))
            .sum();
        let load = spec.load_times.at(record.cache_level(&candidate.model));
        let loadable = record.loadable_bytes(&candidate.model);
        let free_bytes = loadable.saturating_sub(claimed);
        let drain_s = if free_bytes < spec.bytes {
            DRAIN_COST_S
        } else {
            0.0
        };
        Some(Placement {
            server: server.clone(),
            victims,
            cost: load.as_secs_f64() + evicted + drain_s,
            free_bytes,
        })
    }

    // ---------------------------------------------------------------------------------------------
    // Eviction

    /// Returns the replicas to drain so that `needed` bytes become free, in the order of the
    /// eviction rule; `None` if that is impossible.
    fn victims(
        &self,
        server: &Name,
        record: &ServerRecord,
        candidate: &LoadCandidate,
        needed: u64,
        now: MonotonicTime,
    ) -> Option<Vec<ReplicaKey>> {
        if needed == 0 {
            return Some(Vec::new());
        }
        let drain_busy = candidate.waited >= self.settings.drain_busy_after;
        let replicas = record.replicas.iter();
        let mut evictable: Vec<_> = replicas
            .filter(|(model, replica)| self.is_evictable(model, replica, drain_busy, now))
            .collect();
        evictable.sort_by(|a, b| {
            let left = self.eviction_rank(server, record, a.0, a.1, now);
            let right = self.eviction_rank(server, record, b.0, b.1, now);
            left.total_cmp(&right)
        });
        let mut freed = 0;
        let mut victims = Vec::new();
        for (model, replica) in evictable {
            if freed >= needed {
                break;
            }
            freed += replica.total_bytes();
            victims.push(ReplicaKey {
                server: server.clone(),
                model: model.clone(),
            });
        }
        (freed >= needed).then_some(victims)
    }

    /// Returns true if the replica may be drained for another model: it is idle, nothing waits for
    /// it, and it was used or has been ready for the minimum residency. `drain_busy` also allows
    /// busy replicas.
    pub(crate) fn is_evictable(
        &self,
        model: &Name,
        replica: &ReplicaRecord,
        drain_busy: bool,
        now: MonotonicTime,
    ) -> bool {
        if replica.stage != LifecycleStage::Ready {
            return false;
        }
        let residency = now.since(replica.ready_at);
        let waiting = self.demands.get(model).map_or(0, |d| d.waiting_count());
        let fresh = !replica.used && residency < self.settings.min_residency;
        let idle = replica.is_idle() && waiting == 0 && !fresh;
        // A busy replica stays for 5 times the minimum residency, or two models would keep evicting
        // each other.
        let long_resident = residency >= self.settings.min_residency * 5;
        idle || (drain_busy && long_resident)
    }

    /// Returns the eviction order by the configured rule; the smallest is evicted first.
    fn eviction_rank(
        &self,
        server: &Name,
        record: &ServerRecord,
        model: &Name,
        replica: &ReplicaRecord,
        now: MonotonicTime,
    ) -> f64 {
        let key = ReplicaKey {
            server: server.clone(),
            model: model.clone(),
        };
        match self.settings.eviction {
            EvictionRule::LeastRecentlyUsed => replica.last_busy.since_origin().as_secs_f64(),
            EvictionRule::Value => self.value(record, &key, replica, now),
        }
    }

    /// Returns the expected cost of unloading the replica in seconds: probability of a request
    /// within [`REUSE_HORIZON`] × reload time.
    fn value(
        &self,
        record: &ServerRecord,
        key: &ReplicaKey,
        replica: &ReplicaRecord,
        now: MonotonicTime,
    ) -> f64 {
        let level = record.cache_level(&key.model);
        let spec = self.catalog.models.get(&key.model);
        let reload = spec.map_or(Duration::ZERO, |spec| spec.load_times.at(level));
        let idle = now.since(replica.last_busy);
        let demand = self.demands.get(&key.model);
        let history = demand.filter(|demand| demand.gaps.has_enough_samples());
        let probability = match history {
            _ if !replica.is_idle() => 1.0,
            Some(demand) => demand.gaps.reuse_probability(idle, REUSE_HORIZON),
            None => 1.0 / (1.0 + idle.as_secs_f64() / 10.0),
        };
        reload.as_secs_f64() * probability
    }
}
