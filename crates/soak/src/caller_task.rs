use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerAnswer;
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

/// Share of refused requests that the caller sends once more under their id, to the same host.
const REPEAT_SHARE: f64 = 0.6;

/// Longest time after which a caller comes back, as the host asks; from the platform's protocol, which allows a third of the
/// time left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Makes the draws of repeats differ from the others'.
const REPEAT_SALT: u64 = 0xa076_1d64_78bd_642f;

/// Share of requests at which the caller leaves early.
const LEAVING_SHARE: f64 = 0.05;

/// Sends requests until `until`, each on the kept connection as long as that lasts.
pub(crate) async fn call(
    world: Arc<SoakWorld>,
    number: usize,
    seed: u64,
    until: Instant,
) -> Vec<CallerRecord> {
    let seed = seed ^ ((number as u64 + 1) << 32);
    let mut random = StdRng::seed_from_u64(seed);
    let mut repeat_random = StdRng::seed_from_u64(seed ^ REPEAT_SALT);
    let mut records = Vec::new();
    let mut connection: Option<(Caller, usize)> = None;
    let mut repeat: Option<(RequestKind, CallerRequest)> = None;
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
        let (kind, request) = match repeat.take() {
            Some(refused) => refused,
            None => {
                count += 1;
                draw_request(&mut random, &format!("c{number}-{count}"))
            }
        };
        let sent_at = Instant::now();
        let patience = if random.random_bool(LEAVING_SHARE) {
            Duration::from_millis(random.random_range(1..60))
        } else {
            Duration::from_millis(request.deadline_ms) + EXTRA_WAIT
        };
        let asked = tokio::time::timeout(patience, caller.ask(&request)).await;
        let answer = asked.ok().and_then(|asked| asked.ok());
        let ended_at = Instant::now();
        let is_kept = answer.as_ref().is_some_and(|answer| answer.body.is_some());
        let retry_after = answer.as_ref().and_then(retry_after);
        records.push(CallerRecord {
            id: request.id.clone(),
            kind,
            host: world.hosts[host].name.clone(),
            key: request.key.unwrap_or_default(),
            sent_at,
            ended_at,
            answer,
        });
        if is_kept && random.random_bool(0.95) {
            connection = Some((caller, host));
            if let Some(pause) = retry_after
                && repeat_random.random_bool(REPEAT_SHARE)
            {
                repeat = Some((kind, request));
                tokio::time::sleep(pause).await;
                continue;
            }
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..60))).await;
    }
    records
}

/// When the caller may send a request again that has not run.
fn retry_after(answer: &CallerAnswer) -> Option<Duration> {
    let pause = Duration::try_from_secs_f64(answer.retry_after.unwrap_or_default()).ok()?;
    let is_refused = matches!(answer.status, Some(429 | 503));
    (is_refused && pause <= MAX_RETRY_AFTER).then_some(pause)
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
