use std::collections::BTreeMap;
use std::time::Duration;

/// A request that waited for a load.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdRequest {
    /// Base model.
    pub model: String,
    /// Planned time of sending, from the start of the run.
    pub arrived: Duration,
    /// When the first token came, from the start of the run.
    pub served: Duration,
}

/// Weight store that loads at full speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreBound {
    /// Loads per second.
    pub loads_per_second: f64,
    /// Loads at once.
    pub at_once: usize,
    /// Time of one load at full speed.
    pub load_time: Duration,
}

/// Lower bound of each request's wait, in the order of arrival: one load per cold period of a model,
/// in the order of the first requests, each started as soon as its permit is due and a place is free.
///
/// A cold period of a model begins with its first cold request and ends when that was served. The
/// bound knows nothing of memory, placement or messages. It keeps the order of arrival, so a better
/// order can beat it for single requests.
pub fn cold_bounds(requests: &[ColdRequest], store: &StoreBound) -> Vec<Duration> {
    let mut requests: Vec<&ColdRequest> = requests.iter().collect();
    requests.sort_by_key(|request| request.arrived);
    let interval = Duration::from_secs_f64(1.0 / store.loads_per_second);
    let mut next_permit = Duration::ZERO;
    let mut running: Vec<Duration> = Vec::new();
    // Per model: end of the load, and time at which the first request was served.
    let mut periods: BTreeMap<&str, [Duration; 2]> = BTreeMap::new();
    let mut bounds = Vec::with_capacity(requests.len());
    for request in requests {
        let known = periods.get(&*request.model);
        let known = known.filter(|[_, served]| request.arrived <= *served);
        let loaded = match known {
            Some([loaded, _]) => *loaded,
            None => {
                let mut start = request.arrived.max(next_permit);
                running.retain(|end| *end > start);
                if running.len() >= store.at_once {
                    start = running.iter().copied().min().unwrap_or(start);
                    running.retain(|end| *end > start);
                }
                next_permit = start + interval;
                let end = start + store.load_time;
                running.push(end);
                periods.insert(&request.model, [end, request.served]);
                end
            }
        };
        bounds.push(loaded.saturating_sub(request.arrived));
    }
    bounds
}
