//! In-memory key-value service with the JSON gateway of etcd v3.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use miette::Result;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::KvService;
use zinniahinge_standins::KvServiceSettings;
use zinniahinge_standins::StandInServer;

/// Key-value service for tests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Changes that are kept for watches
    #[bpaf(argument("COUNT"), fallback(10_000))]
    history: usize,
    /// Interval of progress messages on idle watches, in milliseconds
    #[bpaf(argument("MS"), fallback(600_000))]
    progress_interval_ms: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags().run();
    let faults = Arc::new(FaultSet::new(KvService::FAULTS));
    let settings = KvServiceSettings {
        history_limit: flags.history,
        progress_interval: Duration::from_millis(flags.progress_interval_ms),
    };
    let service = KvService::new(settings, faults.clone());
    let handler = move |request| service.clone().handle(request);
    let server = StandInServer::start(flags.listen, faults, handler).await;
    server
        .into_diagnostic()?
        .run_until_signal()
        .await
        .into_diagnostic()
}
