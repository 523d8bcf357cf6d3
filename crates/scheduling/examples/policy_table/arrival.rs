use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ACCOUNTS;
use crate::FLOODING_ACCOUNT;
use crate::MODELS;
use crate::RUN_MS;
use crate::SEED;

/// A simulated request.
pub struct Arrival {
    pub at_ms: u64,
    pub model: usize,
    pub account: usize,
    pub run_ms: u64,
    pub tokens: u64,
}

/// Returns the seeded arrivals. Model `n` gets bursts at random times, the fewer the larger `n` is.
/// In the second half hour one account sends five times its rate to the most used models, more than
/// all replicas that they may have can serve.
pub fn arrivals() -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    for model in 0..MODELS {
        let mean_gap_ms = 8_000.0 * (1.0 + model as f64).powf(1.3);
        let mut at_ms = exponential(&mut rng, mean_gap_ms);
        while at_ms < RUN_MS {
            let burst = rng.random_range(1..8);
            for _ in 0..burst {
                let account = rng.random_range(0..ACCOUNTS);
                arrivals.push(arrival(&mut rng, at_ms, model, account));
            }
            at_ms += exponential(&mut rng, mean_gap_ms).max(1);
        }
    }
    let mut at_ms = RUN_MS / 2;
    while at_ms < RUN_MS {
        let model = rng.random_range(0..3);
        arrivals.push(arrival(&mut rng, at_ms, model, FLOODING_ACCOUNT));
        at_ms += exponential(&mut rng, 25.0).max(1);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

fn arrival(rng: &mut StdRng, at_ms: u64, model: usize, account: usize) -> Arrival {
    let run_ms = 300 + exponential(rng, 2000.0);
    Arrival {
        at_ms,
        model,
        account,
        run_ms,
        tokens: run_ms / 10,
    }
}

fn exponential(rng: &mut StdRng, mean: f64) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean) as u64
}
