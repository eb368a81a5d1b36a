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

/// Limiters that gossip over a ring with chords, with message loss.
struct Fleet {
    limiters: Vec<Limiter>,
    links: HashSet<(usize, usize)>,
    rng: Rng,
    loss_percent: usize,
    now: Duration,
    ticket: Ticket,
}

impl Fleet {
    fn new(count: usize, rate: u32, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            limiters: Vec::new(),
            links: HashSet::new(),
            rng: Rng::new(seed),
            loss_percent: 0,
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

    /// Closes all links between the first `count` limiters and the others.
    fn partition(&mut self, count: usize) {
        let crossing: Vec<(usize, usize)> = self
            .links
            .iter()
            .copied()
            .filter(|&(a, b)| (a < count) != (b < count))
            .collect();
        for (a, b) in crossing {
            self.links.remove(&(a, b));
            self.limiters[a].neighbour_down(&entry(b));
        }
    }

    /// Runs for some seconds with `offered[n]` calls per second at limiter `n`,
    /// and returns how many were admitted at each.
    fn run(&mut self, seconds: u32, offered: &[f64]) -> Vec<u64> {
        let mut admitted = vec![0; offered.len()];
        for step in 0..seconds * 20 {
            self.now += 50 * MS;
            for (n, rate) in offered.iter().enumerate() {
                let calls = rate / 20.0;
                let extra = self.rng.unit() < calls.fract();
                for _ in 0..calls as u64 + u64::from(extra) {
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
                let lost = self.rng.below(100) < self.loss_percent;
                if !lost && self.links.contains(&(from, to)) {
                    self.limiters[to].receive(&entry(from), message);
                }
            }
        }
    }
}

/// The calls per second at each of the given number of hosts.
type Shape = fn(usize) -> Vec<f64>;

fn total(admitted: &[u64]) -> f64 {
    admitted.iter().sum::<u64>() as f64
}

#[test]
fn the_fleet_admits_a_customer_s_rate_wherever_the_calls_arrive() {
    const RATE: u32 = 100;
    let even: Shape = |count| vec![400.0 / count as f64; count];
    let at_one: Shape = |count| {
        let mut offered = vec![0.0; count];
        offered[0] = 400.0;
        offered
    };
    let linear: Shape = |count| {
        let sum = (count * (count + 1) / 2) as f64;
        (1..=count).map(|n| 400.0 * n as f64 / sum).collect()
    };
    let shapes = [("even", even), ("at one", at_one), ("linear", linear)];
    for count in [1, 3, 15, 40] {
        for (shape, offered) in shapes {
            for loss_percent in [0, 20] {
                let mut fleet = Fleet::new(count, RATE, 7);
                fleet.loss_percent = loss_percent;
                let offered = offered(count);
                fleet.run(30, &offered);
                let rate = total(&fleet.run(30, &offered)) / 30.0;
                let case =
                    format!("{count} hosts, {shape}, {loss_percent}% loss: {rate:.1} calls/s");
                println!("{case}");
                assert!((85.0..=110.0).contains(&rate), "{case}");
            }
        }
    }
}

#[test]
fn a_partitioned_fleet_admits_no_more_than_the_rate() {
    const RATE: u32 = 100;
    for seed in [1, 2, 3] {
        let mut fleet = Fleet::new(15, RATE, seed);
        let mut offered = vec![20.0; 15];
        fleet.run(30, &offered);
        fleet.partition(5);
        // The load on the smaller side then grows tenfold.
        offered[..5].fill(200.0);
        fleet.run(20, &offered);
        let admitted = fleet.run(30, &offered);
        let (small, large) = (total(&admitted[..5]) / 30.0, total(&admitted[5..]) / 30.0);
        println!("seed {seed}: {small:.1} and {large:.1} calls/s");
        assert!(
            small + large <= 1.1 * f64::from(RATE),
            "{small} and {large}"
        );
        assert!(small >= 0.85 * f64::from(RATE) / 3.0, "{small}");
        assert!(large >= 0.85 * f64::from(RATE) * 2.0 / 3.0, "{large}");
    }
}

#[test]
fn the_rate_follows_demand_that_moves_to_another_host() {
    const RATE: u32 = 100;
    let mut fleet = Fleet::new(15, RATE, 5);
    let mut offered = vec![0.0; 15];
    offered[0] = 200.0;
    fleet.run(20, &offered);
    offered[0] = 0.0;
    offered[9] = 200.0;
    let during = total(&fleet.run(20, &offered)) / 20.0;
    let after = total(&fleet.run(20, &offered)) / 20.0;
    println!("{during:.1} calls/s during the move, {after:.1} calls/s after it");
    assert!((50.0..=120.0).contains(&during), "{during}");
    assert!((85.0..=110.0).contains(&after), "{after}");
}

#[test]
fn messages_are_bounded_and_cover_all_customers_in_turn() {
    let mut limiter = Limiter::new(1);
    limiter.set_entry_count(360);
    (0..6).for_each(|n| limiter.neighbour_up(entry(n)));
    let now = SECOND;
    for n in 0..1_000 {
        limiter.arrive(now, arrival(now, n, &format!("customer-{n}")));
    }
    let mut sent = HashSet::new();
    for _ in 0..300 {
        let messages = limiter.gossip(now);
        assert_eq!(messages.len(), 6);
        for (_, Message::Demand(rows)) in messages {
            assert!(rows.len() <= demand::ROWS_MAX);
            sent.extend(rows.iter().map(|row| row.0));
        }
    }
    assert_eq!(sent.len(), 1_000);
}

#[test]
fn false_rows_of_a_neighbour_do_not_raise_the_rate() {
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
        // Ten seconds at the full rate, and the burst.
        assert!(admitted <= 100 + 20 + 1, "{row:?}: {admitted}");
    }
}

#[test]
fn a_refusal_at_the_rate_limit_has_a_retry_after() {
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
    assert_eq!(refused, 8, "a burst of two seconds is admitted");
}

#[test]
fn calls_may_wait_longer_for_a_slow_service() {
    // (time to the first byte, calls that are served during the maximum wait
    // with five running at once)
    for (first_byte, waiting_max) in [(50 * MS, 100), (SECOND, 20), (2 * SECOND, 20)] {
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
            waiting >= waiting_max / 2 && waiting <= waiting_max,
            "{first_byte:?}: {waiting} of {waiting_max}"
        );
    }
}

/// In any order of arrivals, ends, cancellations and ticks each call gets
/// exactly one action, and the status counts the running and waiting calls.
#[test]
fn every_call_gets_exactly_one_action() {
    for seed in 0..100 {
        let mut rng = Rng::new(seed);
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
            now += MS * rng.below(20) as u32;
            let actions = match rng.below(10) {
                0 if !running.is_empty() => {
                    let finished = running.swap_remove(rng.below(running.len()));
                    let samples = [Sample::Answered(200 * MS), Sample::Dropped, Sample::Ignored];
                    limiter.finish(now, finished, samples[rng.below(3)])
                }
                1 => {
                    let chosen = rng.next() % (ticket + 1);
                    cancelled.insert(chosen);
                    waiting.remove(&chosen);
                    running.retain(|&other| other != chosen);
                    limiter.cancel(now, chosen)
                }
                2 => limiter.tick(now),
                _ => {
                    waiting.insert(ticket);
                    let mut arrival = arrival(now, ticket, &format!("c{}", rng.below(5)));
                    arrival.deadline = Deadline::after(now, MS * rng.below(3_000) as u32);
                    arrival.cost = rng.below(4) as u32;
                    limiter.arrive(now, arrival)
                }
            };
            for action in actions {
                let (Action::Admit { ticket } | Action::Refuse { ticket, .. }) = action;
                assert!(
                    waiting.remove(&ticket),
                    "seed {seed}: {ticket} does not wait for an action"
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
        let actions = limiter.tick(now + 10 * SECOND);
        let refused = actions
            .iter()
            .filter(|action| matches!(action, Action::Refuse { .. }));
        assert_eq!(
            refused.count(),
            waiting.len(),
            "seed {seed}: all waiting calls are refused"
        );
    }
}
