use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How requests arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivalSettings {
    /// Mean rate, requests per second.
    pub rate: f64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Number of choices, for example models.
    pub choices: usize,
    /// Exponent of the Zipf distribution over the choices; 0 makes all equally frequent.
    pub zipf_exponent: f64,
    /// Seed. The same settings give the same plan.
    pub seed: u64,
}

/// One planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedArrival {
    /// When to send it, from the start.
    pub offset: Duration,
    /// Index of the choice; 0 is the most frequent one.
    pub choice: usize,
}

/// Poisson arrivals with choices by a Zipf distribution, in the order of time.
pub fn plan_arrivals(settings: &ArrivalSettings) -> Vec<PlannedArrival> {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let bounds = cumulative_weights(settings.choices, settings.zipf_exponent);
    let end_s = settings.duration.as_secs_f64();
    let mut arrivals = Vec::new();
    let mut offset_s = 0.0;
    if settings.rate <= 0.0 || settings.choices == 0 {
        return arrivals;
    }
    loop {
        // 1 - random is above 0, where the logarithm is finite.
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / settings.rate;
        offset_s += gap_s;
        if offset_s >= end_s {
            return arrivals;
        }
        let point = rng.random::<f64>() * bounds[bounds.len() - 1];
        let choice = bounds.partition_point(|bound| *bound <= point);
        arrivals.push(PlannedArrival {
            offset: Duration::from_secs_f64(offset_s),
            choice: choice.min(settings.choices - 1),
        });
    }
}

fn cumulative_weights(choices: usize, exponent: f64) -> Vec<f64> {
    let weights = (1..=choices).map(|rank| (rank as f64).powf(-exponent));
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}
