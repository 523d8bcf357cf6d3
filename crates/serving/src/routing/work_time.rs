use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Time in which a statement loses half of its weight: servers state other figures several times a second.
const STATEMENT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Age from which a statement no longer counts; less than a sixteenth of its weight is left then.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(1);

/// Statements from which the usual one of a server is known.
const MIN_STATEMENTS: f64 = 4.0;

/// Statements that the usual one is at least the mean of; age alone leaves their weight.
const USUAL_STATEMENTS: f64 = 16.0;

/// Time in which a statement loses half of its weight in the usual one: much longer than a slow moment, also for a host
/// that gets many statements in it.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(30);

/// How long work takes on one run of a backend server, as a factor of the average of its service.
///
/// Load pattern: servers share their machines with other work. A quarter of them may take twice as long for good, and each
/// may take several times as long for a fraction of a second. Without the factor, slow servers get as many requests as fast ones,
/// and their queues grow.
///
/// Some servers state a figure that contains their own speed, others one that is 100 on any idle machine. Once the speed is
/// learned, only the deviation from the server's usual statement counts, so that the speed never counts twice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkTime {
    statement: Option<WorkStatement>,
    /// Mean of the statements, as a factor, and their weight.
    usual: (f64, f64),
    /// Factor of the server's usual speed, learned over all hosts.
    learned: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct WorkStatement {
    factor: f64,
    /// Factor relative to the usual statement; 1 while that is unknown.
    deviation: f64,
    at: MonotonicTime,
}

impl WorkTime {
    /// Records that work takes `percent` of its usual time, as an answer states that arrived at `now`.
    pub fn record_statement(&mut self, percent: u32, now: MonotonicTime) {
        if self.statement.is_some_and(|statement| statement.at > now) {
            return;
        }
        let factor = f64::from(percent) / 100.0;
        let (usual, weight) = self.usual;
        let deviation = if weight < MIN_STATEMENTS {
            1.0
        } else {
            factor / usual
        };
        let age = self.statement.map(|statement| now.since(statement.at));
        let half_lives = age.unwrap_or_default().as_secs_f64() / USUAL_HALF_LIFE.as_secs_f64();
        let kept = weight * 0.5_f64.powf(half_lives);
        let weight = kept.max(weight.min(USUAL_STATEMENTS)) + 1.0;
        self.usual = (usual + (factor - usual) / weight, weight);
        self.statement = Some(WorkStatement {
            factor,
            deviation,
            at: now,
        });
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
        Some(self.recent_statement(now)?.factor)
    }

    /// Factor by which work that is sent now takes longer than on the average server: 1 if nothing is known.
    pub fn factor(&self, now: MonotonicTime) -> f64 {
        let statement = self.recent_statement(now);
        let momentary = statement.map_or(1.0, |statement| {
            let factor = if self.learned.is_some() {
                statement.deviation
            } else {
                statement.factor
            };
            1.0 + (factor - 1.0) * weight(now.since(statement.at))
        });
        self.learned.unwrap_or(1.0) * momentary
    }

    fn recent_statement(&self, now: MonotonicTime) -> Option<WorkStatement> {
        let statement = self.statement?;
        (now.since(statement.at) < MAX_STATEMENT_AGE).then_some(statement)
    }
}

/// Weight of a statement by its age.
fn weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / STATEMENT_HALF_LIFE.as_secs_f64())
}
