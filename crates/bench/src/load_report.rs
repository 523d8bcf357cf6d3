use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::CallResult;
use crate::LatencyRecord;
use crate::LatencySummary;
use crate::LoadRecord;

/// Figures of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests per second that got a whole answer, over the sending time.
    pub whole_per_second: f64,
    /// Requests by result: `whole`, a problem type, `cut`, `wrong`, `not-sent`, `no-answer`, `timed-out`.
    pub results: BTreeMap<String, u64>,
    /// Refused requests by what the refusal says about `ran`; `unstated` if it says nothing.
    pub refused_by_ran: BTreeMap<String, u64>,
    /// Whole answers, from the planned time of sending to their end.
    pub latency: LatencySummary,
    /// Whole answers, from the planned time of sending to the first token.
    pub first_token: LatencySummary,
    /// How late the generator sent requests. Part of the latencies above.
    pub send_lag: LatencySummary,
}

impl LoadReport {
    /// Summarises the requests of a run that sent for `duration`.
    pub fn new(records: &[LoadRecord], duration: Duration) -> Self {
        let mut report = Self {
            sent: records.len() as u64,
            ..Self::default()
        };
        let mut latency = LatencyRecord::default();
        let mut first_token = LatencyRecord::default();
        let mut send_lag = LatencyRecord::default();
        for record in records {
            let LoadRecord { intended, call, .. } = record;
            report.count(&call.result);
            send_lag.add(*intended, call.sent);
            if call.result == CallResult::Whole {
                latency.add(*intended, call.finished);
                first_token.add(*intended, call.first_token.unwrap_or(call.finished));
            }
        }
        report.whole_per_second = latency.count() as f64 / duration.as_secs_f64();
        report.latency = latency.summary();
        report.first_token = first_token.summary();
        report.send_lag = send_lag.summary();
        report
    }

    /// Requests with this result.
    pub fn result(&self, name: &str) -> u64 {
        self.results.get(name).copied().unwrap_or_default()
    }

    fn count(&mut self, result: &CallResult) {
        *self.results.entry(result.name().to_owned()).or_default() += 1;
        if let CallResult::Refused { ran, .. } = result {
            let ran = if ran.is_empty() { "unstated" } else { ran };
            *self.refused_by_ran.entry(ran.to_owned()).or_default() += 1;
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "sent {}, whole answers/s {:.1}",
            self.sent, self.whole_per_second
        )?;
        for (name, count) in &self.results {
            writeln!(f, "  {name:<26} {count:>8}")?;
        }
        for (ran, count) in &self.refused_by_ran {
            writeln!(f, "  refused with ran = {ran:<7} {count:>8}")?;
        }
        let columns = "mean      p50      p90      p99    p99.9      max";
        writeln!(f, "{:<14} {columns}", "ms")?;
        let rows = [
            ("latency", self.latency),
            ("first token", self.first_token),
            ("send lag", self.send_lag),
        ];
        for (name, row) in rows {
            write!(f, "{name:<12}")?;
            let cells = [
                row.mean_ms,
                row.p50_ms,
                row.p90_ms,
                row.p99_ms,
                row.p999_ms,
                row.max_ms,
            ];
            for cell in cells {
                write!(f, " {cell:>8.3}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
