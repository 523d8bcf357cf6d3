//! Charges requests to client accounts: from the levels that this host knows, at the coordinator, or at its stand-in.
//!
//! The stand-in is the host that would coordinate next. It decides while the coordinator does not reply.

use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::ChargeDecision;
use zinniahinge_serving::ChargeRefusal;
use zinniahinge_types::AccountLevel;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::HostId;

use crate::host_state::HostState;

/// Charges a request of `cost` units to `account`; the error says when it could be admitted.
///
/// If this host's levels don't decide it, the coordinator is asked, then its stand-in. If neither replies, this host
/// decides alone and asks neither of them for a while.
pub(crate) async fn charge(
    state: &HostState,
    account: &AccountSpec,
    cost: u64,
) -> Result<(), ChargeRefusal> {
    let step = state.meter().begin_charge(account, cost, state.now());
    match step {
        ChargeDecision::Admitted => return Ok(()),
        ChargeDecision::Refused(refusal) => return Err(refusal),
        ChargeDecision::Ask => {}
    }
    let request = FleetCharge {
        host: state.startup.host.clone(),
        account: account.name.clone(),
        units: cost,
    };
    if let Some(decided) = charge_at_coordinator(state, account, &request).await {
        return decided;
    }
    if let Some(decided) = charge_at_stand_in(state, account, &request).await {
        return decided;
    }
    let now = state.now();
    let mut meter = state.meter();
    meter.pause_coordinator_calls(now);
    meter.charge(account, cost, now)
}

/// Charges at the coordinator; `None` if none is known or it did not decide.
async fn charge_at_coordinator(
    state: &HostState,
    account: &AccountSpec,
    request: &FleetCharge,
) -> Option<Result<(), ChargeRefusal>> {
    if state.misses_coordinator() {
        return None;
    }
    let holder = state.table.load().holder.clone()?;
    let reply = if holder.host == state.startup.host {
        state.link.cell.charge(request, state)
    } else {
        request_charge(state, holder.address, request).await?
    };
    match reply {
        FleetChargeReply::Holder { is_admitted, level } => Some(apply_coordinator_reply(
            state,
            account,
            request,
            is_admitted,
            &level,
        )),
        FleetChargeReply::StandIn { .. } | FleetChargeReply::Unknown => None,
    }
}

/// Charges at the coordinator's stand-in; `None` if there is none or it did not decide.
async fn charge_at_stand_in(
    state: &HostState,
    account: &AccountSpec,
    request: &FleetCharge,
) -> Option<Result<(), ChargeRefusal>> {
    let (host, reply) = send_to_stand_in(state, request).await?;
    match reply {
        FleetChargeReply::StandIn {
            is_admitted: true, ..
        } => {
            let now = state.now();
            let mut meter = state.meter();
            meter.apply_stand_in_charge(&host, account, request.units, now);
            Some(Ok(()))
        }
        FleetChargeReply::StandIn { again_in_ms, .. } => Some(Err(ChargeRefusal {
            again_in: Duration::from_millis(again_in_ms),
            missing: request.units as f64,
            is_local_share: true,
        })),
        FleetChargeReply::Holder { is_admitted, level } => Some(apply_coordinator_reply(
            state,
            account,
            request,
            is_admitted,
            &level,
        )),
        FleetChargeReply::Unknown => None,
    }
}

/// Records the coordinator's decision and the account level that came with it.
fn apply_coordinator_reply(
    state: &HostState,
    account: &AccountSpec,
    request: &FleetCharge,
    is_admitted: bool,
    level: &AccountLevel,
) -> Result<(), ChargeRefusal> {
    let now = state.now();
    let mut meter = state.meter();
    meter.apply_coordinator_charge(account, request.units, is_admitted, level, now)
}

/// Tells the stand-in that this host reaches no coordinator, so that accounts earn this host's share of their rate
/// there.
///
/// Called after each report that no coordinator answered. The charge of 0 units to no account serves as the notice.
pub(crate) async fn notify_stand_in(state: &HostState) {
    let request = FleetCharge {
        host: state.startup.host.clone(),
        account: "".into(),
        units: 0,
    };
    send_to_stand_in(state, &request).await;
}

/// Sends a charge to the coordinator's stand-in; returns that host and its reply, or `None` without a stand-in.
async fn send_to_stand_in(
    state: &HostState,
    request: &FleetCharge,
) -> Option<(HostId, FleetChargeReply)> {
    let (host, address) = find_stand_in(state)?;
    if host == state.startup.host {
        return Some((host, state.stand_in_charge(request)));
    }
    let reply = request_charge(state, address, request).await;
    let mut silent = state.silent_hosts();
    match &reply {
        Some(_) => silent.record_answer(&host),
        None => silent.record_silence(&host, state.now()),
    }
    drop(silent);
    Some((host, reply?))
}

/// Returns the first host in line for coordinating that answers and doesn't coordinate now, and its address.
fn find_stand_in(state: &HostState) -> Option<(HostId, SocketAddr)> {
    let order = state.answering_candidates();
    state.with_source(|source| {
        let holder = source.holder.as_ref().map(|holder| &holder.host);
        let stand_in = order.into_iter().find(|host| Some(host) != holder)?;
        let address = source.hosts.get(&stand_in)?.address;
        Some((stand_in, address))
    })
}

/// Sends a charge to another host; `None` if it did not reply.
async fn request_charge(
    state: &HostState,
    address: SocketAddr,
    request: &FleetCharge,
) -> Option<FleetChargeReply> {
    match state.link.charge(address, request).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            info!(state.logger, "host did not answer a charge request"; "account" => &*request.account,
                "units" => request.units, "host" => %address, "error" => %error);
            None
        }
    }
}
