//! Predicts when a model engine answers, from how it works and what it was
//! given.
//!
//! An engine works in passes (continuous batching: Yu et al., "Orca", OSDI
//! 2022). A pass writes some tokens of every running request and reads all
//! prompts that wait at its start. So the first event of a request comes at the
//! end of the next pass, and everybody's pause is as long as the prompts that
//! a pass reads: a few long prompts at once make a dozen streams late.
//!
//! The load that this answers: requests that come in clumps. An engine whose
//! places are free may still have no room for another prompt just now, while
//! its neighbour does.

use std::time::Duration;

/// How an engine works.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that a pass writes of each request.
    pub stride: u32,
    /// How long writing a token takes.
    pub step: Duration,
    /// How much longer for each request that writes.
    pub step_per_call: Duration,
    /// Prompt tokens read in a second; 0 if prompts cost nothing.
    pub read_per_s: f64,
}

impl Spec {
    /// How long a pass takes that reads nothing.
    fn write(&self, running: u64) -> Duration {
        let step = self.step + self.step_per_call.mul_f64(running as f64);
        step * self.stride
    }

    /// How long reading takes.
    pub fn read(&self, tokens: f64) -> Duration {
        match self.read_per_s > 0.0 {
            true => Duration::from_secs_f64(tokens.max(0.0) / self.read_per_s),
            false => Duration::ZERO,
        }
    }
}

/// Where an engine stands, as far as can be told from outside.
#[derive(Clone, Copy, Debug, Default)]
pub struct Model {
    spec: Spec,
    /// When the pass under way ends; past if there is none.
    pass_end: Duration,
    /// Prompt tokens that the next pass reads.
    unread: f64,
}

impl Model {
    /// Sets how the engine works.
    pub fn set_spec(&mut self, spec: Spec) {
        self.spec = spec;
    }

    /// Brings the model up to `now`, with `running` requests at the engine.
    pub fn advance(&mut self, now: Duration, running: u64) {
        while self.pass_end <= now {
            if running == 0 || self.spec.step.is_zero() {
                self.unread = 0.0;
                return;
            }
            let pass = self.spec.write(running) + self.spec.read(self.unread);
            // After a long gap there is no telling where in a pass it stands.
            self.pass_end = (self.pass_end + pass).max(now.saturating_sub(pass));
            self.unread = 0.0;
        }
    }

    /// How long the first event of a request with so many prompt tokens takes
    /// from now.
    pub fn first_event(&self, now: Duration, running: u64, tokens: f64) -> Duration {
        self.pass_end.saturating_sub(now) + self.next_pass(running, tokens)
    }

    /// How long the next pass takes if it reads so many tokens more.
    pub fn next_pass(&self, running: u64, tokens: f64) -> Duration {
        self.spec.write(running + 1) + self.spec.read(self.unread + tokens)
    }

    /// Whether the next pass reads no prompt yet.
    pub fn reads_nothing(&self) -> bool {
        self.unread <= 0.0
    }

    /// A request goes to the engine.
    pub fn admit(&mut self, now: Duration, running: u64, tokens: f64) {
        if self.pass_end <= now {
            // An idle engine begins at once.
            self.pass_end = now + self.spec.write(running + 1) + self.spec.read(tokens);
        } else {
            self.unread += tokens;
        }
    }

    /// A request that was to go to the engine does not.
    pub fn withdraw(&mut self, tokens: f64) {
        self.unread = (self.unread - tokens).max(0.0);
    }

    /// When the pass under way ends.
    pub fn pass_end(&self) -> Duration {
        self.pass_end
    }
}
