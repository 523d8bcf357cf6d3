use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::BackendRun;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::RunTimes;

/// Work of usual speed that each run is assumed to have done at first, seconds: that of one or two answers. A single
/// sample then changes the learned factor little.
const PRIOR_S: f64 = 0.2;

/// Time in which work of a run loses half of its weight: much longer than a slow moment of a machine, however many streams
/// run side by side.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Time in which work of one kind, or of a service, loses half of its weight.
const KIND_HALF_LIFE: Duration = Duration::from_secs(300);

/// Work from which a factor is known, seconds. Age alone leaves at least this weight, so that a run without traffic keeps its
/// factor, and a single sample after a pause changes it little.
const KNOWN_S: f64 = 2.0;

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
    /// Start of the run that the change applies to, milliseconds since the Unix epoch.
    pub born_ms: u64,
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
    /// Time of the newest work.
    at: MonotonicTime,
}

/// Work with the time that it took and the time that it takes on a server of average speed, seconds.
#[derive(Debug, Default)]
struct WorkSum {
    taken_s: f64,
    usual_s: f64,
    /// Time of the newest work.
    at: MonotonicTime,
}

#[derive(Debug)]
struct RunSpeed {
    born_ms: u64,
    work: WorkSum,
    published: f64,
    /// True once hosts know the factor, also if it is 1.
    is_published: bool,
}

impl RunSpeeds {
    /// Applies the times that one host measured; returns the run's factor if it changed by much, or is known for the first
    /// time. Hosts that hold a factor of an earlier coordinator, or none, then use this one.
    pub fn record(&mut self, times: &RunTimes, now: MonotonicTime) -> Option<SpeedChange> {
        if times.units == 0 || times.time_us == 0 {
            return None;
        }
        let taken_s = times.time_us as f64 / 1e6;
        let run = self
            .runs
            .entry(times.run.backend.clone())
            .or_insert_with(|| RunSpeed::new(times.run.born_ms, now));
        if times.run.born_ms < run.born_ms {
            return None;
        }
        let before = run.published;
        if times.run.born_ms > run.born_ms {
            *run = RunSpeed::new(times.run.born_ms, now);
        }
        let kind = (times.service.clone(), times.model.clone());
        let average = self.averages.entry(kind).or_default();
        let usual_s = average.usual_s(times.units);
        let usual_s = usual_s.unwrap_or(taken_s / run.factor());
        let expected_s = usual_s * run.factor();
        let taken_s = taken_s.clamp(expected_s / MAX_SURPRISE, expected_s * MAX_SURPRISE);
        // Work that only slow servers do doesn't make them average. Relative to the mean, since all factors would drift otherwise.
        let service = self.services.entry(times.service.clone()).or_default();
        service.add(taken_s, usual_s, KIND_HALF_LIFE, now);
        let relative = run.factor() / service.factor();
        let average_s = taken_s / relative.powf(KEPT_FACTOR);
        average.add(times.units as f64, average_s, now);
        run.work.add(taken_s, usual_s, HALF_LIFE, now);
        let factor = run.factor();
        let is_noticeable = (factor / before - 1.0).abs() >= CHANGE_SHARE;
        let is_new = !run.is_published && run.work.usual_s >= KNOWN_S;
        let is_due = is_noticeable || is_new;
        run.published = if is_due { factor } else { before };
        run.is_published |= is_due;
        is_due.then(|| SpeedChange {
            backend: times.run.backend.clone(),
            born_ms: times.run.born_ms,
            percent: percent(factor),
            percent_before: percent(before),
        })
    }

    /// Continues from a factor that an earlier coordinator learned; returns it in percent.
    pub fn assume(&mut self, run: &BackendRun, factor: f64, now: MonotonicTime) -> u32 {
        let mut speed = RunSpeed::new(run.born_ms, now);
        let factor = factor.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        speed.work.usual_s += ASSUMED_S;
        speed.work.taken_s = speed.work.usual_s * factor;
        speed.published = factor;
        speed.is_published = true;
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

    fn add(&mut self, units: f64, time_s: f64, now: MonotonicTime) {
        let kept = kept_share(self.time_s, now.since(self.at), KIND_HALF_LIFE);
        self.units = self.units * kept + units;
        self.time_s = self.time_s * kept + time_s;
        self.at = self.at.max(now);
    }
}

impl WorkSum {
    /// Adds work of `now`; older work loses weight by its age.
    fn add(&mut self, taken_s: f64, usual_s: f64, half_life: Duration, now: MonotonicTime) {
        let kept = kept_share(self.usual_s, now.since(self.at), half_life);
        self.taken_s = self.taken_s * kept + taken_s;
        self.usual_s = self.usual_s * kept + usual_s;
        self.at = self.at.max(now);
    }

    fn factor(&self) -> f64 {
        (self.taken_s / self.usual_s).clamp(1.0 / MAX_RATIO, MAX_RATIO)
    }
}

impl RunSpeed {
    fn new(born_ms: u64, now: MonotonicTime) -> Self {
        Self {
            born_ms,
            work: WorkSum {
                taken_s: PRIOR_S,
                usual_s: PRIOR_S,
                at: now,
            },
            published: 1.0,
            is_published: false,
        }
    }

    fn factor(&self) -> f64 {
        self.work.factor()
    }
}

/// Share of `weight_s` that is left after `age`.
fn kept_share(weight_s: f64, age: Duration, half_life: Duration) -> f64 {
    let kept = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
    kept.max((KNOWN_S / weight_s).min(1.0))
}

/// Learned factor that the coordinator states for the run of `born_ms`; `None` if it states none, or that of another run.
pub fn learned_factor(total: &BackendTotal, born_ms: u64) -> Option<f64> {
    if total.born_ms != Some(born_ms) {
        return None;
    }
    let factor = f64::from(total.time_percent?) / 100.0;
    Some(factor.clamp(1.0 / MAX_RATIO, MAX_RATIO))
}

fn percent(factor: f64) -> u32 {
    (factor * 100.0).round() as u32
}
