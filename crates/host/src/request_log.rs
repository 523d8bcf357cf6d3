use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_types::Name;

use crate::host_state::HostState;
use crate::request_context::RequestContext;

/// One line for each request, written when it ends, however it ends.
pub(crate) struct RequestLog {
    state: Arc<HostState>,
    arrived: Instant,
    id: Name,
    route: Option<Name>,
    service: Option<Name>,
    account: Option<Name>,
    model: Option<Name>,
    config: Option<u64>,
    pub(crate) backend: Option<Name>,
    /// Sends that reached a backend server.
    pub(crate) arrivals: u32,
    /// Events passed on.
    pub(crate) events: u64,
    longest_pause: Option<Duration>,
    first_send: Option<Duration>,
    first_answer: Option<Duration>,
    is_finished: bool,
}

impl RequestLog {
    /// A request of which only the id is known.
    pub(crate) fn new(state: Arc<HostState>, id: Name, arrived: Instant) -> Self {
        state.counters.active.inc();
        Self {
            state,
            arrived,
            id,
            route: None,
            service: None,
            account: None,
            model: None,
            config: None,
            backend: None,
            arrivals: 0,
            events: 0,
            longest_pause: None,
            first_send: None,
            first_answer: None,
            is_finished: false,
        }
    }

    /// Adds what the filters found.
    pub(crate) fn describe(&mut self, context: &RequestContext) {
        self.route = Some(context.rule.name.clone());
        self.service = Some(context.service.clone());
        let account = context.account.as_ref();
        self.account = account.map(|(account, _)| account.name.clone());
        self.model = match (&context.facts.model, &context.facts.adapter) {
            (Some(model), Some(adapter)) => Some(format!("{model}/{adapter}").into()),
            (model, _) => model.clone(),
        };
        self.config = Some(context.config.version);
    }

    pub(crate) fn note_send(&mut self, backend: &Name) {
        self.backend = Some(backend.clone());
        if self.first_send.is_none() {
            let elapsed = self.arrived.elapsed();
            self.first_send = Some(elapsed);
            self.state.counters.added.observe(elapsed.as_secs_f64());
        }
    }

    /// Notes the answer, or its first event.
    pub(crate) fn note_answer(&mut self) {
        if self.first_answer.is_none() {
            let elapsed = self.arrived.elapsed();
            self.first_answer = Some(elapsed);
            self.state
                .counters
                .first_answer
                .observe(elapsed.as_secs_f64());
        }
    }

    /// Notes the time between two chunks of events; the longest one is logged.
    pub(crate) fn note_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(Some(pause));
    }

    /// Writes the line.
    pub(crate) fn finish(&mut self, outcome: &str, status: u16) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let counters = &self.state.counters;
        counters.active.dec();
        counters.requests.with_label_values(&[outcome]).inc();
        let millis = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
        let confirmed = self.state.confirmed.age(self.state.now());
        info!(self.state.logger, "request"; "id" => &*self.id, "outcome" => outcome, "status" => status,
            "route" => self.route.as_deref(), "service" => self.service.as_deref(),
            "account" => self.account.as_deref(), "model" => self.model.as_deref(),
            "backend" => self.backend.as_deref(), "arrivals" => self.arrivals, "events" => self.events,
            "pause_ms" => millis(self.longest_pause), "sent_ms" => millis(self.first_send), "answer_ms" => millis(self.first_answer),
            "total_ms" => self.arrived.elapsed().as_millis() as u64,
            "config" => self.config, "confirmed_ms" => millis(confirmed));
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.finish("caller-left", 0);
    }
}
