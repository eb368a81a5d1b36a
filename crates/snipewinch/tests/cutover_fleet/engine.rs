//! An engine that works in passes, and its host.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use snipewinch::engine::Predictor;
use snipewinch::engine::Spec;

/// How many requests run at once.
pub(crate) const SLOTS: u64 = 16;
/// Prompt tokens that a step reads at most.
const CHUNK: u32 = 512;
/// By how much each 1,000 tokens of context of a writing request slow down a
/// step.
const CONTEXT_PER_K: Duration = Duration::from_micros(300);
/// How long loading takes once nothing runs.
const WARM: Duration = Duration::from_millis(600);

pub(crate) fn spec(pace: f64) -> Spec {
    Spec {
        slots: SLOTS as u32,
        stride: 4,
        step: Duration::from_millis(12).mul_f64(pace),
        step_per_call: Duration::from_micros(900).mul_f64(pace),
        read_per_s: 8_000.0 / pace,
    }
}

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) prompt: u32,
    pub(crate) answer: u32,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    attempt: usize,
    unread: u32,
    unwritten: u32,
    context: u32,
}

/// What became of requests in a step.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) begun: Vec<usize>,
    pub(crate) complete: Vec<usize>,
}

/// When something is out of order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outages(Vec<Range<Duration>>);

impl Outages {
    pub(crate) fn push(&mut self, outage: Range<Duration>) {
        self.0.push(outage);
    }

    /// The end of the outage at a time, if there is one.
    pub(crate) fn end(&self, at: Duration) -> Option<Duration> {
        let current = self.0.iter().filter(|one| one.contains(&at));
        current.map(|one| one.end).max()
    }

    /// The length of the longest one that ended in a window.
    pub(crate) fn longest_ended(&self, window: Range<Duration>) -> Duration {
        let ended = self.0.iter().filter(|one| window.contains(&one.end));
        ended
            .map(|one| one.end - one.start)
            .max()
            .unwrap_or_default()
    }

    pub(crate) fn is_on(&self, at: Duration) -> bool {
        self.end(at).is_some()
    }

    pub(crate) fn starts_in(&self, window: Range<Duration>) -> bool {
        self.0.iter().any(|one| window.contains(&one.start))
    }
}

/// A host with an agent and an engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) version: u64,
    /// The version that it loads, or waits to load.
    pub(crate) loading: Option<u64>,
    pub(crate) frozen: Outages,
    pub(crate) cut: Outages,
    pub(crate) stopped: Outages,
    pub(crate) slow: Outages,
    slowness: f64,
    /// Slots that the agent has granted.
    pub(crate) in_use: u64,
    predictor: Predictor,
    running: Vec<Run>,
    queue: VecDeque<(usize, Work)>,
    steps_left: u32,
    pub(crate) is_stepping: bool,
}

impl Engine {
    /// Creates an engine with version 1 that is at times slower by a factor.
    pub(crate) fn new(slowness: f64) -> Engine {
        Engine {
            version: 1,
            slowness,
            ..Engine::default()
        }
    }

    fn pace(&self, at: Duration) -> f64 {
        match self.slow.is_on(at) {
            true => self.slowness,
            false => 1.0,
        }
    }

    pub(crate) fn is_reachable(&self, at: Duration) -> bool {
        !self.frozen.is_on(at) && !self.cut.is_on(at)
    }

    pub(crate) fn agent_answers(&self, at: Duration) -> bool {
        self.is_reachable(at) && !self.stopped.is_on(at)
    }

    /// Grants a slot for a prompt. Returns the time to the first event by the
    /// engine's own model, with the pace of its last report.
    pub(crate) fn grant(&mut self, now: Duration, lag: Duration, tokens: u32) -> Option<Duration> {
        if self.loading.is_some() || self.in_use >= SLOTS {
            return None;
        }
        let delay = self.predict(now, lag, tokens);
        self.predictor.admit(now, self.in_use, f64::from(tokens));
        self.in_use += 1;
        Some(delay)
    }

    pub(crate) fn predict(&mut self, now: Duration, lag: Duration, tokens: u32) -> Duration {
        self.predictor
            .set_spec(spec(self.pace(now.saturating_sub(lag))));
        self.predictor.advance(now, self.in_use);
        self.predictor
            .first_event_delay(now, self.in_use, f64::from(tokens))
    }

    /// How long a prompt is read, by the engine's own model.
    pub(crate) fn predict_prompt(&self, now: Duration, lag: Duration, tokens: u32) -> Duration {
        spec(self.pace(now.saturating_sub(lag))).prefill_time(f64::from(tokens))
    }

    pub(crate) fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    pub(crate) fn enqueue(&mut self, attempt: usize, work: Work) {
        self.queue.push_back((attempt, work));
    }

    pub(crate) fn remove(&mut self, attempt: usize) {
        self.running.retain(|one| one.attempt != attempt);
        self.queue.retain(|one| one.0 != attempt);
    }

    /// Keeps only some requests.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(usize) -> bool) {
        self.running.retain(|one| is_kept(one.attempt));
        self.queue.retain(|one| is_kept(one.0));
    }

    /// Starts a step, and a pass where the last one is over. Returns when it
    /// ends, if there is anything to do.
    pub(crate) fn start_step(&mut self, now: Duration) -> Option<Duration> {
        if self.steps_left == 0 {
            while self.running.len() < SLOTS as usize && self.loading.is_none() {
                let Some((attempt, work)) = self.queue.pop_front() else {
                    break;
                };
                self.running.push(Run {
                    attempt,
                    unread: work.prompt,
                    unwritten: work.answer,
                    context: work.prompt,
                });
            }
            let writes = self.running.iter().any(|one| one.unread == 0);
            self.steps_left = if writes { spec(1.0).stride } else { 1 };
        }
        if self.running.is_empty() {
            self.steps_left = 0;
            return None;
        }
        let writers = self.running.iter().filter(|one| one.unread == 0);
        let (count, context) = writers.fold((0, 0), |(count, context), one| {
            (count + 1, context + one.context)
        });
        let unread: u32 = self.running.iter().map(|one| one.unread).sum();
        let spec = spec(self.pace(now));
        let write = spec.step + spec.step_per_call * count;
        let context = CONTEXT_PER_K.mul_f64(f64::from(context) / 1_000.0 * self.pace(now));
        Some(now + write + context + spec.prefill_time(f64::from(unread.min(CHUNK))))
    }

    pub(crate) fn end_step(&mut self) -> Progress {
        self.steps_left = self.steps_left.saturating_sub(1);
        let mut progress = Progress::default();
        let mut budget = CHUNK;
        for run in &mut self.running {
            if run.unread == 0 {
                run.unwritten = run.unwritten.saturating_sub(1);
                run.context += 1;
                if run.unwritten == 0 {
                    progress.complete.push(run.attempt);
                }
                continue;
            }
            let read = run.unread.min(budget);
            run.unread -= read;
            budget -= read;
            if run.unread == 0 {
                progress.begun.push(run.attempt);
            }
        }
        self.running.retain(|one| one.unwritten > 0);
        progress
    }

    /// When loading ends, if it starts now.
    pub(crate) fn warm_end(&self, now: Duration) -> Option<Duration> {
        self.running.is_empty().then_some(now + WARM)
    }

    /// Sets the loaded version and returns the requests that wait.
    pub(crate) fn finish_loading(&mut self) -> Vec<usize> {
        if let Some(version) = self.loading.take() {
            self.version = version;
        }
        let waiting = std::mem::take(&mut self.queue);
        waiting.into_iter().map(|one| one.0).collect()
    }
}
