use std::collections::HashMap;

use zinniahinge_types::BackendRun;
use zinniahinge_types::Name;
use zinniahinge_types::RunTimes;

/// Work of usual speed that each run is assumed to have done at first, seconds: that of one or two answers. A single
/// sample then changes the learned factor little.
const PRIOR_S: f64 = 0.2;

/// Work by which a factor is learned, seconds. Older work loses its weight.
const MEMORY_S: f64 = 30.0;

/// Work over which the average of one kind is taken, seconds.
const KIND_MEMORY_S: f64 = 300.0;

/// Work from which a factor of an earlier coordinator is taken to come, seconds.
const ASSUMED_S: f64 = 5.0;

/// Largest ratio of a sample to what the learned factor lets expect, or the other way round. Requests that were preempted, met
/// a stall or a moment of a busy machine say little about a server's speed.
const MAX_SURPRISE: f64 = 2.0;

/// Power to which a run's factor counts in the average of work that it does. Below 1, a factor that only the run's own models
/// support returns to the average, instead of wandering with chance.
const KEPT_FACTOR: f64 = 0.8;

/// Largest factor, and the inverse of the smallest.
const MAX_RATIO: f64 = 4.0;

/// Relative change from which a factor is sent to hosts again.
const CHANGE_SHARE: f64 = 0.1;

/// How fast the runs of backend servers are, relative to the average of their service. Kept by the coordinator, from the
/// times that all hosts measure.
///
/// Load pattern: machines of several kinds in one service. One host alone sends a server a request now and then, too few to tell a
/// slow server from an unlucky request.
#[derive(Debug, Default)]
pub struct RunSpeeds {
    /// Averages by service and model.
    averages: HashMap<(Name, Option<Name>), WorkAverage>,
    /// All work by service; its quotient is the mean factor.
    services: HashMap<Name, WorkSum>,
    runs: HashMap<Name, RunSpeed>,
}

/// A learned speed that differs much from the one that was published before.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Backend server.
    pub backend: Name,
    /// Time that work takes, in percent of the average.
    pub percent: u32,
    /// The same as published before.
    pub percent_before: u32,
}

/// Work of one kind over all runs, and its time on a server of average speed.
#[derive(Debug, Default)]
struct WorkAverage {
    units: f64,
    time_s: f64,
}

/// Work with the time that it took and the time that it takes on a server of average speed, seconds.
#[derive(Debug, Default)]
struct WorkSum {
    taken_s: f64,
    usual_s: f64,
}

#[derive(Debug)]
struct RunSpeed {
    born_ms: u64,
    work: WorkSum,
    published: f64,
}

impl RunSpeeds {
    /// Applies the times that one host measured; returns the run's factor if it changed by much.
    pub fn record(&mut self, times: &RunTimes) -> Option<SpeedChange> {
        if times.units == 0 || times.time_us == 0 {
            return None;
        }
        let taken_s = times.time_us as f64 / 1e6;
        let run = self
            .runs
            .entry(times.run.backend.clone())
            .or_insert_with(|| RunSpeed::new(times.run.born_ms));
        if times.run.born_ms < run.born_ms {
            return None;
        }
        let before = run.published;
        if times.run.born_ms > run.born_ms {
            *run = RunSpeed::new(times.run.born_ms);
        }
        let kind = (times.service.clone(), times.model.clone());
        let average = self.averages.entry(kind).or_default();
        let usual_s = average.usual_s(times.units);
        let usual_s = usual_s.unwrap_or(taken_s / run.factor());
        let expected_s = usual_s * run.factor();
        let taken_s = taken_s.clamp(expected_s / MAX_SURPRISE, expected_s * MAX_SURPRISE);
        // Work that only slow servers do doesn't make them average. Relative to the mean, since all factors would drift otherwise.
        let service = self.services.entry(times.service.clone()).or_default();
        service.add(taken_s, usual_s, KIND_MEMORY_S);
        let relative = run.factor() / service.factor();
        average.add(times.units as f64, taken_s / relative.powf(KEPT_FACTOR));
        run.work.add(taken_s, usual_s, MEMORY_S);
        let factor = run.factor();
        let is_noticeable = (factor / before - 1.0).abs() >= CHANGE_SHARE;
        run.published = if is_noticeable { factor } else { before };
        is_noticeable.then(|| SpeedChange {
            backend: times.run.backend.clone(),
            percent: percent(factor),
            percent_before: percent(before),
        })
    }

    /// Continues from a factor that an earlier coordinator learned; returns it in percent.
    pub fn assume(&mut self, run: &BackendRun, factor: f64) -> u32 {
        let mut speed = RunSpeed::new(run.born_ms);
        let factor = factor.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        speed.work.usual_s += ASSUMED_S;
        speed.work.taken_s = speed.work.usual_s * factor;
        speed.published = factor;
        self.runs.insert(run.backend.clone(), speed);
        percent(factor)
    }

    /// Drops the backend servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.runs.retain(|backend, _| keep(backend));
    }
}

impl WorkAverage {
    /// Time that the work takes on the average server, seconds; `None` before the first sample.
    fn usual_s(&self, units: u64) -> Option<f64> {
        (self.units > 0.0).then(|| units as f64 * self.time_s / self.units)
    }

    fn add(&mut self, units: f64, time_s: f64) {
        let kept = (KIND_MEMORY_S / (self.time_s + time_s)).min(1.0);
        self.units = (self.units + units) * kept;
        self.time_s = (self.time_s + time_s) * kept;
    }
}

impl WorkSum {
    /// Adds work; of older work than `memory_s` of usual time, only the newest part counts.
    fn add(&mut self, taken_s: f64, usual_s: f64, memory_s: f64) {
        let kept = (memory_s / (self.usual_s + usual_s)).min(1.0);
        self.taken_s = (self.taken_s + taken_s) * kept;
        self.usual_s = (self.usual_s + usual_s) * kept;
    }

    fn factor(&self) -> f64 {
        (self.taken_s / self.usual_s).clamp(1.0 / MAX_RATIO, MAX_RATIO)
    }
}

impl RunSpeed {
    fn new(born_ms: u64) -> Self {
        Self {
            born_ms,
            work: WorkSum {
                taken_s: PRIOR_S,
                usual_s: PRIOR_S,
            },
            published: 1.0,
        }
    }

    fn factor(&self) -> f64 {
        self.work.factor()
    }
}

fn percent(factor: f64) -> u32 {
    (factor * 100.0).round() as u32
}
