//! The authority state machines of this process behind one lock.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use zinniahinge_authority::AssignmentPlanner;
use zinniahinge_authority::AuthoritySettings;
use zinniahinge_authority::GuardianWatch;
use zinniahinge_authority::HostAuthority;
use zinniahinge_authority::MemberTable;
use zinniahinge_authority::StagedShards;
use zinniahinge_telemetry::BootClock;
use zinniahinge_types::HostAddress;
use zinniahinge_types::HostId;
use zinniahinge_types::Incarnation;
use zinniahinge_types::MonotonicTime;

use crate::authority_gate::AuthorityGate;
use crate::authority_gate::OwnedShards;

/// Who this process is.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Host.
    pub host: HostId,
    /// Where the host's processes listen.
    pub address: HostAddress,
    /// Times of the authority protocol.
    pub settings: AuthoritySettings,
}

/// State machines of one incarnation.
pub struct MemberCore {
    /// Run of this process; changes when it rejoins after it was declared dead.
    pub incarnation: Incarnation,
    /// Own authority.
    pub authority: HostAuthority,
    /// Hosts that this one watches.
    pub guardian: GuardianWatch,
    /// Host records.
    pub members: MemberTable,
    /// Assignment of shards.
    pub planner: AssignmentPlanner,
    /// State received from present owners.
    pub staged: StagedShards,
}

impl MemberCore {
    fn new(identity: &HostIdentity, incarnation: Incarnation, members: MemberTable) -> Self {
        let HostIdentity {
            host,
            address,
            settings,
        } = identity.clone();
        Self {
            incarnation,
            authority: HostAuthority::new(host.clone(), incarnation, address, settings),
            guardian: GuardianWatch::new(settings),
            members,
            planner: AssignmentPlanner::new(host, incarnation, settings),
            staged: StagedShards::new(incarnation),
        }
    }
}

/// Owner of the [`MemberCore`]; keeps the [`AuthorityGate`] in step with it.
pub struct MemberCell {
    /// Who this process is.
    pub identity: HostIdentity,
    /// What the request path reads.
    pub gate: AuthorityGate,
    clock: BootClock,
    core: Mutex<MemberCore>,
}

impl MemberCell {
    /// Starts with `incarnation`.
    pub fn new(identity: HostIdentity, incarnation: Incarnation, clock: BootClock) -> Self {
        let core = Mutex::new(MemberCore::new(&identity, incarnation, MemberTable::new()));
        Self {
            identity,
            gate: AuthorityGate::default(),
            clock,
            core,
        }
    }

    /// Changes the core at the present time and publishes the result to the gate.
    pub fn update<T>(&self, change: impl FnOnce(&mut MemberCore, MonotonicTime) -> T) -> T {
        let mut core = self.lock();
        let result = change(&mut core, self.clock.now());
        self.publish(&core);
        result
    }

    /// Reads the core.
    pub fn read<T>(&self, query: impl FnOnce(&MemberCore, MonotonicTime) -> T) -> T {
        query(&self.lock(), self.clock.now())
    }

    /// Starts a new incarnation after this one was declared dead. All shards are lost.
    pub fn rejoin(&self, above: Incarnation) {
        let mut core = self.lock();
        let incarnation = above.max(core.incarnation) + 1;
        let members = std::mem::take(&mut core.members);
        *core = MemberCore::new(&self.identity, incarnation, members);
        self.publish(&core);
    }

    /// Present time.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    fn publish(&self, core: &MemberCore) {
        let MemberCore {
            authority, planner, ..
        } = core;
        self.gate.set_until(authority.authority_until());
        let revision = planner.assignment().map_or(0, |(revision, _)| revision);
        let may_act = |shard| planner.fencing_number(shard, true).is_some();
        self.gate.set_shards(OwnedShards::new(revision, may_act));
    }

    fn lock(&self) -> MutexGuard<'_, MemberCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
