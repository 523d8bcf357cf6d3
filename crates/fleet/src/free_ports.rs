use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use crate::FleetError;
use crate::fleet_error::Result;

/// Ports that are given out. They lie below the usual range of ports that the system gives to outgoing connections;
/// a port from that range could be taken by any connection between the check and the start of its program.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

/// Ports given out so far, from a random start, so that fleets of one process never get the same port and those of
/// several processes hardly ever.
static NEXT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random()));

/// Loopback addresses with `count` different ports that are free at the time of the call.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let candidates = (0..PORT_COUNT).map(|_| {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset))
    });
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
    let addresses: Vec<SocketAddr> = candidates.filter(is_free).take(count).collect();
    if addresses.len() < count {
        return Err(FleetError::NoPorts { count });
    }
    Ok(addresses)
}
