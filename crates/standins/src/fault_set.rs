use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Ways in which a stand-in can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Connections are closed without an answer, or refused if `refuse` is set.
    Down,
    /// Answers come later by `delay_ms`; the weight store also divides its speed by `factor`.
    Slow,
    /// The request takes effect and its connection is closed without an answer.
    LostAnswer,
    /// Watches silently skip events.
    WatchGap,
    /// All leases lapse.
    LeaseLapse,
    /// Nothing proceeds, as in a stopped process.
    Pause,
    /// The process restarts with empty memory in the middle of a load, and is down for `delay_ms`.
    DieInLoad,
    /// The events that are hit appear later by `delay_ms`, or never if that is 0.
    LateEvents,
    /// Answers are not of the protocol. The request takes effect.
    Garbage,
    /// Answers are cut in the middle; with `clean` the cut looks like a regular end.
    CloseEarly,
    /// The answer belongs to another request.
    Crossed,
}

/// Body of `POST /faults`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// What fails.
    pub kind: FaultKind,
    /// How long, in milliseconds; without it until the faults are deleted.
    #[serde(default)]
    pub duration_ms: Option<u64>,
    /// Delay of what is late, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Share of the requests that fail, from 0 to 1.
    #[serde(default = "default_probability")]
    pub probability: f64,
    /// Number of requests that fail; without it all.
    #[serde(default)]
    pub count: Option<u64>,
    /// Only requests whose path starts with this are hit.
    #[serde(default)]
    pub path: Option<String>,
    /// For [`FaultKind::Slow`] at the weight store: divisor of its speed.
    #[serde(default)]
    pub factor: Option<f64>,
    /// For [`FaultKind::Down`]: the listening socket is closed, too. Needs `duration_ms`.
    #[serde(default)]
    pub refuse: bool,
    /// For [`FaultKind::CloseEarly`]: the cut answer ends like a whole one.
    #[serde(default)]
    pub clean: bool,
}

fn default_probability() -> f64 {
    1.0
}

impl FaultRequest {
    /// A fault of every request until it is deleted.
    pub fn new(kind: FaultKind) -> Self {
        Self {
            kind,
            duration_ms: None,
            delay_ms: 0,
            probability: default_probability(),
            count: None,
            path: None,
            factor: None,
            refuse: false,
            clean: false,
        }
    }
}

/// A fault that hit a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultHit {
    /// Delay of what is late.
    pub delay: Duration,
    /// Divisor of speed.
    pub factor: f64,
    /// Whether a cut answer ends like a whole one.
    pub clean: bool,
}

/// Faults in force in one stand-in.
#[derive(Debug)]
pub struct FaultSet {
    known: &'static [FaultKind],
    active: Mutex<Vec<ActiveFault>>,
    changed: Notify,
}

#[derive(Debug)]
struct ActiveFault {
    request: FaultRequest,
    until: Option<Instant>,
}

impl FaultSet {
    /// No fault in force; only `known` kinds can be added.
    pub fn new(known: &'static [FaultKind]) -> Self {
        Self {
            known,
            active: Mutex::new(Vec::new()),
            changed: Notify::new(),
        }
    }

    /// Puts a fault in force, or says why that is not possible.
    pub fn add(&self, request: FaultRequest) -> Result<(), String> {
        if !self.known.contains(&request.kind) {
            return Err(format!("this stand-in has no fault {:?}", request.kind));
        }
        if !(0.0..=1.0).contains(&request.probability) {
            return Err("probability is outside 0..=1".to_owned());
        }
        if request.factor.is_some_and(|factor| factor < 1.0) {
            return Err("factor is below 1".to_owned());
        }
        if request.refuse && request.duration_ms.is_none() {
            return Err("refuse needs duration_ms: no request could end it".to_owned());
        }
        let duration = request.duration_ms.map(Duration::from_millis);
        let until = duration.map(|duration| Instant::now() + duration);
        self.lock().push(ActiveFault { request, until });
        self.changed.notify_waiters();
        Ok(())
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.lock().clear();
        self.changed.notify_waiters();
    }

    /// Decides whether a fault of this kind hits a request of `path`, and counts the hit.
    pub fn draw(&self, kind: FaultKind, path: &str) -> Option<FaultHit> {
        let mut active = self.lock();
        let fault = active.iter_mut().find(|fault| fault.covers(kind, path))?;
        if !rand::random_bool(fault.request.probability) {
            return None;
        }
        if let Some(count) = &mut fault.request.count {
            *count = count.checked_sub(1)?;
        }
        Some(fault.hit())
    }

    /// The fault of this kind in force, without counting a hit.
    pub fn peek(&self, kind: FaultKind) -> Option<FaultHit> {
        let active = self.lock();
        let fault = active.iter().find(|fault| fault.request.kind == kind)?;
        Some(fault.hit())
    }

    /// Whether the listening socket shall be closed now.
    pub fn refuses(&self) -> bool {
        self.lock().iter().any(|fault| fault.request.refuse)
    }

    /// Waits until faults are added or ended, or the next one expires.
    pub async fn wait_change(&self) {
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let until = self.lock().iter().filter_map(|fault| fault.until).min();
        match until {
            Some(until) => {
                let _ = tokio::time::timeout_at(until.into(), changed).await;
            }
            None => changed.await,
        }
    }

    /// Waits while the stand-in is paused.
    pub async fn wait_resume(&self) {
        while self.peek(FaultKind::Pause).is_some() {
            self.wait_change().await;
        }
    }

    /// Faults in force; expired and used-up ones are removed first.
    fn lock(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        let mut active = self.active.lock().unwrap_or_else(|e| e.into_inner());
        let now = Instant::now();
        active.retain(|fault| {
            let current = fault.until.is_none_or(|until| until > now);
            current && fault.request.count != Some(0)
        });
        active
    }
}

impl ActiveFault {
    fn covers(&self, kind: FaultKind, path: &str) -> bool {
        let prefix = self.request.path.as_deref().unwrap_or_default();
        self.request.kind == kind && path.starts_with(prefix)
    }

    fn hit(&self) -> FaultHit {
        FaultHit {
            delay: Duration::from_millis(self.request.delay_ms),
            factor: self.request.factor.unwrap_or(1.0),
            clean: self.request.clean,
        }
    }
}
