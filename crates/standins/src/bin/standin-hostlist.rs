//! The platform's host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use miette::Result;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::HostList;
use zinniahinge_standins::StandInServer;

/// Host list for tests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Time until readers see a change, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags().run();
    let faults = Arc::new(FaultSet::new(HostList::FAULTS));
    let service = HostList::new(Duration::from_millis(flags.lag_ms));
    let handler = move |request| service.clone().handle(request);
    let server = StandInServer::start(flags.listen, faults, handler).await;
    server
        .into_diagnostic()?
        .run_until_signal()
        .await
        .into_diagnostic()
}
