//! Random runs of three simulated hosts under delay, loss, duplication, pauses, crashes, restarts
//! and outages of the key-value service. Each step of [`World::run`] checks the properties of the
//! specification in `spec/`.

mod world;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use world::HOSTS;
use world::World;

/// Number of steps without faults, 30 s, within which all hosts get authority and all shards an
/// owner.
const RECOVERY_STEPS: u64 = 600;

/// Change to the simulated world, most of them faults.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Runs this number of steps without a change.
    Run(u64),
    /// Pauses a host's process for this number of steps.
    Pause(usize, u64),
    /// Ends a host's process.
    Kill(usize),
    /// Replaces a host's process by a new one with the next incarnation.
    Restart(usize),
    /// Begins a planned stop of a host.
    Stop(usize),
    /// Brings the key-value service up or down.
    Service(bool),
    /// Sets whether a host is cut off from the key-value service, and whether from other hosts.
    CutOff(usize, bool, bool),
    /// Sets the probability, per mille, that a message is lost, duplicated or delayed.
    Loss(u64),
}

/// Reference state of the property test. It holds only the random seed, because the properties must
/// hold whatever the faults are.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    seed: u64,
}

impl ReferenceStateMachine for FaultPlan {
    type State = Self;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<Self::State> {
        any::<u64>().prop_map(|seed| Self { seed }).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        prop_oneof![
            6 => (10..120_u64).prop_map(Fault::Run),
            3 => (0..HOSTS, 20..200_u64).prop_map(|(id, steps)| Fault::Pause(id, steps)),
            1 => (0..HOSTS).prop_map(Fault::Kill),
            2 => (0..HOSTS).prop_map(Fault::Restart),
            1 => (0..HOSTS).prop_map(Fault::Stop),
            2 => any::<bool>().prop_map(Fault::Service),
            4 => (0..HOSTS, any::<bool>(), any::<bool>()).prop_map(|(id, kv, peers)| Fault::CutOff(id, kv, peers)),
            2 => (0..300_u64).prop_map(Fault::Loss),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = FaultPlan;

    fn init_test(plan: &FaultPlan) -> Self {
        let mut world = Self::new(plan.seed);
        world.run(100);
        world.check_progress();
        world
    }

    fn apply(mut world: Self, _: &FaultPlan, fault: Fault) -> Self {
        match fault {
            Fault::Run(steps) => world.run(steps),
            Fault::Pause(id, steps) => {
                world.nodes[id].paused = true;
                world.run(steps);
                world.nodes[id].paused = false;
                // The resumed host may use its shards before anything else happens.
                world.check();
                world.run(1);
            }
            Fault::Kill(id) => world.kill(id),
            Fault::Restart(id) => world.restart(id),
            Fault::Stop(id) => world.nodes[id].authority.leave(),
            Fault::Service(up) => world.service_up = up,
            Fault::CutOff(id, service, peers) => {
                world.nodes[id].is_cut_off_from_service = service;
                world.nodes[id].is_cut_off_from_peers = peers;
            }
            Fault::Loss(per_mille) => world.loss_per_mille = per_mille,
        }
        world
    }

    fn teardown(mut world: Self, _: FaultPlan) {
        world.service_up = true;
        world.loss_per_mille = 0;
        // While only one host runs, dead hosts may form a guardian cycle, which their restart
        // resolves.
        for id in 0..HOSTS {
            world.nodes[id].is_cut_off_from_service = false;
            world.nodes[id].is_cut_off_from_peers = false;
            if !world.nodes[id].running
                || world.nodes[id]
                    .authority
                    .local_status(world.now(id))
                    .leaving
            {
                world.restart(id);
            }
        }
        world.run(RECOVERY_STEPS);
        world.check_progress();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        max_shrink_iters: 200,
        .. Config::default()
    })]

    /// Guards against two hosts that act for a shard at once, a tombstoned incarnation that acts, a
    /// successor that resumes from old state, and a fleet that does not recover.
    #[test]
    fn properties_hold_under_faults(sequential 5..40 => World);
}
