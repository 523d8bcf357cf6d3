use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;

use crate::CallerRecord;
use crate::RequestKind;
use crate::soak_world::KEPT_KEY;
use crate::soak_world::SoakWorld;
use crate::soak_world::TURNED_KEY;
use crate::soak_world::locked;

/// Time that a caller waits beyond its deadline before it drops the connection.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);

/// Time for a new connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Pause after a connection that could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Share of requests at which the caller leaves early.
const LEAVING_SHARE: f64 = 0.05;

/// Sends requests until `until`, each on the kept connection as long as that lasts.
pub(crate) async fn call(
    world: Arc<SoakWorld>,
    number: usize,
    seed: u64,
    until: Instant,
) -> Vec<CallerRecord> {
    let mut random = StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
    let mut records = Vec::new();
    let mut connection: Option<(Caller, usize)> = None;
    let mut count = 0;
    while Instant::now() < until {
        let (mut caller, host) = match connection.take() {
            Some(kept) => kept,
            None => {
                let host = random.random_range(0..world.hosts.len());
                let address = *locked(&world.hosts[host].callers);
                match tokio::time::timeout(CONNECT_TIME, Caller::connect(address)).await {
                    Ok(Ok(caller)) => (caller, host),
                    // The host is down or paused; the next try goes to any host.
                    Ok(Err(_)) | Err(_) => {
                        tokio::time::sleep(RECONNECT_PAUSE).await;
                        continue;
                    }
                }
            }
        };
        count += 1;
        let (kind, request) = draw_request(&mut random, &format!("c{number}-{count}"));
        let sent_at = Instant::now();
        let patience = if random.random_bool(LEAVING_SHARE) {
            Duration::from_millis(random.random_range(1..60))
        } else {
            Duration::from_millis(request.deadline_ms) + EXTRA_WAIT
        };
        let asked = tokio::time::timeout(patience, caller.ask(&request)).await;
        let answer = asked.ok().and_then(|asked| asked.ok());
        let is_kept = answer.as_ref().is_some_and(|answer| answer.body.is_some());
        records.push(CallerRecord {
            id: request.id,
            kind,
            host: world.hosts[host].name.clone(),
            key: request.key.unwrap_or_default(),
            sent_at,
            answer,
        });
        if is_kept && random.random_bool(0.95) {
            connection = Some((caller, host));
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..60))).await;
    }
    records
}

fn draw_request(random: &mut StdRng, id: &str) -> (RequestKind, CallerRequest) {
    const MODELS: [&str; 6] = ["m1", "m2", "m3", "m1/a1", "m2/a2", "m3/a3"];
    let (kind, path) = match random.random_range(0..10) {
        0..3 => (RequestKind::Repeatable, "/app/x"),
        3..6 => (RequestKind::Once, "/book/x"),
        6..8 => (RequestKind::Stream, "/llm/stream/x"),
        _ => (RequestKind::ResumableStream, "/resume/stream/x"),
    };
    let mut request = CallerRequest::new(id, path);
    request.deadline_ms = random.random_range(800..5_000);
    if kind.is_stream() {
        request.model = Some(MODELS[random.random_range(0..MODELS.len())]);
    }
    let key = if random.random_bool(0.3) {
        TURNED_KEY
    } else {
        KEPT_KEY
    };
    request.key = Some(key);
    if random.random_bool(0.1) {
        request.forge_system_headers();
    }
    (kind, request)
}
