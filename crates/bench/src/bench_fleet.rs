use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use serde_json::json;
use volo_http::body::Body;
use volo_http::client::Client;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::default_program_dir;

use crate::BenchError;
use crate::ProcessUsage;
use crate::bench_error::Result;
use crate::bench_error::system;

/// Longest start-up of a fleet.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time for entry processes to get the document, the assignment and the host list once ready.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// A fleet with accepted documents and registered backend servers.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Hosts.
    pub hosts: usize,
    /// Model engines.
    pub engines: usize,
    /// Group of the engines in the host list.
    pub engine_group: String,
    /// Flags of all engines.
    pub engine_arguments: Vec<String>,
    /// Flags of the weight store; without them there is none and engines load at their own speed.
    pub store_arguments: Option<Vec<String>>,
    /// Flags of all control processes.
    pub control_arguments: Vec<String>,
    /// Region.
    pub region: String,
    /// Places, taken in turn by hosts and by engines.
    pub places: Vec<String>,
    /// Documents: file name and text.
    pub documents: Vec<(String, String)>,
}

/// A running fleet.
pub struct BenchFleet {
    /// Processes.
    pub fleet: Fleet,
    client: Client,
}

impl FleetPlan {
    /// Starts all processes, registers the engines, accepts the documents and waits until all are ready.
    pub async fn start(&self) -> Result<BenchFleet> {
        let places = borrowed(&self.places);
        let engine_arguments = borrowed(&self.engine_arguments);
        let control_arguments = borrowed(&self.control_arguments);
        let mut builder = FleetBuilder::new();
        if let Some(arguments) = &self.store_arguments {
            let arguments = borrowed(arguments);
            builder = builder.with_store();
            builder = builder.with_arguments(ProgramKind::Store, &arguments);
        }
        let fleet = builder
            .with_hosts(self.hosts)
            .with_engines(self.engines)
            .with_places(&self.region, &places)
            .with_arguments(ProgramKind::Engine, &engine_arguments)
            .with_arguments(ProgramKind::Control, &control_arguments)
            .start()?;
        let mut fleet = BenchFleet {
            fleet,
            client: Client::default(),
        };
        fleet.fleet.wait_standins().await?;
        self.register_engines(&mut fleet).await?;
        for (name, text) in &self.documents {
            fleet.accept(name, text)?;
        }
        fleet.fleet.wait_ready(START_LIMIT).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(fleet)
    }

    async fn register_engines(&self, fleet: &mut BenchFleet) -> Result<()> {
        let engines = fleet.addresses(ProgramKind::Engine);
        let hostlist = fleet.address("hostlist")?;
        for (index, address) in engines.into_iter().enumerate() {
            let name = format!("engine-{}", index + 1);
            let entry = json!({
                "server": name,
                "group": self.engine_group,
                "address": address.to_string(),
                "place": self.places[index % self.places.len()],
                "state": "live",
            });
            let url = format!("http://{hostlist}/hosts/{name}");
            let body = Body::from(Bytes::from(entry.to_string()));
            let answer = fleet.client.put(url).body(body).send().await?;
            if !answer.status().is_success() {
                return Err(BenchError::Answer {
                    what: "registration at the host list".to_owned(),
                    answer: answer.status().to_string(),
                });
            }
        }
        Ok(())
    }
}

impl BenchFleet {
    /// Address of a process.
    pub fn address(&mut self, name: &str) -> Result<SocketAddr> {
        Ok(self.fleet.process(name)?.spec().address)
    }

    /// Addresses of all processes of a kind.
    pub fn addresses(&self, kind: ProgramKind) -> Vec<SocketAddr> {
        let processes = self.fleet.processes(kind);
        processes.map(|process| process.spec().address).collect()
    }

    /// Addresses of `/metrics` of all processes of a kind.
    pub fn admin_addresses(&self, kind: ProgramKind) -> Vec<SocketAddr> {
        let processes = self.fleet.processes(kind);
        processes.map(|process| process.spec().admin).collect()
    }

    /// Use of each process of a kind.
    pub fn usage(&self, kind: ProgramKind) -> Result<Vec<ProcessUsage>> {
        let processes = self.fleet.processes(kind);
        processes
            .map(|process| ProcessUsage::read(process.id()))
            .collect()
    }

    /// Body of a `GET`.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<String> {
        let url = format!("http://{address}{path}");
        let (_, body) = self.client.get(url).send().await?.into_parts();
        let collected = body.collect().await;
        let collected = collected.map_err(|error| BenchError::Answer {
            what: path.to_owned(),
            answer: error.to_string(),
        })?;
        Ok(String::from_utf8_lossy(&collected.to_bytes()).into_owned())
    }

    /// Accepts a document with the operator's command.
    pub fn accept(&mut self, name: &str, text: &str) -> Result<()> {
        let path: PathBuf = self.fleet.folder().join(name);
        std::fs::write(&path, text).map_err(system("write a document"))?;
        let kv = self.address("kv")?;
        let program = default_program_dir()?.join("zinniahingectl");
        let output = Command::new(program)
            .args(["accept", "--kv", &kv.to_string()])
            .arg(&path)
            .output()
            .map_err(system("run zinniahingectl"))?;
        if output.status.success() {
            return Ok(());
        }
        let shown = [output.stdout, output.stderr].concat();
        Err(BenchError::NotAccepted {
            file: name.to_owned(),
            output: String::from_utf8_lossy(&shown).into_owned(),
        })
    }
}

fn borrowed(texts: &[String]) -> Vec<&str> {
    texts.iter().map(String::as_str).collect()
}
