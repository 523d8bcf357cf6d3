use std::io;
use std::io::Write;

use crate::TimelineEvent;
use crate::TimelineFault;

const US_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Writes events as lines for people. An event that was moved to follow another is marked `>`.
pub fn write_text(
    out: &mut dyn Write,
    events: &[&TimelineEvent],
    faults: &[TimelineFault],
) -> io::Result<()> {
    for event in events {
        let record = &event.record;
        let mark = if event.placed_us > event.corrected_us {
            '>'
        } else {
            ' '
        };
        let kind = kind_name(event);
        let trace = match record.trace_id {
            Some(trace_id) => trace_id.to_string(),
            None => "-".to_owned(),
        };
        writeln!(
            out,
            "{}{mark} {} {:<20} {kind:<18} {trace} {} {}",
            time_of_day(event.placed_us),
            uncertainty(event),
            record.process,
            record.subject,
            record.detail,
        )?;
    }
    for fault in faults {
        writeln!(out, "! {fault}")?;
    }
    Ok(())
}

/// Writes events and faults as JSON lines. A fault has the field `fault`, an event has `kind`.
pub fn write_json(
    out: &mut dyn Write,
    events: &[&TimelineEvent],
    faults: &[TimelineFault],
) -> io::Result<()> {
    for event in events {
        writeln!(out, "{}", serde_json::to_string(event)?)?;
    }
    for fault in faults {
        writeln!(out, "{}", serde_json::to_string(fault)?)?;
    }
    Ok(())
}

/// Name of the kind as in JSON.
pub(crate) fn kind_name(event: &TimelineEvent) -> String {
    match serde_json::to_value(event.record.kind) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{:?}", event.record.kind),
    }
}

fn uncertainty(event: &TimelineEvent) -> String {
    match event.uncertainty_us {
        Some(bound_us) => format!("±{bound_us:<6}"),
        None => "±?     ".to_owned(),
    }
}

/// Time of day in UTC.
fn time_of_day(at_us: u64) -> String {
    let seconds = at_us / US_PER_SECOND % SECONDS_PER_DAY;
    let (hours, minutes) = (seconds / 3600, seconds / 60 % 60);
    let micros = at_us % US_PER_SECOND;
    format!("{hours:02}:{minutes:02}:{:02}.{micros:06}", seconds % 60)
}
