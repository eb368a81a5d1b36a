//! Predicts when a model engine answers, from its parameters and the requests
//! that it was given.
//!
//! An engine works in passes (continuous batching: Yu et al., "Orca", OSDI
//! 2022). A pass prefills all prompts that wait at its start and decodes some
//! tokens of every running request. A request's first event therefore comes at
//! the end of the next pass, and the prompts that a pass prefills delay all
//! running streams: a few long prompts in one pass make a dozen streams late.
//!
//! This matters when requests come in bursts. An engine with free slots may
//! have no time for another prompt in its next pass while another engine does.

use std::time::Duration;

/// The parameters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that a pass decodes of each request.
    pub stride: u32,
    /// How long decoding a token takes.
    pub step: Duration,
    /// How much longer it takes for each running request.
    pub step_per_call: Duration,
    /// Prompt tokens prefilled per second; 0 if prompts take no time.
    pub read_per_s: f64,
}

impl Spec {
    /// How long a pass without prompts takes with `running` requests.
    fn decode_time(&self, running: u64) -> Duration {
        let step = self.step + self.step_per_call.mul_f64(running as f64);
        step * self.stride
    }

    /// How long prefilling a prompt of `tokens` takes.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        match self.read_per_s > 0.0 {
            true => Duration::from_secs_f64(tokens.max(0.0) / self.read_per_s),
            false => Duration::ZERO,
        }
    }

    /// The time to the first event of a request behind as many others as there
    /// are slots, with prompts of `tokens` each.
    pub fn full_wait(&self, tokens: f64) -> Duration {
        let running = u64::from(self.slots);
        self.decode_time(running) * 2 + self.prefill_time(tokens * (running + 1) as f64)
    }
}

/// The state of an engine, estimated from outside.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predictor {
    spec: Spec,
    /// When the current pass ends; in the past if the engine is idle.
    pass_end: Duration,
    /// Prompt tokens that the next pass prefills.
    pending_tokens: f64,
}

impl Predictor {
    /// Sets the parameters of the engine.
    pub fn set_spec(&mut self, spec: Spec) {
        self.spec = spec;
    }

    /// Advances the estimate to `now`, with `running` requests at the engine.
    pub fn advance(&mut self, now: Duration, running: u64) {
        while self.pass_end <= now {
            if running == 0 || self.spec.step.is_zero() {
                self.pending_tokens = 0.0;
                return;
            }
            let pass = self.spec.decode_time(running) + self.spec.prefill_time(self.pending_tokens);
            // After a long gap the position within a pass is unknown.
            self.pass_end = (self.pass_end + pass).max(now.saturating_sub(pass));
            self.pending_tokens = 0.0;
        }
    }

    /// The time from `now` to the first event of a request with a prompt of
    /// `tokens`.
    pub fn first_event_delay(&self, now: Duration, running: u64, tokens: f64) -> Duration {
        self.pass_end.saturating_sub(now) + self.next_pass_time(running, tokens)
    }

    /// How long a pass without prompts takes with `running` requests.
    pub fn decode_time(&self, running: u64) -> Duration {
        self.spec.decode_time(running)
    }

    /// How long prefilling a prompt of `tokens` takes.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        self.spec.prefill_time(tokens)
    }

    /// How long the next pass takes if it prefills `tokens` more.
    pub fn next_pass_time(&self, running: u64, tokens: f64) -> Duration {
        self.spec.decode_time(running + 1) + self.spec.prefill_time(self.pending_tokens + tokens)
    }

    /// Whether no prompt waits for the next pass.
    pub fn has_no_pending_prompt(&self) -> bool {
        self.pending_tokens <= 0.0
    }

    /// Records that a request with a prompt of `tokens` goes to the engine.
    pub fn admit(&mut self, now: Duration, running: u64, tokens: f64) {
        if self.pass_end <= now {
            // An idle engine starts a pass at once.
            self.pass_end =
                now + self.spec.decode_time(running + 1) + self.spec.prefill_time(tokens);
        } else {
            self.pending_tokens += tokens;
        }
    }

    /// Removes an admitted prompt of `tokens` whose slot was not used.
    pub fn withdraw(&mut self, tokens: f64) {
        self.pending_tokens = (self.pending_tokens - tokens).max(0.0);
    }

    /// When the current pass ends.
    pub fn pass_end(&self) -> Duration {
        self.pass_end
    }
}
