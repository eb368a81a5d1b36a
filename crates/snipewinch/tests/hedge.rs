//! Second attempts make slow answers rarer, keep their limit and cost nothing where
//! requests wait.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use snipewinch::attempt::Attempts;
use snipewinch::attempt::Event;
use snipewinch::attempt::Step;
use snipewinch::hedge::Facts;
use snipewinch::hedge::Hedge;
use snipewinch::hedge::Limit;
use snipewinch::hedge::WINDOW;
use snipewinch::hedge::Withheld;
use snipewinch::route::Repeat;

const RESUMABLE: Repeat = Repeat::Stream {
    resumable: true,
    gap: Duration::from_millis(400),
};
const NOT_RESUMABLE: Repeat = Repeat::Stream {
    resumable: false,
    gap: Duration::from_millis(400),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open(share: &str) -> Hedge {
    Hedge::open(Limit::parse(share).expect("it is a share"))
}

fn take(hedge: &mut Hedge, now: Duration, facts: Facts) -> Result<(), Withheld> {
    hedge.try_take(now, &"desk".into(), facts, || true)
}

#[test]
fn a_limit_that_is_no_share_is_refused() {
    for text in ["", "-0.01", "1.01", "NaN", "inf", "2%", "half"] {
        assert_eq!(Limit::parse(text), None, "{text}");
    }
    assert_eq!(Limit::parse("0"), Some(Limit::default()));
    assert!(Limit::parse(" 0.02 ").is_some_and(|limit| !limit.is_off()));
}

#[test]
fn with_the_limit_0_no_request_is_slow() {
    let mut hedge = open("0");
    for _ in 0..100 {
        hedge.record_request(ms(1), &"desk".into());
        hedge.record_answer(&"read".into(), 0, ms(20));
    }
    assert_eq!(hedge.delay(&"read".into(), 0), None);
    assert_eq!(
        take(&mut hedge, ms(2), Facts::default()),
        Err(Withheld::Limit)
    );
}

#[test]
fn the_delay_is_learned_for_each_route_and_size() {
    let mut hedge = open("0.02");
    let route = SmolStr::from("draft");
    assert_eq!(hedge.delay(&route, 500), None);
    for index in 0..100 {
        hedge.record_answer(&route, 500, ms(100 + index));
        hedge.record_answer(&route, 5_000, ms(400 + index));
    }
    let short = hedge.delay(&route, 400).expect("it is learned");
    let long = hedge.delay(&route, 4_500).expect("it is learned");
    assert!(short > ms(190) && short < ms(240), "{short:?}");
    assert!(long > ms(480) && long < ms(600), "{long:?}");
    assert_eq!(
        hedge.delay(&route, 20),
        Some(long),
        "of the route as a whole"
    );
    assert_eq!(hedge.delay(&"other".into(), 500), None);
}

#[test]
fn no_second_attempt_where_it_takes_from_others_or_may_harm() {
    let mut hedge = open("1");
    let now = ms(1_000);
    for _ in 0..10 {
        hedge.record_request(now, &"desk".into());
    }
    let suspected = Facts {
        is_suspected: true,
        ..Facts::default()
    };
    let crowded = Facts {
        others_wait: true,
        ..Facts::default()
    };
    assert_eq!(take(&mut hedge, now, suspected), Err(Withheld::Suspected));
    assert_eq!(take(&mut hedge, now, crowded), Err(Withheld::Waiting));
    let spent = hedge.try_take(now, &"desk".into(), Facts::default(), || false);
    assert_eq!(spent, Err(Withheld::RetryBudget));
    hedge.record_refusal(now, &"desk".into());
    let refusing = take(&mut hedge, now + ms(900), Facts::default());
    assert_eq!(refusing, Err(Withheld::Refusing));
    let later = take(&mut hedge, now + ms(1_100), Facts::default());
    assert_eq!(later, Ok(()));
}

#[test]
fn what_may_not_be_repeated_gets_no_second_attempt() {
    for (repeat, runs_max) in [
        (Repeat::Never, 3),
        (NOT_RESUMABLE, 3),
        (Repeat::Idempotent, 1),
        (RESUMABLE, 1),
    ] {
        let mut attempts = Attempts::new(repeat, runs_max);
        let key = attempts.begin();
        assert_eq!(attempts.handle(Event::Slow(key)), Step::Wait);
    }
}

#[test]
fn a_slow_request_gets_one_second_attempt_and_no_third() {
    let mut attempts = Attempts::new(Repeat::Idempotent, 4);
    let first = attempts.begin();
    assert_eq!(attempts.handle(Event::Slow(first)), Step::Retry);
    assert_eq!(attempts.handle(Event::Slow(first)), Step::Wait);
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::Slow(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Slow(second)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(second)), Step::Retry);
}

#[test]
fn a_second_attempt_without_a_slot_ends_no_request_whose_first_has_broken() {
    let mut attempts = Attempts::new(Repeat::Idempotent, 2);
    let first = attempts.begin();
    assert_eq!(attempts.handle(Event::Slow(first)), Step::Retry);
    assert_eq!(attempts.handle(Event::Broken(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Unreached), Step::Retry);
}

/// A source of numbers that look random.
struct Numbers(u64);

impl Numbers {
    fn unit(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

const SERVERS: usize = 4;
const SLOTS: usize = 4;
const WORK_MS: f64 = 30.0;
const LENGTH_MS: u64 = 120_000;
/// The longest wait for a slot.
const WAIT_MAX_MS: u64 = 500;

struct Run {
    request: usize,
    ends: u64,
}

struct Outcome {
    /// The times of the answers, sorted.
    took_ms: Vec<u64>,
    arrivals: Vec<u64>,
    seconds: Vec<u64>,
}

impl Outcome {
    fn percentile(&self, share: f64) -> u64 {
        self.took_ms[(self.took_ms.len() as f64 * share) as usize]
    }
}

/// One entry before servers that are slow for a part of the time and silent at times, at
/// a share of their capacity without noise.
fn play(load: f64, share: &str) -> Outcome {
    let (service, route) = (SmolStr::from("desk"), SmolStr::from("read"));
    let mut hedge = open(share);
    let mut numbers = Numbers(7);
    let mut servers: [Vec<Run>; SERVERS] = std::array::from_fn(|_| Vec::new());
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut begun: Vec<Option<(u64, usize)>> = Vec::new();
    let mut checks: VecDeque<(u64, usize)> = VecDeque::new();
    let mut outcome = Outcome {
        took_ms: Vec::new(),
        arrivals: Vec::new(),
        seconds: Vec::new(),
    };
    let mut done: Vec<bool> = Vec::new();
    let rate = load * (SERVERS * SLOTS) as f64 / WORK_MS;
    for now in 0..LENGTH_MS {
        let at = ms(now);
        for server in &mut servers {
            let ended = server.extract_if(.., |run| run.ends <= now);
            for run in ended.collect::<Vec<Run>>() {
                if !std::mem::replace(&mut done[run.request], true) {
                    let arrived = outcome.arrivals[run.request];
                    outcome.took_ms.push(now - arrived);
                    let since = begun[run.request].expect("it has begun").0;
                    hedge.record_answer(&route, 0, ms(now - since));
                }
            }
        }
        // The loser is withdrawn at once.
        for server in &mut servers {
            server.retain(|run| !done[run.request]);
        }
        let mut left = rate;
        while numbers.unit() < left {
            left -= 1.0;
            queue.push_back(outcome.arrivals.len());
            outcome.arrivals.push(now);
            begun.push(None);
            done.push(false);
            hedge.record_request(at, &service);
        }
        let mut slow: Vec<usize> = Vec::new();
        checks.retain(|(due, request)| {
            let is_due = *due <= now;
            slow.extend(Some(*request).filter(|one| is_due && !done[*one]));
            !is_due
        });
        queue.retain(|request| {
            let is_over = outcome.arrivals[*request] + WAIT_MAX_MS <= now;
            if is_over {
                hedge.record_refusal(at, &service);
            }
            !is_over
        });
        let mut run_at = |servers: &mut [Vec<Run>; SERVERS], server: usize, request: usize| {
            let is_slow = (now / 600 + server as u64 * 3).is_multiple_of(7);
            let mut took = -WORK_MS * 0.5 * numbers.unit().ln() + WORK_MS * 0.5;
            took *= if is_slow { 2.5 } else { 1.0 };
            took += if numbers.unit() < 0.004 { 800.0 } else { 0.0 };
            let ends = now + took as u64;
            servers[server].push(Run { request, ends });
        };
        while let Some(free) = free_server(&servers, None)
            && let Some(request) = queue.pop_front()
        {
            begun[request] = Some((now, free));
            run_at(&mut servers, free, request);
            if let Some(delay) = hedge.delay(&route, 0) {
                checks.push_back((now + delay.as_millis() as u64, request));
            }
        }
        for request in slow {
            let first = begun[request].expect("it has begun").1;
            let facts = Facts {
                others_wait: !queue.is_empty(),
                ..Facts::default()
            };
            let free = free_server(&servers, Some(first));
            let facts = Facts {
                others_wait: facts.others_wait || free.is_none(),
                ..facts
            };
            match hedge.try_take(at, &service, facts, || true) {
                Ok(()) => {
                    outcome.seconds.push(now);
                    run_at(&mut servers, free.expect("a slot is free"), request);
                }
                Err(reason) if reason.is_passing() => {
                    let delay = hedge.delay(&route, 0).expect("it was known before");
                    checks.push_back((now + delay.as_millis() as u64, request));
                }
                Err(_) => {}
            }
        }
    }
    outcome.took_ms.sort_unstable();
    outcome
}

fn free_server(servers: &[Vec<Run>; SERVERS], except: Option<usize>) -> Option<usize> {
    (0..SERVERS)
        .filter(|one| Some(*one) != except && servers[*one].len() < SLOTS)
        .min_by_key(|one| servers[*one].len())
}

#[test]
fn below_capacity_slow_and_silent_servers_cost_less_with_second_attempts() {
    for load in [0.5, 0.7] {
        let (without, with) = (play(load, "0"), play(load, "0.02"));
        assert!(without.seconds.is_empty());
        let (before, after) = (without.percentile(0.999), with.percentile(0.999));
        assert!(
            after * 2 < before,
            "p99.9 at {load}: {before} to {after} ms"
        );
        let (before, after) = (without.percentile(0.99), with.percentile(0.99));
        assert!(after < before, "p99 at {load}: {before} to {after} ms");
    }
}

#[test]
fn past_capacity_second_attempts_neither_gain_nor_lose() {
    for load in [1.0, 1.2] {
        let (without, with) = (play(load, "0"), play(load, "0.05"));
        let (before, after) = (without.took_ms.len() as f64, with.took_ms.len() as f64);
        assert!(
            (after / before - 1.0).abs() < 0.005,
            "{before} to {after} answers"
        );
        assert!(
            with.seconds.len() < 20,
            "{} second attempts",
            with.seconds.len()
        );
    }
}

#[test]
fn second_attempts_never_exceed_the_limit_in_any_window() {
    let window_ms = WINDOW.as_millis() as u64;
    for (load, share) in [(0.5, 0.01), (0.7, 0.02), (0.9, 0.05), (1.2, 0.05)] {
        let outcome = play(load, &share.to_string());
        for at in &outcome.seconds {
            let is_within = |one: &&u64| **one <= *at && **one + window_ms > *at;
            let seconds = outcome.seconds.iter().filter(is_within).count() as f64;
            let requests = outcome.arrivals.iter().filter(is_within).count() as f64;
            assert!(
                seconds <= share * requests,
                "{seconds} of {requests} at {at} ms, limit {share}"
            );
        }
    }
}
