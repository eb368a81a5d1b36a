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

/// Entries, then agents, from the publication on.
struct Fleet {
    rng: ChaCha8Rng,
    seed: u64,
    entries: usize,
    processes: Vec<Process>,
    messages: Vec<Message>,
    /// When the first agent has read the version.
    known_since: Option<Duration>,
}

impl Fleet {
    fn new(entries: usize, agents: usize, seed: u64) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut processes = vec![Process::default(); entries + agents];
        for process in &mut processes[entries..] {
            let mut at = rng.random_range(0.0..10.0);
            while at < 140.0 {
                process.reads.push(Duration::from_secs_f64(at));
                at += rng.random_range(READ_INTERVAL_S);
            }
        }
        Fleet {
            rng,
            seed,
            entries,
            processes,
            messages: Vec::new(),
            known_since: None,
        }
    }

    /// Returns how much older the version seems to an entry at most than it is,
    /// after [`SETTLE_TIME`].
    fn play(mut self) -> Duration {
        let mut now = PUBLISHED_AT;
        loop {
            self.read(now);
            self.send(now);
            self.deliver(now);
            self.assert_sound();
            now += STEP;
            if self.known_since.is_some_and(|at| now >= at + SETTLE_TIME) {
                return self.excess();
            }
        }
    }

    fn read(&mut self, now: Duration) {
        for process in &mut self.processes[self.entries..] {
            let due = process.reads.iter().copied();
            let due: Vec<Duration> = due.filter(|at| (now..now + STEP).contains(at)).collect();
            for at in due {
                process.read(at);
                self.known_since.get_or_insert(at);
            }
        }
    }

    fn send(&mut self, now: Duration) {
        let agents = self.processes.len() - self.entries;
        for (index, process) in self.processes.iter().enumerate() {
            let phase = STEP * (index % 20) as u32;
            let interval_ms = MESSAGE_INTERVAL.as_millis();
            let is_due = (now + phase).as_millis().is_multiple_of(interval_ms);
            let Some(known) = process.known.filter(|_| is_due) else {
                continue;
            };
            for _ in 0..RECIPIENTS {
                let to = match index < self.entries {
                    true => self.entries + self.rng.random_range(0..agents),
                    false => self.rng.random_range(0..self.entries),
                };
                let delay = Duration::from_secs_f64(self.rng.random_range(0.0..DELAY_MAX_S));
                // As it is on the wire.
                let age = Published::new(2, Some(known.age(now))).age();
                self.messages.push(Message {
                    at: now + delay,
                    to,
                    age: age.expect("it is known"),
                });
            }
        }
    }

    fn deliver(&mut self, now: Duration) {
        for message in self.messages.extract_if(.., |one| one.at < now + STEP) {
            self.processes[message.to].hear(message.at, message.age);
        }
    }

    /// Asserts that the version was published when each process thinks it was.
    fn assert_sound(&self) {
        for process in &self.processes {
            let interval = process.known.map(Estimate::interval);
            let is_sound = interval
                .is_none_or(|known| (known.earliest..=known.latest).contains(&PUBLISHED_AT));
            let seed = self.seed;
            assert!(is_sound, "seed {seed}: {interval:?} of {PUBLISHED_AT:?}");
        }
    }

    fn excess(&self) -> Duration {
        let entries = self.processes[..self.entries].iter();
        let excess = entries.map(|entry| {
            let known = entry.known.expect("each entry has heard of it");
            PUBLISHED_AT - known.interval().earliest
        });
        excess.max().unwrap_or_default()
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
            let excess = Fleet::new(entries, agents, seed).play();
            println!("{entries} entries, seed {seed}: {excess:?} of {allowed:?}");
            assert!(
                excess <= allowed,
                "{entries} entries, seed {seed}: it seems {excess:?} older than it is"
            );
        }
    }
}
