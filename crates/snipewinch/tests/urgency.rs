//! The order in which the requests of all entries get the slots of a backend server.

use std::time::Duration;

use snipewinch::dispatch::Queue;
use snipewinch::dispatch::Waiter;
use snipewinch::engine::Spec;
use snipewinch::grant::Demand;
use snipewinch::grant::Holder;
use snipewinch::grant::HolderId;
use snipewinch::grant::Issuer;
use snipewinch::urgency::UNKNOWN;
use snipewinch::urgency::Want;
use snipewinch::urgency::Wants;
use snipewinch::urgency::level;

const URGENT: u8 = 0;
const LESS_URGENT: u8 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn want(priority: u8, waiting: u16, slack_ms: i32) -> Option<Want> {
    Some(Want {
        waiting,
        slack_ms,
        tokens: 500,
        priority,
        customer: 0,
    })
}

/// Groups of waiting requests, the most urgent first.
fn wants<const N: usize>(groups: [Option<Want>; N]) -> Wants {
    let mut wants = Wants::default();
    wants[..N].copy_from_slice(&groups);
    wants
}

/// The demand of an entry that `wants` this.
fn demand<const N: usize>(holder: u64, groups: [Option<Want>; N]) -> Demand {
    let wants = wants(groups);
    let waiting = wants.iter().flatten().map(|want| want.waiting).sum();
    let mut holder = Holder::new(HolderId(holder));
    let demand = holder.demand_wants(ms(1), waiting, &wants);
    demand.expect("requests wait")
}

fn issuer(slots: u32) -> Issuer {
    let mut issuer = Issuer::new();
    issuer.set_capacity(slots, 1);
    issuer
}

/// How many of `slots` slots each of the entries 1 and 2 gets.
fn shares(slots: u32, demands: [Demand; 2]) -> [u64; 2] {
    let mut issuer = issuer(slots);
    for demand in &demands {
        issuer.receive(ms(1), demand);
    }
    issuer.grant(ms(1));
    [1, 2].map(|holder| issuer.credit(ms(1), HolderId(holder)).granted)
}

/// Guards against a burst of the least urgent kind, with the longer latency goal or
/// with less time left, that takes the slots of the most urgent one.
#[test]
fn an_urgent_request_goes_before_a_less_urgent_one_that_is_due_sooner() {
    let urgent = demand(1, [want(URGENT, 2, 300)]);
    let sooner = demand(2, [want(LESS_URGENT, 2, 100)]);
    assert_eq!(shares(2, [urgent, sooner]), [2, 0]);
}

#[test]
fn an_urgent_request_that_is_late_takes_no_slot_of_one_on_time() {
    let late = demand(1, [want(URGENT, 1, -50)]);
    let on_time = demand(2, [want(LESS_URGENT, 1, 800)]);
    assert_eq!(shares(1, [late, on_time]), [0, 1]);
}

/// Guards against an entry with one urgent request that gets the slots for all its
/// others by that one's rank.
#[test]
fn the_less_urgent_requests_of_an_entry_wait_for_the_urgent_ones_of_another() {
    let mixed = [want(URGENT, 1, 100), want(LESS_URGENT, 5, 100)];
    let urgent = [want(URGENT, 3, 300)];
    assert_eq!(shares(4, [demand(1, mixed), demand(2, urgent)]), [1, 3]);
}

/// Guards against a less urgent kind that gets nothing while more urgent ones fill all
/// slots.
#[test]
fn a_less_urgent_kind_keeps_a_seventh_of_the_slots() {
    let urgent = demand(1, [want(URGENT, 100, 300)]);
    let other = demand(2, [want(LESS_URGENT, 100, 300)]);
    assert_eq!(shares(70, [urgent, other]), [60, 10]);
}

/// Guards against entries of a former release that get nothing, or everything, beside
/// newer ones: they do not say how urgent their requests are.
#[test]
fn beside_an_entry_that_names_no_priority_the_due_time_decides() {
    let unknown = Demand {
        priority: UNKNOWN,
        ..demand(1, [want(LESS_URGENT, 1, 100)])
    };
    let urgent = demand(2, [want(URGENT, 1, 300)]);
    let later = demand(2, [want(URGENT, 1, 50)]);
    assert_eq!(shares(1, [unknown, urgent]), [1, 0]);
    assert_eq!(shares(1, [unknown, later]), [0, 1]);
}

/// A more urgent request that came just after a demand was told 50 ms later, an eighth
/// of its time.
#[test]
fn a_more_urgent_request_is_told_at_once() {
    let mut holder = Holder::new(HolderId(1));
    let before = [want(LESS_URGENT, 3, 800)];
    assert!(holder.demand_wants(ms(1_000), 3, &wants(before)).is_some());
    let same = [want(LESS_URGENT, 4, 800)];
    assert!(holder.demand_wants(ms(1_002), 4, &wants(same)).is_none());
    let urgent = [want(URGENT, 1, 400), want(LESS_URGENT, 3, 800)];
    assert!(holder.demand_wants(ms(1_003), 4, &wants(urgent)).is_some());
}

/// Guards against demands that grow with the number of priorities: one is sent to a
/// dozen agents many times a second.
#[test]
fn an_entry_names_a_few_groups_whatever_waits() {
    let mut queue = Queue::default();
    for place in 0..40_u64 {
        queue.push(Waiter {
            arrived: ms(0),
            due: ms(400 + place),
            tokens: 900,
            expires: ms(2_000),
            priority: (place % 10) as u32,
            customer: 7,
            resumes: false,
        });
    }
    let wants = queue.wants(ms(1));
    let waiting: u16 = wants.iter().flatten().map(|want| want.waiting).sum();
    assert_eq!(waiting, 40, "{wants:?}");
    let first = wants[0].expect("requests wait");
    assert_eq!((first.priority, first.slack_ms, first.waiting), (0, 399, 4));
    let mut holder = Holder::new(HolderId(u64::MAX));
    let demand = holder.demand_wants(ms(1), 40, &wants).expect("they wait");
    let bytes = serde_json::to_vec(&demand).expect("a demand is serializable");
    assert!(bytes.len() < 500, "{} bytes", bytes.len());
}

#[test]
fn the_priority_of_a_customer_goes_before_that_of_the_route() {
    let order = [level(0, 0), level(0, 2), level(1, 0), level(1, 2)];
    assert!(order.is_sorted(), "{order:?}");
    assert!(level(u32::MAX, u32::MAX) < u32::from(UNKNOWN));
}

/// What an entry tells after a slot was granted that it does not know of yet.
#[test]
fn slots_in_transit_are_taken_off_the_most_urgent() {
    let mut issuer = issuer(1);
    let mut holder = Holder::new(HolderId(1));
    let wants = wants([want(URGENT, 1, 300), want(LESS_URGENT, 1, 300)]);
    let first = holder.demand_wants(ms(1), 2, &wants).expect("they wait");
    issuer.receive(ms(1), &first);
    issuer.grant(ms(1));
    let again = Demand {
        sequence: 2,
        ..first
    };
    issuer.receive(ms(2), &again);
    assert_eq!(issuer.waiting(), 1);
    issuer.set_capacity(2, 1);
    issuer.receive(ms(2), &demand(2, [want(1, 1, 300)]));
    assert_eq!(
        issuer.grant(ms(2)),
        [HolderId(2)],
        "1 is more urgent than 2"
    );
}

/// An engine as in `engine`, of 12 slots, whose requests take a second on average.
/// Guards against an engine whose agent has fallen silent, and that gets nothing but
/// requests as urgent as its agent granted a slot for last.
#[test]
fn a_slot_in_use_keeps_less_urgent_requests_from_an_engine_whose_agent_is_silent() {
    let mut holder = Holder::new(HolderId(1));
    let urgent = wants([want(URGENT, 1, 300)]);
    let demand = holder.demand_wants(ms(1), 1, &urgent);
    let mut issuer = issuer(1);
    issuer.receive(ms(1), &demand.expect("a request waits"));
    issuer.grant(ms(1));
    holder.receive(ms(2), &issuer.credit(ms(1), HolderId(1)));
    assert!(!holder.admits(LESS_URGENT.into()), "the slot goes back");
    assert!(holder.acquire());
    assert!(holder.admits(LESS_URGENT.into()));
}

fn spec() -> Spec {
    Spec {
        slots: 12,
        stride: 5,
        step: Duration::from_micros(9_270),
        step_per_call: Duration::from_micros(23),
        read_per_s: 20_700.0,
    }
}

const ENGINES: usize = 12;
const ENTRIES: usize = 18;
/// Requests that the engines serve per second.
const CAPACITY: f64 = 144.0;
/// The time from a slot to the first event, past capacity.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(170);
const TICK_MS: u64 = 2;

/// What requests of one priority got.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    on_time: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived)
    }
}

struct Entry {
    queue: Queue,
    holders: Vec<Holder>,
}

/// Plays 6 s of 18 entries and 12 engines with arrivals of the priorities 0, 1 and 2, in
/// parts of the capacity, with goals of 400, 400 and 1,000 ms. `names_urgency` is
/// whether demands say more than the time left.
fn play(load: [f64; 3], names_urgency: bool) -> [Tally; 3] {
    let mut issuers: Vec<Issuer> = (0..ENGINES).map(|_| issuer(12)).collect();
    for issuer in &mut issuers {
        issuer.set_engine(spec(), 900.0, ms(400));
    }
    let entry = |id| Entry {
        queue: Queue::default(),
        holders: vec![Holder::new(HolderId(id)); ENGINES],
    };
    let mut entries: Vec<Entry> = (0..ENTRIES as u64).map(entry).collect();
    let mut running: Vec<(Duration, usize, usize)> = Vec::new();
    let mut tallies = [Tally::default(); 3];
    let (mut owed, mut arrived, mut started) = ([0.0; 3], 0, 0);
    for now in (0..6_000).step_by(TICK_MS as usize).map(ms) {
        for priority in 0..3 {
            owed[priority] += load[priority] * CAPACITY * TICK_MS as f64 / 1_000.0;
            while owed[priority] >= 1.0 {
                owed[priority] -= 1.0;
                arrived += 1;
                tallies[priority].arrived += 1;
                let goal = if priority == 2 { 1_000 } else { 400 };
                entries[arrived * 31 % ENTRIES].queue.push(Waiter {
                    arrived: now,
                    due: now + ms(goal),
                    tokens: 600,
                    expires: now + ms(2_000),
                    priority: priority as u32,
                    customer: 0,
                    resumes: false,
                });
            }
        }
        running.retain(|(end, entry, engine)| {
            let runs = *end > now;
            if !runs {
                entries[*entry].holders[*engine].release();
            }
            runs
        });
        for entry in &mut entries {
            for ticket in entry.queue.expired(now) {
                entry.queue.remove(ticket);
            }
            let (waiting, wants) = (entry.queue.len() as u16, entry.queue.wants(now));
            for (holder, issuer) in entry.holders.iter_mut().zip(&mut issuers) {
                if let Some(mut demand) = holder.demand_wants(now, waiting, &wants) {
                    if !names_urgency {
                        demand.priority = UNKNOWN;
                        demand.wants = None;
                    }
                    issuer.receive(now, &demand);
                }
            }
        }
        for (engine, issuer) in issuers.iter_mut().enumerate() {
            for id in issuer.grant(now) {
                let index = id.0 as usize;
                let Entry { queue, holders } = &mut entries[index];
                holders[engine].receive(now, &issuer.credit(now, id));
                while let Some(ticket) = queue.best(now, |_| true) {
                    let waiter = queue.remove(ticket).expect("it waits");
                    if !holders[engine].admits(waiter.priority) || !holders[engine].acquire() {
                        queue.push(waiter);
                        break;
                    }
                    let is_on_time = now + FIRST_EVENT_DELAY <= waiter.due;
                    tallies[waiter.priority as usize].on_time += u32::from(is_on_time);
                    started += 1;
                    // From 0.4 to 1.6 s, so that slots do not become free all at once.
                    let end = now + ms(400 + started * 7_919 % 1_200);
                    running.push((end, index, engine));
                }
                holders[engine].release_unused();
            }
        }
    }
    tallies
}

/// 1.2 of capacity: by the time left alone, the kinds with the shorter goal lose most.
#[test]
fn past_capacity_the_most_urgent_lack_nothing_and_the_least_urgent_get_the_rest() {
    let load = [0.42, 0.33, 0.45];
    let named = play(load, true).map(Tally::share);
    let unnamed = play(load, false).map(Tally::share);
    assert!(named[0] > 0.95 && named[1] > 0.95, "{named:?}");
    assert!(unnamed[1] < named[1] - 0.1, "{unnamed:?}");
}

#[test]
fn a_burst_of_the_least_urgent_leaves_the_most_urgent_what_they_had() {
    let named = play([0.42, 0.33, 1.35], true).map(Tally::share);
    assert!(named[0] > 0.95 && named[1] > 0.85, "{named:?}");
}

/// 1.8 of capacity, the urgent kinds alone 1.25.
#[test]
fn far_past_capacity_each_kind_keeps_a_quarter_of_what_all_get() {
    let tallies = play([0.75, 0.5, 0.55], true);
    let all: u32 = tallies.iter().map(|one| one.on_time).sum();
    let arrived: u32 = tallies.iter().map(|one| one.arrived).sum();
    let mean = f64::from(all) / f64::from(arrived);
    for one in tallies {
        assert!(one.share() >= 0.25 * mean, "{tallies:?}");
    }
}
