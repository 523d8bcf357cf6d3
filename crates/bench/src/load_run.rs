use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ArrivalSettings;
use crate::CallRecord;
use crate::ChatCall;
use crate::ChatClient;
use crate::LoadReport;
use crate::PlannedArrival;
use crate::bench_error::Result;
use crate::plan_arrivals;

/// Idle connections that are kept to each entry process.
const IDLE_CONNECTIONS: usize = 1024;

/// Words of each request besides its number.
const PADDING: &str = "please draft the inspection report of this stall";

/// An open-loop run: requests are sent at their planned times, whatever became of earlier ones.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entry processes; requests take them in turn.
    pub entries: Vec<SocketAddr>,
    /// Key of the client account.
    pub key: String,
    /// Models, the most frequent one first; `model:adapter` is allowed.
    pub models: Vec<String>,
    /// Mean rate, requests per second.
    pub rate: f64,
    /// Time in which requests are sent.
    pub duration: Duration,
    /// Exponent of the Zipf distribution over the models.
    pub zipf_exponent: f64,
    /// Length of the answers, tokens.
    pub max_tokens: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Seed of the arrivals and of the choice of models.
    pub seed: u64,
}

/// One request of a run and its fate.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Planned time of sending.
    pub intended: Instant,
    /// Index of the model.
    pub model: usize,
    /// Call.
    pub call: CallRecord,
}

impl LoadPlan {
    /// Runs the plan and summarises it.
    pub async fn run(&self) -> Result<LoadReport> {
        let records = self.run_records().await?;
        Ok(LoadReport::new(&records, self.duration))
    }

    /// Runs the plan and returns every request.
    pub async fn run_records(&self) -> Result<Vec<LoadRecord>> {
        let client = ChatClient::new(IDLE_CONNECTIONS)?;
        let start = Instant::now();
        let mut tasks = Vec::new();
        for (number, arrival) in self.arrivals().into_iter().enumerate() {
            let intended = start + arrival.offset;
            tokio::time::sleep_until(intended.into()).await;
            let call = self.call(number, arrival.choice);
            let client = client.clone();
            tasks.push(tokio::spawn(async move {
                LoadRecord {
                    intended,
                    model: arrival.choice,
                    call: client.call(&call).await,
                }
            }));
        }
        let records = futures::future::join_all(tasks).await;
        Ok(records.into_iter().flatten().collect())
    }

    fn arrivals(&self) -> Vec<PlannedArrival> {
        plan_arrivals(&ArrivalSettings {
            rate: self.rate,
            duration: self.duration,
            choices: self.models.len(),
            zipf_exponent: self.zipf_exponent,
            seed: self.seed,
        })
    }

    fn call(&self, number: usize, model: usize) -> ChatCall {
        ChatCall {
            address: self.entries[number % self.entries.len()],
            key: self.key.clone(),
            model: self.models[model].clone(),
            text: format!("request-{}-{number} {PADDING}", self.seed),
            max_tokens: self.max_tokens,
            stream: self.stream,
            timeout: self.timeout,
            trace_id: None,
        }
    }
}
