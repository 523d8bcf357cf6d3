use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use crate::fleet_error::Result;
use crate::fleet_error::system;

/// Loopback addresses with `count` different ports that are free at the time of the call.
///
/// Another process may take one before it is used; the program that gets it then fails to start
/// and [`wait_ready`](crate::Fleet::wait_ready) shows its log.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    // All are held until the last one is bound, so that no port comes twice.
    let listeners: Vec<TcpListener> = (0..count)
        .map(bind)
        .collect::<std::io::Result<_>>()
        .map_err(system("bind a free port"))?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<std::io::Result<_>>()
        .map_err(system("read a bound port"))
}
