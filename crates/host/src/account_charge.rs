//! Charges requests to client accounts: by what this host knows, by the coordinating host, or by its stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::ChargeRefusal;
use zinniahinge_serving::ChargeStep;
use zinniahinge_types::AccountLevel;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::HostId;

use crate::host_state::HostState;

/// Charges a request of `cost` units.
pub(crate) async fn charge(
    state: &HostState,
    account: &AccountSpec,
    cost: u64,
) -> Result<(), ChargeRefusal> {
    let step = state.meter().begin_charge(account, cost, state.now());
    match step {
        ChargeStep::Admitted => return Ok(()),
        ChargeStep::Refused(refusal) => return Err(refusal),
        ChargeStep::Ask => {}
    }
    let request = FleetCharge {
        host: state.boot.host.clone(),
        account: account.name.clone(),
        units: cost,
    };
    if let Some(decided) = ask_holder(state, account, &request).await {
        return decided;
    }
    if let Some(decided) = ask_stand_in(state, account, &request).await {
        return decided;
    }
    let now = state.now();
    let mut meter = state.meter();
    meter.pause_asks(now);
    meter.charge(account, cost, now)
}

async fn ask_holder(
    state: &HostState,
    account: &AccountSpec,
    request: &FleetCharge,
) -> Option<Result<(), ChargeRefusal>> {
    let holder = state.table.load().holder.clone()?;
    let reply = if holder.host == state.boot.host {
        state.link.cell.charge(request, state)
    } else {
        ask(state, holder.address, request).await
    };
    match reply {
        FleetChargeReply::Holder { is_admitted, level } => {
            Some(apply_holder(state, account, request, is_admitted, &level))
        }
        FleetChargeReply::StandIn { .. } | FleetChargeReply::Unknown => None,
    }
}

/// Asks the host that would coordinate next.
async fn ask_stand_in(
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
            is_blind: true,
        })),
        FleetChargeReply::Holder { is_admitted, level } => {
            Some(apply_holder(state, account, request, is_admitted, &level))
        }
        FleetChargeReply::Unknown => None,
    }
}

fn apply_holder(
    state: &HostState,
    account: &AccountSpec,
    request: &FleetCharge,
    is_admitted: bool,
    level: &AccountLevel,
) -> Result<(), ChargeRefusal> {
    let now = state.now();
    let mut meter = state.meter();
    meter.apply_holder_charge(account, request.units, is_admitted, level, now)
}

/// Tells the holder's stand-in that this host reaches no holder, so that accounts earn this host's share there.
pub(crate) async fn tell_stand_in(state: &HostState) {
    let request = FleetCharge {
        host: state.boot.host.clone(),
        account: "".into(),
        units: 0,
    };
    send_to_stand_in(state, &request).await;
}

/// Sends to the host that would coordinate next; that host and its reply, if there is one.
async fn send_to_stand_in(
    state: &HostState,
    request: &FleetCharge,
) -> Option<(HostId, FleetChargeReply)> {
    let (host, address) = stand_in(state)?;
    let reply = if host == state.boot.host {
        state.stand_in_charge(request)
    } else {
        ask(state, address, request).await
    };
    Some((host, reply))
}

/// The host that would coordinate next, which stands in for the holder.
fn stand_in(state: &HostState) -> Option<(HostId, SocketAddr)> {
    state.with_source(|source| {
        let holder = source.holder.as_ref().map(|holder| &holder.host);
        let order = source.candidate_order();
        let stand_in = order.into_iter().find(|host| Some(host) != holder)?;
        let address = source.hosts.get(&stand_in)?.address;
        Some((stand_in, address))
    })
}

async fn ask(state: &HostState, address: SocketAddr, request: &FleetCharge) -> FleetChargeReply {
    match state.link.charge(address, request).await {
        Ok(reply) => reply,
        Err(error) => {
            info!(state.logger, "charge not decided"; "account" => &*request.account,
                "units" => request.units, "host" => %address, "error" => %error);
            FleetChargeReply::Unknown
        }
    }
}
