//! How long work takes at one backend server at this moment.
//!
//! It serves the case that servers share their hosts: for parts of a second, some work
//! several times slower than usual while others are sound. A server says so with its
//! answers, and the answers' own time shows it. Both are soon out of date, so an
//! estimate goes back to the usual as it ages. It only orders servers and excludes
//! none: each one is used again as soon as it is the best guess.

use std::time::Duration;

/// How long a told figure is used. The chance that it still holds falls linearly from
/// its arrival until then.
pub const TOLD_AGE_MAX: Duration = Duration::from_millis(600);
/// How long the time of the last answers is used; it shows what lasts.
const MEASURED_AGE_MAX: Duration = Duration::from_secs(3);
/// The weight of a new answer's time.
const MEASURED_WEIGHT: f64 = 0.25;
/// The figure that means as usual.
const USUAL: f64 = 100.0;
/// The smallest and the largest figure that is believed.
const FIGURE_MIN: f64 = 10.0;
const FIGURE_MAX: f64 = 10_000.0;
/// The multiple of the usual time from which on a server counts as slowed.
const SLOWED_FACTOR: f64 = 1.5;
/// The time of an answer before any was measured.
const ANSWER_TIME_DEFAULT: Duration = Duration::from_millis(50);

/// What a backend server says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes, as a multiple of the usual time; none if the figure is
    /// missing or makes no sense.
    pub pace: Option<f64>,
}

impl Load {
    /// Reads `running,waiting[,slots[,pace]]`; none if the first two are no counts.
    pub fn parse(value: &str) -> Option<Load> {
        let mut fields = value.split(',').map(str::trim);
        let running = fields.next()?.parse().ok()?;
        let waiting = fields.next()?.parse().ok()?;
        let figure = fields.nth(1).and_then(|field| field.parse::<f64>().ok());
        let is_sound = |figure: &f64| (FIGURE_MIN..=FIGURE_MAX).contains(figure);
        Some(Load {
            running,
            waiting,
            pace: figure.filter(is_sound).map(|figure| figure / USUAL),
        })
    }
}

/// The estimate of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    told: Option<(f64, Duration)>,
    /// The moving average of its answers' times, as they would be at the usual pace.
    measured: Option<(Duration, Duration)>,
}

impl Estimate {
    /// Records the figure that an answer told.
    pub fn record_told(&mut self, now: Duration, load: &Load) {
        if let Some(pace) = load.pace {
            self.told = Some((pace, now));
        }
    }

    /// Records how long an answer took, without the way. Work of the last moments ran at
    /// the pace that was told with it.
    pub fn record_answer(&mut self, now: Duration, took: Duration) {
        let at_usual_pace = took.div_f64(self.factor(now).max(1.0));
        let average = match self.measured {
            Some((before, at)) if now.saturating_sub(at) <= MEASURED_AGE_MAX => {
                before.mul_f64(1.0 - MEASURED_WEIGHT) + at_usual_pace.mul_f64(MEASURED_WEIGHT)
            }
            Some(_) | None => at_usual_pace,
        };
        self.measured = Some((average, now));
    }

    /// Whether the server has ever told a sound figure.
    pub fn is_told(&self) -> bool {
        self.told.is_some()
    }

    /// How long work takes now, as a multiple of the usual time.
    pub fn factor(&self, now: Duration) -> f64 {
        self.told.map_or(1.0, |(pace, at)| {
            1.0 + (pace - 1.0) * freshness(now, at, TOLD_AGE_MAX)
        })
    }

    /// Whether it says that work takes at least half as long again as usual.
    pub fn is_slowed(&self, now: Duration) -> bool {
        self.factor(now) >= SLOWED_FACTOR
    }

    /// The last average of its answers' times.
    pub fn answer_time(&self) -> Option<Duration> {
        self.measured.map(|(average, _)| average)
    }

    /// The predicted time of the next answer without the way, with `ahead` requests there
    /// on `slots` slots. `usual` is the time of answers at all servers of the service.
    pub fn predict(&self, now: Duration, usual: Duration, ahead: u32, slots: u32) -> Duration {
        let usual_s = usual.as_secs_f64();
        let own_s = self.measured.map_or(usual_s, |(average, at)| {
            let weight = freshness(now, at, MEASURED_AGE_MAX);
            usual_s + (average.as_secs_f64() - usual_s) * weight
        });
        let work = 1.0 + f64::from(ahead) / f64::from(slots.max(1));
        Duration::from_secs_f64((own_s * work * self.factor(now)).max(0.0))
    }
}

/// The usual time of an answer: the median over the servers that have been measured.
pub fn usual(estimates: impl Iterator<Item = Estimate>) -> Duration {
    let mut times: Vec<Duration> = estimates.filter_map(|one| one.answer_time()).collect();
    times.sort_unstable();
    times
        .get(times.len() / 2)
        .copied()
        .unwrap_or(ANSWER_TIME_DEFAULT)
}

/// 1 for what has just arrived, 0 from `age_max` on.
fn freshness(now: Duration, at: Duration, age_max: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (1.0 - age / age_max.as_secs_f64()).max(0.0)
}
