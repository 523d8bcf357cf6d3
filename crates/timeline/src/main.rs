//! Program `zinniahinge-timeline`: prints the merged events of many processes.

use std::fs;
use std::io;
use std::io::Write;
use std::process::ExitCode;

use miette::IntoDiagnostic;
use volo_http::client::ClientBuilder;
use zinniahinge_telemetry::parse_arguments;
use zinniahinge_timeline::FileRead;
use zinniahinge_timeline::MergedTimeline;
use zinniahinge_timeline::OutputFormat;
use zinniahinge_timeline::ProcessReader;
use zinniahinge_timeline::TimelineFault;
use zinniahinge_timeline::TimelineSettings;
use zinniahinge_timeline::draw_request;
use zinniahinge_timeline::parse_lines;
use zinniahinge_timeline::timeline_arguments;
use zinniahinge_timeline::write_json;
use zinniahinge_timeline::write_text;

/// Characters of the longest bar; with the columns before it, a line fits 140 characters.
const CHART_WIDTH: usize = 70;

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let settings = parse_arguments(&timeline_arguments(), |arguments| arguments.check());
    let timeline = collect(&settings).await?;
    print(&settings, &timeline).into_diagnostic()?;
    let unreadable = timeline.faults.iter().any(TimelineFault::is_unreadable);
    Ok(match unreadable {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    })
}

async fn collect(settings: &TimelineSettings) -> miette::Result<MergedTimeline> {
    let mut streams = Vec::new();
    let mut faults = Vec::new();
    let client = ClientBuilder::new().build().into_diagnostic()?;
    let readers = settings.processes.iter().map(|address| {
        let reader = ProcessReader::new(client.clone(), *address, settings.timeout);
        tokio::spawn(async move { reader.read().await })
    });
    let readers: Vec<_> = readers.collect();
    for reader in readers {
        let (stream, found) = reader.await.into_diagnostic()?;
        streams.extend(stream);
        faults.extend(found);
    }
    let mut saved = FileRead::default();
    for path in &settings.files {
        let source_name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => {
                let read = parse_lines(&source_name, &text);
                saved.records.extend(read.records);
                faults.extend(read.faults);
            }
            Err(error) => faults.push(TimelineFault::SourceUnreadable {
                source_name,
                problem: error.to_string(),
            }),
        }
    }
    for stream in saved.into_streams() {
        faults.extend(stream.faults(None));
        streams.push(stream);
    }
    Ok(MergedTimeline::merge(streams, faults))
}

fn print(settings: &TimelineSettings, timeline: &MergedTimeline) -> io::Result<()> {
    let events = settings.filter.apply(timeline);
    let mut out = io::stdout().lock();
    match settings.format {
        OutputFormat::Text => write_text(&mut out, &events, &timeline.faults)?,
        OutputFormat::Json => write_json(&mut out, &events, &timeline.faults)?,
    }
    if settings.chart {
        write!(out, "\n{}", draw_request(&events, CHART_WIDTH))?;
    }
    Ok(())
}
