//! Brings a started fleet to the point where it serves, and looks into it.

use std::fs;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::Fleet;
use crate::FleetBuilder;
use crate::FleetError;
use crate::ProgramKind;
use crate::ProgramSpec;
use crate::TestAnswer;
use crate::TestClient;
use crate::fleet_error::Result;
use crate::fleet_error::system;

/// Document of the demonstration's models.
pub const DEMO_LLM: &str = include_str!("../../../examples/demo-llm.toml");

/// Document of the demonstration's plain service.
pub const DEMO_APP: &str = include_str!("../../../examples/demo-app.toml");

/// Key of the account `vendor` in both demonstration documents.
pub const VENDOR_KEY: &str = "zk-demo-vendor-key";

/// Key of the account `parish` in both demonstration documents.
pub const PARISH_KEY: &str = "zk-demo-parish-key";

/// Time for a small fleet to become ready on a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl FleetBuilder {
    /// Starts the stand-ins, registers the backend servers, starts the hosts, accepts the documents,
    /// and waits until everything is ready. A host that finds an empty host list at its start is
    /// ready, too, but refuses requests until its next look. The engines belong to group `demo-llm`,
    /// the plain service servers to `demo-app`.
    pub async fn start_serving(&self, documents: &[&str]) -> Result<Fleet> {
        let mut fleet = Fleet::new()?;
        let specs = self.prepare(&fleet)?;
        let is_host =
            |spec: &ProgramSpec| matches!(spec.kind, ProgramKind::Control | ProgramKind::Entry);
        let (hosts, standins): (Vec<_>, Vec<_>) = specs.into_iter().partition(is_host);
        for spec in standins {
            fleet.start(spec)?;
        }
        fleet.wait_ready(READY_LIMIT).await?;
        fleet.register_servers().await?;
        for spec in hosts {
            fleet.start(spec)?;
        }
        for document in documents {
            fleet.accept(document)?;
        }
        fleet.wait_ready(READY_LIMIT).await?;
        Ok(fleet)
    }
}

impl Fleet {
    /// Waits until all stand-ins answer.
    pub async fn wait_standins(&mut self) -> Result<()> {
        let is_host = |kind| matches!(kind, ProgramKind::Control | ProgramKind::Entry);
        let standins = self.all().filter(|process| !is_host(process.spec().kind));
        let names: Vec<String> = standins
            .map(|process| process.spec().name.clone())
            .collect();
        for name in names {
            self.process(&name)?.wait_ready(READY_LIMIT).await?;
        }
        Ok(())
    }

    /// Registers all backend servers at the host list, in place `place-1`.
    pub async fn register_servers(&self) -> Result<()> {
        for process in self.all() {
            let group = match process.spec().kind {
                ProgramKind::Engine => "demo-llm",
                ProgramKind::Service => "demo-app",
                _ => continue,
            };
            let entry = json!({
                "group": group,
                "address": process.spec().address.to_string(),
                "place": "place-1",
                "state": "live",
            });
            let path = format!("/hosts/{}", process.spec().name);
            let url = self.url("hostlist", &path)?;
            let answer = TestClient::new()?
                .send(Method::PUT, &url, entry.to_string())
                .await?;
            expect_success(&url, answer)?;
        }
        Ok(())
    }

    /// Marks a backend server as leaving at the host list.
    pub async fn mark_leaving(&self, server: &str) -> Result<()> {
        let url = self.url("hostlist", &format!("/hosts/{server}/leaving"))?;
        let answer = TestClient::new()?.post(&url, "").await?;
        expect_success(&url, answer).map(drop)
    }

    /// Puts a fault in force at a stand-in.
    pub async fn add_fault(&self, name: &str, fault: &Value) -> Result<()> {
        let url = self.url(name, "/faults")?;
        let answer = TestClient::new()?.post(&url, fault.to_string()).await?;
        expect_success(&url, answer).map(drop)
    }

    /// Ends all faults of a stand-in.
    pub async fn clear_faults(&self, name: &str) -> Result<()> {
        let url = self.url(name, "/faults")?;
        let answer = TestClient::new()?.send(Method::DELETE, &url, "").await?;
        expect_success(&url, answer).map(drop)
    }

    /// JSON that a process serves under `path`.
    pub async fn read_json(&self, name: &str, path: &str) -> Result<Value> {
        let url = self.url(name, path)?;
        let answer = TestClient::new()?.get(&url).await?;
        Ok(expect_success(&url, answer)?.json())
    }

    /// Text of an admin path, for example `/metrics`.
    pub async fn admin_text(&self, name: &str, path: &str) -> Result<String> {
        let url = self.admin_url(name, path)?;
        let answer = TestClient::new()?.get(&url).await?;
        Ok(expect_success(&url, answer)?.text())
    }

    /// Value of a metric, without its prefix, summed over its labels; 0 if it has no value yet.
    pub async fn metric(&self, name: &str, metric: &str) -> Result<f64> {
        let text = self.admin_text(name, "/metrics").await?;
        let metric = format!("zinniahinge_{metric}");
        let values = text.lines().filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let base = series.split('{').next().unwrap_or(series);
            (base == metric).then(|| value.parse::<f64>().ok())?
        });
        Ok(values.sum())
    }

    // ----------------------------------------------------------------------------------------

    /// Puts a document in force in place of the one that is, with the operator's command.
    pub fn accept(&self, text: &str) -> Result<()> {
        let service = service_name(text);
        let file = self.folder().join(format!("{service}.toml"));
        fs::write(&file, text).map_err(system("write a document"))?;
        let file = file.display().to_string();
        let shown = self.run_ctl(&["show"], &["--revision", service])?;
        let revision = String::from_utf8_lossy(&shown.stdout).trim().to_owned();
        let accepted = if shown.status.success() {
            self.run_ctl(&["accept"], &["--reviewed", &revision, &file])?
        } else {
            self.run_ctl(&["accept"], &[&file])?
        };
        if accepted.status.success() {
            return Ok(());
        }
        let text = [accepted.stdout, accepted.stderr].concat();
        Err(FleetError::Command {
            what: format!("accepting {service}"),
            output: String::from_utf8_lossy(&text).into_owned(),
        })
    }

    fn run_ctl(&self, command: &[&str], arguments: &[&str]) -> Result<Output> {
        let kv = self.spec("kv")?;
        let program = kv.program.with_file_name("zinniahingectl");
        let address = kv.address.to_string();
        let run = Command::new(&program)
            .args(command)
            .args(["--kv", &address])
            .args(arguments)
            .output();
        run.map_err(|source| FleetError::Start { program, source })
    }
}

/// Waits until `condition` holds. `what` names it in the error.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    condition: impl AsyncFn() -> bool,
) -> Result<Duration> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > limit {
            return Err(FleetError::Command {
                what: format!("waiting for {what}"),
                output: format!("not reached after {limit:?}"),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

fn expect_success(url: &str, answer: TestAnswer) -> Result<TestAnswer> {
    if answer.is_success() {
        return Ok(answer);
    }
    Err(FleetError::Command {
        what: url.to_owned(),
        output: format!("status {}: {}", answer.status, answer.text()),
    })
}

fn service_name(text: &str) -> &str {
    let line = text.lines().find_map(|line| line.strip_prefix("service"));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or("unnamed")
}
