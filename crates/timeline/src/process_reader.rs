use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;
use volo_http::body::BodyConversion;
use volo_http::client::Client;
use zinniahinge_telemetry::ClockReading;
use zinniahinge_telemetry::wall_clock_us;

use crate::ClockOffset;
use crate::ClockSample;
use crate::ProcessStream;
use crate::TimelineFault;
use crate::parse_lines;

/// Round trips per process. The fastest counts, so a few suffice to avoid a delayed one.
const CLOCK_ROUND_TRIPS: usize = 8;

type Result<T> = std::result::Result<T, String>;

/// Reads the clock and the events of one process.
pub struct ProcessReader {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl ProcessReader {
    /// A reader of the process at `address`. `timeout` bounds each request.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    /// All events that the process still holds. A failure leaves what was read before it.
    pub async fn read(&self) -> (Option<ProcessStream>, Vec<TimelineFault>) {
        let (reading, offset) = match self.read_clock().await {
            Ok(clock) => clock,
            Err(problem) => return (None, vec![self.unreadable(problem)]),
        };
        let mut faults = Vec::new();
        let mut records = Vec::new();
        let mut after = 0;
        loop {
            let text = match self.fetch(&format!("/events?after={after}")).await {
                Ok(text) => text,
                Err(problem) => {
                    faults.push(self.unreadable(problem));
                    break;
                }
            };
            let page = parse_lines(&self.address.to_string(), &text);
            faults.extend(page.faults);
            let last = page.records.last().map(|record| record.sequence);
            let Some(last) = last.filter(|last| *last > after) else {
                break;
            };
            records.extend(page.records);
            after = last;
            if after >= reading.last_sequence {
                break;
            }
        }
        let stream = ProcessStream::new(reading.process, Some(offset), records);
        faults.extend(stream.faults(Some(reading.last_sequence)));
        (Some(stream), faults)
    }

    async fn read_clock(&self) -> Result<(ClockReading, ClockOffset)> {
        let mut samples = Vec::with_capacity(CLOCK_ROUND_TRIPS);
        let mut newest = None;
        for _ in 0..CLOCK_ROUND_TRIPS {
            let sent_us = wall_clock_us();
            let started = Instant::now();
            let text = self.fetch("/clock").await?;
            let round_trip = started.elapsed();
            let reading: ClockReading =
                serde_json::from_str(&text).map_err(|error| error.to_string())?;
            samples.push(ClockSample {
                sent_us,
                round_trip,
                remote_us: reading.at_us,
            });
            newest = Some(reading);
        }
        let offset = ClockOffset::estimate(&samples);
        newest
            .zip(offset)
            .ok_or_else(|| "no clock reading".to_owned())
    }

    async fn fetch(&self, path: &str) -> Result<String> {
        let uri = format!("http://{}{path}", self.address);
        let answer = async {
            let response = self.client.get(uri).send().await;
            let response = response.map_err(|error| error.to_string())?;
            let status = response.status();
            let text = response.into_string().await;
            let text = text.map_err(|error| error.to_string())?;
            match status.is_success() {
                true => Ok(text),
                false => Err(format!("{path}: status {status}")),
            }
        };
        let late = |_| format!("{path}: no answer within {:?}", self.timeout);
        timeout(self.timeout, answer).await.map_err(late)?
    }

    fn unreadable(&self, problem: String) -> TimelineFault {
        TimelineFault::SourceUnreadable {
            source_name: self.address.to_string(),
            problem,
        }
    }
}
