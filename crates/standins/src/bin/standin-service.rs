//! Plain service with lookups and bookings.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use miette::Result;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::PlainService;
use zinniahinge_standins::PlainSettings;
use zinniahinge_standins::StandInServer;

/// Plain service for tests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Requests that run at once
    #[bpaf(argument("COUNT"), fallback(64))]
    slots: u32,
    /// Time of a lookup, in milliseconds
    #[bpaf(argument("MS"), fallback(1))]
    lookup_ms: u64,
    /// Time of a booking, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    booking_ms: u64,
    /// Print each booking as `ran BODY`: on or off
    #[bpaf(argument("MODE"), fallback(PrintMode::Off))]
    print_runs: PrintMode,
}

/// Value of a flag that is on or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PrintMode {
    On,
    Off,
}

impl FromStr for PrintMode {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Self, String> {
        match s {
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(format!("{s} is neither on nor off")),
        }
    }
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags().run();
    let faults = Arc::new(FaultSet::new(PlainService::FAULTS));
    let service = PlainService::new(PlainSettings {
        slots: flags.slots,
        lookup_time: Duration::from_millis(flags.lookup_ms),
        booking_time: Duration::from_millis(flags.booking_ms),
        print_runs: flags.print_runs == PrintMode::On,
    });
    let handler = move |request| service.clone().handle(request);
    let server = StandInServer::start(flags.listen, faults, handler).await;
    server
        .into_diagnostic()?
        .run_until_signal()
        .await
        .into_diagnostic()
}
