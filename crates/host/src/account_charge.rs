//! Charges requests to client accounts: by what this host knows, by the coordinating host, or by its stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::ChargeRefusal;
use zinniahinge_serving::ChargeStep;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::Name;

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
    if let Some(decided) = ask_holder(state, account, cost).await {
        return decided;
    }
    if let Some(decided) = ask_stand_in(state, account, cost).await {
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
    cost: u64,
) -> Option<Result<(), ChargeRefusal>> {
    let holder = state.table.load().holder.clone()?;
    let request = request(state, account, cost);
    let reply = if holder.host == state.boot.host {
        state.link.cell.charge(&request, state)
    } else {
        ask(state, holder.address, &request).await
    };
    let FleetChargeReply::Holder { is_admitted, level } = reply else {
        return None;
    };
    let mut meter = state.meter();
    Some(meter.apply_holder_charge(account, cost, is_admitted, &level, state.now()))
}

/// Asks the host that would coordinate next.
async fn ask_stand_in(
    state: &HostState,
    account: &AccountSpec,
    cost: u64,
) -> Option<Result<(), ChargeRefusal>> {
    let (host, address) = stand_in(state)?;
    let request = request(state, account, cost);
    let reply = if host == state.boot.host {
        state.stand_in_charge(&request)
    } else {
        ask(state, address, &request).await
    };
    match reply {
        FleetChargeReply::StandIn {
            is_admitted: true, ..
        } => {
            let now = state.now();
            let mut meter = state.meter();
            meter.apply_stand_in_charge(&host, account, cost, now);
            Some(Ok(()))
        }
        FleetChargeReply::StandIn { again_in_ms, .. } => Some(Err(ChargeRefusal {
            again_in: Duration::from_millis(again_in_ms),
            missing: cost as f64,
            is_blind: true,
        })),
        FleetChargeReply::Holder { is_admitted, level } => {
            let now = state.now();
            let mut meter = state.meter();
            Some(meter.apply_holder_charge(account, cost, is_admitted, &level, now))
        }
        FleetChargeReply::Unknown => None,
    }
}

/// Tells the holder's stand-in that this host reaches no holder, so that accounts earn this host's share there.
pub(crate) async fn tell_stand_in(state: &HostState) {
    let Some((host, address)) = stand_in(state) else {
        return;
    };
    let request = FleetCharge {
        host: state.boot.host.clone(),
        account: "".into(),
        units: 0,
    };
    if host == state.boot.host {
        state.stand_in_charge(&request);
    } else {
        ask(state, address, &request).await;
    }
}

/// The host that would coordinate next, which stands in for the holder.
fn stand_in(state: &HostState) -> Option<(Name, SocketAddr)> {
    state.with_source(|source| {
        let holder = source.holder.as_ref().map(|holder| &holder.host);
        let order = source.duty_order();
        let stand_in = order.into_iter().find(|host| Some(host) != holder)?;
        let address = source.hosts.get(&stand_in)?.address;
        Some((stand_in, address))
    })
}

fn request(state: &HostState, account: &AccountSpec, cost: u64) -> FleetCharge {
    FleetCharge {
        host: state.boot.host.clone(),
        account: account.name.clone(),
        units: cost,
    }
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
