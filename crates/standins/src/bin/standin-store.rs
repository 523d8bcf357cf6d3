//! Rate-limited weight store.

use std::net::SocketAddr;
use std::sync::Arc;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use miette::Result;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::StandInServer;
use zinniahinge_standins::StoreSettings;
use zinniahinge_standins::WeightStore;

/// Weight store for tests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Loads that finish per second at most
    #[bpaf(argument("RATE"), fallback(1.5))]
    loads_per_second: f64,
    /// Loads that run at full speed at once
    #[bpaf(argument("COUNT"), fallback(4))]
    at_once: u64,
    /// Size for which the rate holds; without it any size
    #[bpaf(argument("BYTES"), optional)]
    nominal_bytes: Option<u64>,
    /// Adapter loads that run at full speed at once
    #[bpaf(argument("COUNT"), fallback(30))]
    adapters_at_once: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags().run();
    let faults = Arc::new(FaultSet::new(WeightStore::FAULTS));
    let settings = StoreSettings {
        loads_per_second: flags.loads_per_second,
        at_once: flags.at_once,
        nominal_bytes: flags.nominal_bytes,
        adapters_at_once: flags.adapters_at_once,
        ..StoreSettings::default()
    };
    let service = WeightStore::new(settings, faults.clone());
    let handler = move |request| service.clone().handle(request);
    let server = StandInServer::start(flags.listen, faults, handler).await;
    server
        .into_diagnostic()?
        .run_until_signal()
        .await
        .into_diagnostic()
}
