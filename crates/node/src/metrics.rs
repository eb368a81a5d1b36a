//! Metrics of the process, for Prometheus.

use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The upper bounds of latency buckets, in seconds.
const LATENCY_S: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];
/// The upper bounds of the buckets of delays of timers, in seconds.
const TIMER_DELAY_S: [f64; 9] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0];

/// The metrics of an agent.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    registry: Registry,
    /// Slots of the engine that may be granted now.
    pub(crate) slots: IntGauge,
    /// Slots that entries hold.
    pub(crate) in_use: IntGauge,
    /// Requests that wait for a slot here, at all entries.
    pub(crate) waiting: IntGauge,
    /// How much longer the engine is cold, in milliseconds.
    pub(crate) cold_ms: IntGauge,
    /// How often grants were held back because the engine was cold.
    pub(crate) cold_held_back: IntGauge,
    /// The version of the weights that the engine has loaded; 0 if none.
    pub(crate) weights_version: IntGauge,
    /// The time that the engine took to get a version into use, in seconds, by
    /// phase.
    pub(crate) rollout_phase: HistogramVec,
}

impl AgentMetrics {
    pub(crate) fn new() -> AgentMetrics {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each name is registered once");
            gauge
        };
        let rollout_phase = HistogramVec::new(
            HistogramOpts::new(
                "snipewinch_rollout_phase_seconds",
                "From a version's publication to its use by the engine, by phase",
            )
            .buckets(LATENCY_S.to_vec()),
            &["phase"],
        );
        let rollout_phase = rollout_phase.expect("the name is valid");
        registry
            .register(Box::new(rollout_phase.clone()))
            .expect("each name is registered once");
        AgentMetrics {
            slots: gauge(
                "snipewinch_places",
                "Places of the engine that may be given",
            ),
            in_use: gauge("snipewinch_places_in_use", "Places that entries have"),
            waiting: gauge(
                "snipewinch_places_wanted",
                "Requests that wait for a place here",
            ),
            cold_ms: gauge(
                "snipewinch_cold_milliseconds",
                "How much longer the engine is cold",
            ),
            cold_held_back: gauge(
                "snipewinch_cold_held_back",
                "How often grants were held back because the engine was cold",
            ),
            weights_version: gauge(
                "snipewinch_weights_version",
                "The version that the engine holds",
            ),
            rollout_phase,
            registry,
        }
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        text(&self.registry)
    }
}

/// The metrics of an entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    /// Responses to callers, by status.
    pub(crate) answers: IntCounterVec,
    /// Requests that this entry refused, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Requests sent to backend servers, by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Backend servers that are cold.
    pub(crate) cold_servers: IntGauge,
    /// How often a request was not sent to a cold server without a grant.
    pub(crate) cold_held_back: IntGauge,
    /// Second attempts beside slow ones: sent, and won as they answered first.
    pub(crate) second_attempts: IntCounterVec,
    /// Slow requests that got no second attempt, by reason.
    pub(crate) second_attempts_withheld: IntCounterVec,
    /// Engines that were asked whether they can be reached, as their agents were
    /// silent.
    pub(crate) engine_probes: IntCounter,
    /// Streams that were resumed at another backend server.
    pub(crate) streams_resumed: IntCounter,
    /// Requests that had just begun when their backend server ended.
    pub(crate) server_ends: IntCounter,
    /// Parts of prompts that are blocked.
    pub(crate) blocked_parts: IntGauge,
    /// Backend servers that name a limit of requests.
    pub(crate) limited_servers: IntGauge,
    /// Backend servers that rest or say in their answers that they leave.
    pub(crate) resting_servers: IntGauge,
    /// Availability zones that operators have evacuated.
    pub(crate) evacuated_zones: IntGauge,
    /// Requests that were not sent to the backend server of which they had a slot, by
    /// reason.
    pub(crate) exclusions: IntCounterVec,
    /// Backend servers on which work takes longer than usual, as they say.
    pub(crate) slowed_servers: IntGauge,
    /// How old what is known of each followed table is, in seconds.
    pub(crate) table_age: GaugeVec,
    /// Answers that this entry ended before they were complete, by cause.
    pub(crate) answers_cut: IntCounterVec,
    /// Callers that disconnected before their answer was complete.
    pub(crate) callers_left: IntCounter,
    /// Idle connections of callers that were closed at their idle limit.
    pub(crate) idle_connections_closed: IntCounter,
    /// The time from a request's arrival to the first byte of its response, in
    /// seconds.
    pub(crate) first_byte: Histogram,
    /// The time for which a request waited for slots at backend servers, in
    /// seconds.
    pub(crate) slot_wait: Histogram,
    /// The time from sending a request to its first event, in seconds, by
    /// service.
    pub(crate) begin_wait: HistogramVec,
    /// For requests that began on an older version of the weights: how long the
    /// newest one was known then, in seconds, by service.
    pub(crate) old_weights_age: HistogramVec,
    /// Requests that began on an older version after its use had ended, by what
    /// this entry knows, by service.
    pub(crate) outdated_begins: IntCounterVec,
    /// How long after its planned time a request was withdrawn, in seconds.
    pub(crate) withdrawal_delay: Histogram,
    /// How long after its due time the timer of the entry fired, in seconds.
    pub(crate) timer_delay: Histogram,
}

impl EntryMetrics {
    pub(crate) fn new() -> EntryMetrics {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
            let counters = counters.expect("the name is valid");
            registry
                .register(Box::new(counters.clone()))
                .expect("each name is registered once");
            counters
        };
        let histogram_of = |buckets_s: &[f64], name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(buckets_s.to_vec());
            let histogram = Histogram::with_opts(options).expect("the name is valid");
            registry
                .register(Box::new(histogram.clone()))
                .expect("each name is registered once");
            histogram
        };
        let histogram = |name: &str, help: &str| histogram_of(&LATENCY_S, name, help);
        let histograms = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_S.to_vec());
            let histograms = HistogramVec::new(options, &[label]).expect("the name is valid");
            registry
                .register(Box::new(histograms.clone()))
                .expect("each name is registered once");
            histograms
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is registered once");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each name is registered once");
            gauge
        };
        let table_age = GaugeVec::new(
            Opts::new(
                "snipewinch_table_age_seconds",
                "How long ago the store confirmed what is known of a table",
            ),
            &["table"],
        );
        let table_age = table_age.expect("the name is valid");
        registry
            .register(Box::new(table_age.clone()))
            .expect("each name is registered once");
        EntryMetrics {
            cold_servers: gauge(
                "snipewinch_cold_servers",
                "Backend servers that are cold and take few requests",
            ),
            cold_held_back: gauge(
                "snipewinch_cold_held_back",
                "How often a request was not sent to a cold server without a grant",
            ),
            limited_servers: gauge(
                "snipewinch_limited_servers",
                "Backend servers that name a limit of requests",
            ),
            resting_servers: gauge(
                "snipewinch_resting_servers",
                "Backend servers that rest or say in their answers that they leave",
            ),
            evacuated_zones: gauge(
                "snipewinch_evacuated_zones",
                "Availability zones that operators have evacuated",
            ),
            exclusions: counters(
                "snipewinch_exclusions_total",
                "Requests not sent to the backend server whose slot they had",
                "reason",
            ),
            slowed_servers: gauge(
                "snipewinch_slowed_servers",
                "Backend servers on which work takes at least half as long again as usual, as they say",
            ),
            table_age,
            answers: counters("snipewinch_answers_total", "Answers to callers", "status"),
            refusals: counters(
                "snipewinch_refusals_total",
                "Requests refused here",
                "reason",
            ),
            attempts: counters(
                "snipewinch_attempts_total",
                "Requests sent to backend servers",
                "outcome",
            ),
            second_attempts: counters(
                "snipewinch_second_attempts_total",
                "Second attempts beside slow ones",
                "outcome",
            ),
            second_attempts_withheld: counters(
                "snipewinch_second_attempts_withheld_total",
                "Slow requests without a second attempt",
                "reason",
            ),
            engine_probes: counter(
                "snipewinch_engine_probes_total",
                "Engines that were asked for their state while their agents were silent",
            ),
            streams_resumed: counter(
                "snipewinch_streams_resumed_total",
                "Streams that went on at another backend server",
            ),
            server_ends: counter(
                "snipewinch_requests_at_server_end_total",
                "Requests that had just begun when their backend server ended",
            ),
            blocked_parts: gauge(
                "snipewinch_blocked_prompt_parts",
                "Requests and parts of prompts that are refused, as backend servers ended under them",
            ),
            answers_cut: counters(
                "snipewinch_answers_cut_total",
                "Answers ended here before they were complete",
                "cause",
            ),
            callers_left: counter(
                "snipewinch_callers_left_total",
                "Callers that left before their answer was complete",
            ),
            idle_connections_closed: counter(
                "snipewinch_idle_connections_closed_total",
                "Idle connections closed at their limit",
            ),
            first_byte: histogram(
                "snipewinch_first_byte_seconds",
                "From a request's arrival to the first byte of its answer",
            ),
            slot_wait: histogram(
                "snipewinch_place_wait_seconds",
                "From a request's arrival to a place at a backend server",
            ),
            begin_wait: histograms(
                "snipewinch_begin_wait_seconds",
                "From sending a request to a backend server to its first event",
                "service",
            ),
            old_weights_age: histograms(
                "snipewinch_old_weights_age_seconds",
                "How long a newer version was known when a request began on older weights",
                "service",
            ),
            outdated_begins: counters(
                "snipewinch_outdated_begins_total",
                "Requests that began on older weights after their use had ended",
                "service",
            ),
            withdrawal_delay: histogram_of(
                &TIMER_DELAY_S,
                "snipewinch_withdrawal_delay_seconds",
                "From the planned time of a withdrawal to the withdrawal",
            ),
            timer_delay: histogram_of(
                &TIMER_DELAY_S,
                "snipewinch_timer_delay_seconds",
                "From the due time of the entry's timer to its run",
            ),
            registry,
        }
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        text(&self.registry)
    }
}

fn text(registry: &Registry) -> String {
    let mut bytes = format!(
        "# HELP snipewinch_log_lines_lost_total Log lines that were lost, as they were not read in time\n\
         # TYPE snipewinch_log_lines_lost_total counter\n\
         snipewinch_log_lines_lost_total {}\n",
        crate::log::lost_lines()
    )
    .into_bytes();
    match TextEncoder::new().encode(&registry.gather(), &mut bytes) {
        Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) => {
            log::warn!("E7031 encoding the metrics failed: {error}");
            String::new()
        }
    }
}
