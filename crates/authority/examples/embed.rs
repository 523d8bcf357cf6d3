//! Runs one host in a loop: it joins, acquires all shards and stops by plan. The key-value service
//! is a record in memory, and time is simulated; a real program sends the actions over the network.

use zinniahinge_authority::AssignmentAction;
use zinniahinge_authority::AssignmentPlanner;
use zinniahinge_authority::AuthoritySettings;
use zinniahinge_authority::HostAction;
use zinniahinge_authority::HostAuthority;
use zinniahinge_authority::HostPhase;
use zinniahinge_authority::MemberTable;
use zinniahinge_authority::Result;
use zinniahinge_authority::WriteOutcome;
use zinniahinge_types::HostAddress;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

const TICK_MS: u64 = 50;
const STOP_MS: u64 = 5_000;

fn main() -> Result<()> {
    let settings = AuthoritySettings::default().check()?;
    let id: HostId = "host-1".into();
    let address = HostAddress {
        control: "127.0.0.1:7000".into(),
        place: "wien-a".into(),
        region: "at-east".into(),
    };
    let mut host = HostAuthority::new(id.clone(), 1, address, settings);
    let mut planner = AssignmentPlanner::new(id.clone(), 1, settings);
    let mut members = MemberTable::new();
    members.load(0, [])?;
    let mut revision = 0;

    for tick in 0_u64.. {
        let now = MonotonicTime::from_millis(tick * TICK_MS);
        for action in host.tick(now, &members) {
            match action {
                HostAction::ReadRecord => host.record_observed(revision, None, now),
                HostAction::WriteRecord {
                    renewal, record, ..
                } => {
                    revision += 1;
                    host.write_finished(renewal, WriteOutcome::Written { revision }, now);
                    members.observe(id.clone(), revision, Some(record))?;
                }
                // The only host of a fleet has no guardian and renews by writing its record.
                HostAction::SendHeartbeat { .. }
                | HostAction::Rejoin { .. }
                | HostAction::Stopped => {}
            }
        }
        for action in planner.tick(&host.local_status(now), &members, now) {
            match action {
                AssignmentAction::ReadAssignment => {
                    planner.assignment_observed(0, Default::default());
                }
                AssignmentAction::WriteAssignment {
                    expected,
                    assignment,
                    ..
                } => {
                    revision += 1;
                    let outcome = WriteOutcome::Written { revision };
                    planner.write_finished(expected, assignment, outcome, now);
                }
                // Freeze the shard, send its state, then report `state_staged`.
                AssignmentAction::HandOver { .. } => {}
            }
        }
        for acquired in planner.take_acquired() {
            println!(
                "{now:?}: acquired shard {} at revision {}",
                acquired.shard, acquired.revision
            );
        }
        if tick * TICK_MS == STOP_MS {
            let fencing_number = planner.fencing_number(0, host.has_authority(now));
            println!("{now:?}: acts for shard 0 under fencing number {fencing_number:?}");
            host.stop();
        }
        if host.phase() == HostPhase::Stopped {
            println!("{now:?}: stopped");
            break;
        }
    }
    Ok(())
}
