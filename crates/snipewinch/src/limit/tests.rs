use std::collections::BTreeMap;
use std::collections::HashSet;

use super::*;
use crate::mix::Rng;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn customer(name: &str, rate: Option<u32>, priority: u8) -> document::Customer {
    document::Customer {
        name: name.into(),
        key: crate::Digest::of(name.as_bytes()),
        share: document::DEFAULT_SHARE,
        requests_per_second: rate,
        priority,
    }
}

fn document(customers: Vec<document::Customer>) -> document::Document {
    let service = document::Service {
        name: "scribe".into(),
        backend: document::Backend::Plain {
            prefix: "/scribe".into(),
        },
        zones: Vec::new(),
        repeat: document::Repeat::Allowed,
        concurrency: document::DEFAULT_CONCURRENCY,
        deadline_ms: document::DEFAULT_DEADLINE_MS,
    };
    document::Document {
        customers,
        services: vec![service],
        ..document::Document::default()
    }
}

fn arrival(now: Duration, ticket: Ticket, customer: &str) -> Arrival {
    Arrival {
        ticket,
        service: "scribe".into(),
        customer: customer.into(),
        cost: 1,
        deadline: Deadline::after(now, 10 * SECOND),
    }
}

fn entry(n: usize) -> host::Name {
    host::Name(format!("entry-{n}").into())
}

/// Limiters that gossip on a ring with chords, some messages being lost.
struct Fleet {
    limiters: Vec<Limiter>,
    links: HashSet<(usize, usize)>,
    draw: Rng,
    lost_percent: usize,
    now: Duration,
    ticket: Ticket,
}

impl Fleet {
    fn new(count: usize, rate: u32, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            limiters: Vec::new(),
            links: HashSet::new(),
            draw: Rng::new(seed),
            lost_percent: 0,
            now: SECOND,
            ticket: 0,
        };
        for n in 0..count {
            let mut limiter = Limiter::new(seed + n as u64);
            limiter.configure(&document(vec![customer("a", Some(rate), 0)]));
            limiter.set_entry_count(count);
            fleet.limiters.push(limiter);
        }
        for n in 0..count {
            for step in [1, 2, 5] {
                let other = (n + step) % count;
                if other != n {
                    fleet.link(n, other);
                }
            }
        }
        fleet
    }

    fn link(&mut self, a: usize, b: usize) {
        self.links.insert((a, b));
        self.links.insert((b, a));
        self.limiters[a].neighbour_up(entry(b));
        self.limiters[b].neighbour_up(entry(a));
    }

    /// Cuts all links between the first `count` limiters and the others.
    fn cut(&mut self, count: usize) {
        let across: Vec<(usize, usize)> = self
            .links
            .iter()
            .copied()
            .filter(|&(a, b)| (a < count) != (b < count))
            .collect();
        for (a, b) in across {
            self.links.remove(&(a, b));
            self.limiters[a].neighbour_down(&entry(b));
        }
    }

    /// Lets time pass, `offered[n]` calls a second arriving at limiter `n`;
    /// answers how many were admitted at each.
    fn run(&mut self, seconds: u32, offered: &[f64]) -> Vec<u64> {
        let mut admitted = vec![0; offered.len()];
        for step in 0..seconds * 20 {
            self.now += 50 * MS;
            for (n, rate) in offered.iter().enumerate() {
                let calls = rate / 20.0;
                let more = self.draw.unit() < calls.fract();
                for _ in 0..calls as u64 + u64::from(more) {
                    admitted[n] += u64::from(self.call(n));
                }
            }
            if step % 20 == 0 {
                self.gossip();
            }
        }
        admitted
    }

    fn call(&mut self, n: usize) -> bool {
        self.ticket += 1;
        let limiter = &mut self.limiters[n];
        let actions = limiter.arrive(self.now, arrival(self.now, self.ticket, "a"));
        let admitted = actions
            == [Action::Admit {
                ticket: self.ticket,
            }];
        if admitted {
            limiter.finish(self.now, self.ticket, Sample::Ignored);
        }
        admitted
    }

    fn gossip(&mut self) {
        for from in 0..self.limiters.len() {
            for (to, message) in self.limiters[from].gossip(self.now) {
                let to: usize = to.as_str()["entry-".len()..].parse().unwrap();
                let lost = self.draw.below(100) < self.lost_percent;
                if !lost && self.links.contains(&(from, to)) {
                    self.limiters[to].receive(&entry(from), message);
                }
            }
        }
    }
}

/// Calls a second at each of so many hosts.
type Shape = fn(usize) -> Vec<f64>;

fn total(admitted: &[u64]) -> f64 {
    admitted.iter().sum::<u64>() as f64
}

#[test]
fn a_rate_holds_over_the_fleet_wherever_the_calls_arrive() {
    const RATE: u32 = 100;
    let even: Shape = |count| vec![400.0 / count as f64; count];
    let at_one: Shape = |count| {
        let mut offered = vec![0.0; count];
        offered[0] = 400.0;
        offered
    };
    let slope: Shape = |count| {
        let sum = (count * (count + 1) / 2) as f64;
        (1..=count).map(|n| 400.0 * n as f64 / sum).collect()
    };
    let shapes = [("even", even), ("at one", at_one), ("slope", slope)];
    for count in [1, 3, 15, 40] {
        for (shape, offered) in shapes {
            for lost_percent in [0, 20] {
                let mut fleet = Fleet::new(count, RATE, 7);
                fleet.lost_percent = lost_percent;
                let offered = offered(count);
                fleet.run(30, &offered);
                let rate = total(&fleet.run(30, &offered)) / 30.0;
                let case = format!("{count} hosts, {shape}, {lost_percent}% lost: {rate:.1}");
                println!("{case}");
                assert!((85.0..=110.0).contains(&rate), "{case}");
            }
        }
    }
}

#[test]
fn a_fleet_that_is_cut_admits_no_more_than_the_rate() {
    const RATE: u32 = 100;
    for seed in [1, 2, 3] {
        let mut fleet = Fleet::new(15, RATE, seed);
        let mut offered = vec![20.0; 15];
        fleet.run(30, &offered);
        fleet.cut(5);
        // After the cut the calls of the smaller side grow tenfold.
        offered[..5].fill(200.0);
        fleet.run(20, &offered);
        let admitted = fleet.run(30, &offered);
        let (small, large) = (total(&admitted[..5]) / 30.0, total(&admitted[5..]) / 30.0);
        println!("seed {seed}: {small:.1} and {large:.1}");
        assert!(
            small + large <= 1.1 * f64::from(RATE),
            "{small} and {large}"
        );
        assert!(small >= 0.85 * f64::from(RATE) / 3.0, "{small}");
        assert!(large >= 0.85 * f64::from(RATE) * 2.0 / 3.0, "{large}");
    }
}

#[test]
fn use_follows_demand_that_moves() {
    const RATE: u32 = 100;
    let mut fleet = Fleet::new(15, RATE, 5);
    let mut offered = vec![0.0; 15];
    offered[0] = 200.0;
    fleet.run(20, &offered);
    offered[0] = 0.0;
    offered[9] = 200.0;
    let moving = total(&fleet.run(20, &offered)) / 20.0;
    let moved = total(&fleet.run(20, &offered)) / 20.0;
    println!("{moving:.1} while it moves, {moved:.1} after");
    assert!((50.0..=120.0).contains(&moving), "{moving}");
    assert!((85.0..=110.0).contains(&moved), "{moved}");
}

#[test]
fn news_is_bounded_whatever_the_number_of_customers() {
    let mut limiter = Limiter::new(1);
    limiter.set_entry_count(360);
    (0..6).for_each(|n| limiter.neighbour_up(entry(n)));
    let now = SECOND;
    for n in 0..1_000 {
        limiter.arrive(now, arrival(now, n, &format!("customer-{n}")));
    }
    let mut told = HashSet::new();
    for _ in 0..300 {
        let messages = limiter.gossip(now);
        assert_eq!(messages.len(), 6);
        for (_, Message::Demand(rows)) in messages {
            assert!(rows.len() <= demand::ROWS_MAX);
            told.extend(rows.iter().map(|row| row.0));
        }
    }
    assert_eq!(told.len(), 1_000);
}

#[test]
fn what_a_neighbour_sends_can_do_no_harm() {
    let id = |name| demand_id(id("scribe"), id(name));
    let rows = [
        demand::Row(1, f32::NAN, 1.0),
        demand::Row(2, f32::INFINITY, 1.0),
        demand::Row(id("a"), 1.0, f32::NEG_INFINITY),
        demand::Row(id("a"), 1e30, 1e30),
        demand::Row(id("a"), -1e30, -1e30),
    ];
    for row in rows {
        let mut limiter = Limiter::new(1);
        limiter.configure(&document(vec![customer("a", Some(10), 0)]));
        limiter.set_entry_count(2);
        limiter.neighbour_up(entry(1));
        limiter.receive(&entry(1), Message::Demand(vec![row]));
        let mut admitted = 0;
        for n in 0..1_000u32 {
            let now = SECOND + n * 10 * MS;
            let ticket = u64::from(n);
            let actions = limiter.arrive(now, arrival(now, ticket, "a"));
            if actions == [Action::Admit { ticket }] {
                admitted += 1;
                limiter.finish(now, ticket, Sample::Ignored);
            }
            limiter.gossip(now);
        }
        // Ten seconds at no more than the whole rate, and the burst.
        assert!(admitted <= 100 + 20 + 1, "{row:?}: {admitted}");
    }
}

#[test]
fn a_refusal_for_the_rate_says_when_to_come_back() {
    let mut limiter = Limiter::new(1);
    limiter.configure(&document(vec![customer("a", Some(1), 0)]));
    let mut refused = 0;
    for ticket in 0..10 {
        for action in limiter.arrive(SECOND, arrival(SECOND, ticket, "a")) {
            let Action::Refuse { refusal, .. } = action else {
                continue;
            };
            assert_eq!(refusal.reason, Reason::Rate);
            assert!(refusal.retry_after >= SECOND);
            refused += 1;
        }
    }
    assert_eq!(refused, 8, "a burst of two seconds passes");
}

#[test]
fn calls_may_wait_longer_for_a_slow_service() {
    // (time to the first byte, what five calls at a time serve in the wait that
    // is allowed)
    for (first_byte, most) in [(50 * MS, 100), (SECOND, 20), (2 * SECOND, 20)] {
        let mut limiter = Limiter::new(1);
        let service = SmolStr::new("scribe");
        limiter.set_capacity(SECOND, &service, routing::Capacity { total: 4, free: 0 });
        let mut now = SECOND;
        for ticket in 0..200 {
            limiter.arrive(now, arrival(now, ticket, "a"));
            now += first_byte;
            limiter.finish(now, ticket, Sample::Answered(first_byte));
        }
        for ticket in 1_000..2_000 {
            let mut arrival = arrival(now, ticket, "a");
            arrival.deadline = Deadline::after(now, 60 * SECOND);
            limiter.arrive(now, arrival);
        }
        let waiting: usize = limiter.status().map(|status| status.waiting).sum();
        let limit: u32 = limiter.status().map(|status| status.limit).sum();
        assert_eq!(limit, 5, "{first_byte:?}");
        assert!(
            waiting >= most / 2 && waiting <= most,
            "{first_byte:?}: {waiting} of {most}"
        );
    }
}

/// Any order of arrivals, ends, cancellations and ticks: each call is answered
/// exactly once, and no more run than the limit allows.
#[test]
fn every_call_is_answered_exactly_once() {
    for seed in 0..100 {
        let mut draw = Rng::new(seed);
        let mut limiter = Limiter::new(seed);
        let customers: Vec<document::Customer> = (0..5)
            .map(|n| customer(&format!("c{n}"), (n == 0).then_some(5), n))
            .collect();
        limiter.configure(&document(customers));
        let mut now = SECOND;
        let mut waiting: HashSet<Ticket> = HashSet::new();
        let mut running: Vec<Ticket> = Vec::new();
        let mut cancelled: HashSet<Ticket> = HashSet::new();
        for ticket in 0..1_500 {
            now += MS * draw.below(20) as u32;
            let actions = match draw.below(10) {
                0 if !running.is_empty() => {
                    let done = running.swap_remove(draw.below(running.len()));
                    let samples = [Sample::Answered(200 * MS), Sample::Dropped, Sample::Ignored];
                    limiter.finish(now, done, samples[draw.below(3)])
                }
                1 => {
                    let gone = draw.next() % (ticket + 1);
                    cancelled.insert(gone);
                    waiting.remove(&gone);
                    running.retain(|&other| other != gone);
                    limiter.cancel(now, gone)
                }
                2 => limiter.tick(now),
                _ => {
                    waiting.insert(ticket);
                    let mut arrival = arrival(now, ticket, &format!("c{}", draw.below(5)));
                    arrival.deadline = Deadline::after(now, MS * draw.below(3_000) as u32);
                    arrival.cost = draw.below(4) as u32;
                    limiter.arrive(now, arrival)
                }
            };
            for action in actions {
                let (Action::Admit { ticket } | Action::Refuse { ticket, .. }) = action;
                assert!(
                    waiting.remove(&ticket),
                    "seed {seed}: {ticket} was answered before"
                );
                assert!(
                    !cancelled.contains(&ticket),
                    "seed {seed}: {ticket} was cancelled"
                );
                if let Action::Admit { .. } = action {
                    running.push(ticket);
                }
            }
            let status: BTreeMap<SmolStr, Status> = limiter
                .status()
                .map(|status| (status.service.clone(), status))
                .collect();
            if let Some(status) = status.get("scribe") {
                assert_eq!(status.running as usize, running.len(), "seed {seed}");
                assert_eq!(status.waiting, waiting.len(), "seed {seed}");
            }
        }
        let late = limiter.tick(now + 10 * SECOND);
        let refused = late
            .iter()
            .filter(|action| matches!(action, Action::Refuse { .. }));
        assert_eq!(
            refused.count(),
            waiting.len(),
            "seed {seed}: all that wait are refused"
        );
    }
}
