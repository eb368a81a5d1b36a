//! What processes make of each other's words about when a version was published, in
//! a model without a network: entries are cut off from the store, and each agent
//! reads it at long intervals.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::cutover::Age;
use snipewinch::cutover::Estimate;
use snipewinch::cutover::Interval;
use snipewinch::grant::Published;

const PUBLISHED_AT: Duration = Duration::from_secs(100);
/// How often agents read the store.
const READ_INTERVAL_S: std::ops::Range<f64> = 7.0..13.0;
/// How often a process sends messages.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(400);
/// To how many others each time.
const RECIPIENTS: usize = 3;
/// How long messages take at most.
const DELAY_MAX_S: f64 = 0.2;
/// How long a process may need to learn what the others know.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);

#[derive(Clone, Debug, Default)]
struct Process {
    /// The times of its reads; none for an entry.
    reads: Vec<Duration>,
    known: Option<Estimate>,
    is_read: bool,
}

impl Process {
    /// The last read before a moment.
    fn read_before(&self, now: Duration) -> Option<Duration> {
        self.reads.iter().copied().rfind(|at| *at < now)
    }

    fn read(&mut self, now: Duration) {
        let last = self.read_before(now).unwrap_or_default();
        let own = Estimate::observed(Interval {
            earliest: last,
            latest: now,
        });
        match &mut self.known {
            _ if self.is_read => {}
            Some(known) => {
                known.narrow(own);
            }
            None => self.known = Some(own),
        }
        self.is_read = true;
    }

    fn hear(&mut self, now: Duration, age: Age) {
        match &mut self.known {
            Some(known) => {
                if let Some(heard) = Estimate::heard(now, age) {
                    known.narrow(heard);
                }
            }
            None => self.known = Estimate::first_heard(now, Some(age), self.read_before(now)),
        }
    }
}

struct Message {
    at: Duration,
    to: usize,
    age: Age,
}

/// Plays `entries` and as many `agents` and returns how much older the version
/// seems to an entry at most than it is, after [`SETTLE_TIME`].
fn play(entries: usize, agents: usize, seed: u64) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut processes = vec![Process::default(); entries + agents];
    for process in &mut processes[entries..] {
        let mut at = rng.random_range(0.0..10.0);
        while at < 140.0 {
            process.reads.push(Duration::from_secs_f64(at));
            at += rng.random_range(READ_INTERVAL_S);
        }
    }
    let mut messages: Vec<Message> = Vec::new();
    let mut known_since = None;
    let mut now = PUBLISHED_AT - STEP;
    loop {
        now += STEP;
        let next = now + STEP;
        for index in entries..entries + agents {
            let reads = processes[index].reads.clone();
            for at in reads.into_iter().filter(|at| (now..next).contains(at)) {
                processes[index].read(at);
                known_since.get_or_insert(at);
            }
        }
        for index in 0..processes.len() {
            let phase = STEP * (index % 20) as u32;
            let is_due = (now + phase).as_millis() % MESSAGE_INTERVAL.as_millis() == 0;
            let Some(known) = processes[index].known.filter(|_| is_due) else {
                continue;
            };
            for _ in 0..RECIPIENTS {
                let to = match index < entries {
                    true => entries + rng.random_range(0..agents),
                    false => rng.random_range(0..entries),
                };
                let delay = Duration::from_secs_f64(rng.random_range(0.0..DELAY_MAX_S));
                // As it is on the wire.
                let age = Published::new(2, Some(known.age(now))).age();
                messages.push(Message {
                    at: now + delay,
                    to,
                    age: age.expect("it is known"),
                });
            }
        }
        for message in messages.extract_if(.., |one| one.at < next) {
            processes[message.to].hear(message.at, message.age);
        }
        for process in &processes {
            let interval = process.known.map(Estimate::interval);
            let is_sound = interval
                .is_none_or(|known| (known.earliest..=known.latest).contains(&PUBLISHED_AT));
            assert!(is_sound, "seed {seed}: {interval:?} of {PUBLISHED_AT:?}");
        }
        if known_since.is_some_and(|since| now >= since + SETTLE_TIME) {
            let entries = processes[..entries].iter();
            let excess = entries.map(|entry| {
                let known = entry.known.expect("each entry has heard of it");
                PUBLISHED_AT - known.interval().earliest
            });
            return excess.max().unwrap_or_default();
        }
    }
}

/// Guards against entries that take a version for 10 s older than it is, and so
/// refuse what old weights could serve, or for younger than it is.
#[test]
fn a_version_seems_too_old_to_entries_that_hear_of_it_from_agents() {
    for (entries, agents, seeds) in [(18, 12, 40), (55, 45, 20), (149, 120, 5), (360, 360, 3)] {
        // Some agent has read the store this long before, in the longest case.
        let gap = Duration::from_secs_f64(3.0 * READ_INTERVAL_S.end / agents as f64);
        let allowed = gap + Duration::from_secs_f64(4.0 * DELAY_MAX_S);
        for seed in 0..seeds {
            let excess = play(entries, agents, seed);
            println!("{entries} entries, seed {seed}: {excess:?} of {allowed:?}");
            assert!(
                excess <= allowed,
                "{entries} entries, seed {seed}: it seems {excess:?} older than it is"
            );
        }
    }
}
