use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::SendBar;
use zinniahinge_types::Name;

use crate::host_state::HostState;
use crate::request_context::RequestContext;

/// Outcome of a request whose caller got the whole answer of a server.
pub(crate) const SERVED: &str = "served";

/// Log line of a request, written exactly once: by [`Self::finish`] or, if the caller disconnected, on drop.
pub(crate) struct RequestLog {
    state: Arc<HostState>,
    arrived: Instant,
    id: Name,
    route: Option<Name>,
    service: Option<Name>,
    account: Option<Name>,
    model: Option<Name>,
    adapter: Option<Name>,
    /// Ids of the prompt parts that other requests may share.
    parts: Option<String>,
    /// Version of the configuration.
    config: Option<u64>,
    pub(crate) backend: Option<Name>,
    /// Why a backend server was last left out, although it could have run the request.
    pub(crate) bar: Option<SendBar>,
    /// Sends that reached a backend server.
    pub(crate) delivered_sends: u32,
    /// Events that were relayed to the caller.
    pub(crate) events: u64,
    /// Longest time between two chunks of events.
    longest_event_gap: Option<Duration>,
    /// Time from the arrival to the first send.
    first_send: Option<Duration>,
    /// Time from the arrival to the response of a backend server, or to the first event of a stream.
    first_response: Option<Duration>,
    is_finished: bool,
}

impl RequestLog {
    /// Creates the log line of a request of which only the id is known, and counts the request as active.
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
            adapter: None,
            parts: None,
            config: None,
            backend: None,
            bar: None,
            delivered_sends: 0,
            events: 0,
            longest_event_gap: None,
            first_send: None,
            first_response: None,
            is_finished: false,
        }
    }

    /// Adds the route, the service, the client account, the model and the configuration of an admitted request.
    pub(crate) fn describe(&mut self, context: &RequestContext) {
        self.route = Some(context.rule.name.clone());
        self.service = Some(context.service.clone());
        let account = context.account.as_ref();
        self.account = account.map(|(account, _)| account.name.clone());
        self.model = context.facts.model.clone();
        self.adapter = context.facts.adapter.clone();
        self.parts = context.facts.shared_parts_text();
        self.config = Some(context.config.version);
    }

    /// Records a send to `backend`, and the time until the first send.
    pub(crate) fn record_send(&mut self, backend: &Name) {
        self.backend = Some(backend.clone());
        if self.first_send.is_none() {
            let elapsed = self.arrived.elapsed();
            self.first_send = Some(elapsed);
            self.state.counters.added.observe(elapsed.as_secs_f64());
        }
    }

    /// Records the time until a backend server's response, or until the first event of a stream.
    pub(crate) fn record_first_response(&mut self) {
        if self.first_response.is_none() {
            let elapsed = self.arrived.elapsed();
            self.first_response = Some(elapsed);
            self.state
                .counters
                .first_answer
                .observe(elapsed.as_secs_f64());
        }
    }

    /// Records the time between two chunks of events; the longest one is logged.
    pub(crate) fn record_event_gap(&mut self, gap: Duration) {
        self.longest_event_gap = self.longest_event_gap.max(Some(gap));
    }

    /// Writes the line and updates the request counters; further calls do nothing.
    pub(crate) fn finish(&mut self, outcome: &str, status: u16) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let counters = &self.state.counters;
        counters.active.dec();
        counters.requests.with_label_values(&[outcome]).inc();
        if outcome == SERVED
            && let (Some(service), Some(model)) = (&self.service, &self.model)
        {
            let adapter = self.adapter.as_ref();
            self.state.uses().record_served(service, model, adapter);
        }
        let model = match (&self.model, &self.adapter) {
            (Some(model), Some(adapter)) => Some(format!("{model}/{adapter}").into()),
            (model, _) => model.clone(),
        };
        let millis = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
        let confirmed = self.state.confirmed.age(self.state.now());
        info!(self.state.logger, "request"; "id" => &*self.id, "outcome" => outcome, "status" => status,
            "route" => self.route.as_deref(), "service" => self.service.as_deref(),
            "account" => self.account.as_deref(), "model" => model.as_deref(),
            "parts" => self.parts.as_deref(), "backend" => self.backend.as_deref(),
            "barred" => self.bar.map(SendBar::name), "arrivals" => self.delivered_sends, "events" => self.events,
            "pause_ms" => millis(self.longest_event_gap), "sent_ms" => millis(self.first_send),
            "answer_ms" => millis(self.first_response),
            "total_ms" => self.arrived.elapsed().as_millis() as u64,
            "config" => self.config, "confirmed_ms" => millis(confirmed));
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.finish("caller-left", 0);
    }
}
