use std::fmt::Write;

use zinniahinge_types::EventKind;

use crate::TimelineEvent;
use crate::timeline_report::kind_name;

/// Draws the steps of one request as a bar chart. Each bar runs from an event to the next one.
///
/// `events` are those of one trace, in order; `width` is the length of the whole request in
/// characters. Steps shorter than a character are drawn as `|`.
pub fn draw_request(events: &[&TimelineEvent], width: usize) -> String {
    let mut chart = String::new();
    let (Some(first), Some(last)) = (events.first(), events.last()) else {
        return "no events\n".to_owned();
    };
    let start_us = first.placed_us;
    let total_us = (last.placed_us - start_us).max(1);
    let column =
        |at_us: u64| ((at_us - start_us) as u128 * width as u128 / total_us as u128) as usize;
    for (index, event) in events.iter().enumerate() {
        let end_us = match events.get(index + 1) {
            Some(next) => next.placed_us,
            None => event.placed_us,
        };
        let from = column(event.placed_us);
        let to = column(end_us);
        let bar = match to - from {
            0 => "|".to_owned(),
            length => bar_character(event.record.kind).to_string().repeat(length),
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            chart,
            "{:<18} {:<20} {:>10.3} ms {:>10.3} ms  {}{bar}",
            kind_name(event),
            event.record.process,
            (event.placed_us - start_us) as f64 / 1000.0,
            (end_us - event.placed_us) as f64 / 1000.0,
            " ".repeat(from),
        );
    }
    if !events.iter().any(|event| is_end(event.record.kind)) {
        chart.push_str("the end of the request is not recorded\n");
    }
    chart
}

fn is_end(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::RequestFinished
            | EventKind::RequestRefused
            | EventKind::RequestFailed
            | EventKind::StreamCut
    )
}

/// Waiting is drawn light, work is drawn dark.
fn bar_character(kind: EventKind) -> char {
    match kind {
        EventKind::RequestAdmitted | EventKind::RequestQueued => '.',
        EventKind::LoadOrdered => '~',
        EventKind::FirstToken => '#',
        _ => '=',
    }
}
