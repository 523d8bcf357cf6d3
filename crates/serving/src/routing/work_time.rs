use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Time in which a statement loses half of its weight: servers state other figures several times a second.
const STATEMENT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Age from which a statement no longer counts; less than a sixteenth of its weight is left then.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(1);

/// How long work takes on one run of a backend server, as a factor of the average of its service.
///
/// Load pattern: servers share their machines with other work. A quarter of them may take twice as long for good, and each
/// may take several times as long for a fraction of a second. Without the factor, slow servers get as many requests as fast ones,
/// and their queues grow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkTime {
    /// Factor that the server stated last, relative to its usual speed, and when that arrived.
    statement: Option<(f64, MonotonicTime)>,
    /// Factor of the server's usual speed, learned over all hosts.
    learned: Option<f64>,
}

impl WorkTime {
    /// Records that work takes `percent` of its usual time, as an answer states that arrived at `now`.
    pub fn record_statement(&mut self, percent: u32, now: MonotonicTime) {
        if self.statement.is_none_or(|(_, at)| at <= now) {
            self.statement = Some((f64::from(percent) / 100.0, now));
        }
    }

    /// Sets the learned factor.
    pub fn set_learned(&mut self, factor: f64) {
        self.learned = Some(factor);
    }

    /// Learned factor; `None` if none is known.
    pub fn learned(&self) -> Option<f64> {
        self.learned
    }

    /// True if the server has ever stated how long work takes.
    pub fn is_stated(&self) -> bool {
        self.statement.is_some()
    }

    /// True if the server has stated it, or other hosts have and it was learned.
    pub fn is_known(&self) -> bool {
        self.is_stated() || self.learned.is_some()
    }

    /// The last statement, as a factor, if it still counts.
    pub fn stated(&self, now: MonotonicTime) -> Option<f64> {
        let (factor, at) = self.statement?;
        (now.since(at) < MAX_STATEMENT_AGE).then_some(factor)
    }

    /// Factor by which work that is sent now takes longer than on the average server: 1 if nothing is known.
    pub fn factor(&self, now: MonotonicTime) -> f64 {
        self.learned.unwrap_or(1.0) * self.momentary_factor(now)
    }

    /// Factor by which work that took `time` until `now` took longer than usual on this server.
    pub fn mean_factor(&self, time: Duration, now: MonotonicTime) -> f64 {
        let Some((factor, _)) = self.statement else {
            return 1.0;
        };
        let age_end = self.statement_age(now);
        let age_start = age_end.saturating_sub(time);
        // The mean weight while the statement aged.
        let span = (age_end - age_start).as_secs_f64() / STATEMENT_HALF_LIFE.as_secs_f64();
        if span <= f64::EPSILON {
            return self.momentary_factor(now);
        }
        let lost = weight(age_start) - weight(age_end);
        let mean_weight = lost / (span * std::f64::consts::LN_2);
        1.0 + (factor - 1.0) * mean_weight
    }

    fn momentary_factor(&self, now: MonotonicTime) -> f64 {
        self.stated(now).map_or(1.0, |factor| {
            1.0 + (factor - 1.0) * weight(self.statement_age(now))
        })
    }

    fn statement_age(&self, now: MonotonicTime) -> Duration {
        self.statement
            .map_or(Duration::MAX, |(_, at)| now.since(at))
    }
}

/// Weight of a statement by its age.
fn weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / STATEMENT_HALF_LIFE.as_secs_f64())
}
