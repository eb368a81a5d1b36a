//! Which request goes first, which agents get demands, and what is refused.

use std::time::Duration;

use snipewinch::dispatch::Candidate;
use snipewinch::dispatch::Queue;
use snipewinch::dispatch::Shortage;
use snipewinch::dispatch::Waiter;
use snipewinch::dispatch::plan;
use snipewinch::dispatch::retry_after;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiter(arrived: u64, due: u64) -> Waiter {
    Waiter {
        arrived: ms(arrived),
        due: ms(due),
        expires: ms(arrived + 2_000),
        tokens: 900,
        priority: 1,
        customer: 0,
        resumes: false,
    }
}

fn candidate(distance: u8, free: u16, delay: u64) -> Candidate {
    Candidate {
        distance,
        free,
        delay: ms(delay),
        hint_age: Some(ms(10)),
        is_last_choice: false,
    }
}

#[test]
fn requests_that_can_be_on_time_go_before_late_ones() {
    let mut queue = Queue::default();
    let _late = queue.push(waiter(0, 400));
    let on_time = queue.push(waiter(300, 800));
    assert_eq!(queue.best(ms(500), |_| true), Some(on_time));
}

#[test]
fn of_late_requests_the_last_to_arrive_goes_first() {
    let mut queue = Queue::default();
    let _first = queue.push(waiter(0, 400));
    let last = queue.push(waiter(100, 500));
    assert_eq!(queue.best(ms(1_000), |_| true), Some(last));
}

#[test]
fn a_resumed_stream_goes_before_all_others() {
    let mut queue = Queue::default();
    let _new = queue.push(waiter(900, 1_300));
    let resumed = queue.push(Waiter {
        resumes: true,
        ..waiter(0, 400)
    });
    assert_eq!(queue.best(ms(1_000), |_| true), Some(resumed));
}

#[test]
fn priority_goes_before_the_due_time() {
    let mut queue = Queue::default();
    let _sooner = queue.push(waiter(0, 400));
    let urgent = queue.push(Waiter {
        priority: 0,
        ..waiter(0, 500)
    });
    assert_eq!(queue.best(ms(10), |_| true), Some(urgent));
}

/// Under twice the load that the slots can serve, late requests are refused
/// early and most slots go to requests on time.
#[test]
fn overload_sheds_the_oldest_late_requests_and_serves_new_ones() {
    let mut queue = Queue::default();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    for now in 0..20_000 {
        if now % 10 == 0 {
            queue.push(waiter(now, now + 400));
        }
        for ticket in queue.expired(ms(now)) {
            queue.remove(ticket);
            refused += 1;
        }
        if let Some(ticket) = queue.to_shed(ms(now)) {
            let one = queue.remove(ticket).expect("the request waits");
            assert!(
                ms(now) > one.due,
                "a request that can be on time is not refused"
            );
            refused += 1;
        }
        if now % 20 == 0
            && let Some(ticket) = queue.best(ms(now), |_| true)
        {
            let one = queue.remove(ticket).expect("the request waits");
            queue.record_start(ms(now));
            match ms(now + 90) <= one.due {
                true => on_time += 1,
                false => late += 1,
            }
        }
    }
    assert!(
        on_time > 900,
        "{on_time} of 1,000 slots went to requests on time"
    );
    assert!(refused > 800, "{refused} were refused, {late} late");
}

#[test]
fn the_fastest_engine_gets_the_demand_and_a_near_one_before_a_far_one() {
    let candidates = [
        candidate(0, 5, 200),
        candidate(0, 5, 100),
        candidate(2, 5, 90),
        candidate(0, 0, 50),
    ];
    assert_eq!(plan(1, Duration::ZERO, &candidates, 1), [0, 1, 0, 0]);
}

#[test]
fn a_far_engine_gets_the_demand_if_it_is_much_faster() {
    let candidates = [candidate(0, 5, 300), candidate(2, 5, 60)];
    assert_eq!(plan(1, Duration::ZERO, &candidates, 1), [0, 1]);
}

#[test]
fn several_requests_are_spread_over_engines() {
    let candidates = [candidate(0, 5, 100), candidate(0, 5, 100)];
    assert_eq!(plan(4, Duration::ZERO, &candidates, 1), [2, 2]);
}

#[test]
fn more_agents_get_demands_the_longer_no_slot_is_granted() {
    let candidates = [
        candidate(0, 0, 100),
        candidate(0, 0, 100),
        candidate(2, 0, 100),
    ];
    assert_eq!(plan(1, ms(8), &candidates, 1), [1, 1, 0]);
    assert_eq!(plan(1, ms(40), &candidates, 1), [1, 1, 1]);
}

/// 48 entries that sent a demand to each of 76 agents at each change filled the
/// links between regions for seconds (grown bluebonnet, trouble-1).
#[test]
fn a_few_agents_get_demands_while_no_slot_is_free() {
    let near = std::iter::repeat_n(candidate(0, 0, 100), 25);
    let far = std::iter::repeat_n(candidate(2, 0, 100), 51);
    let candidates: Vec<Candidate> = near.chain(far).collect();
    let chosen = |seed: u64| {
        let demands = plan(30, ms(500), &candidates, seed);
        let chosen: Vec<usize> = (0..76).filter(|index| demands[*index] > 0).collect();
        chosen
    };
    assert!(chosen(1).len() <= 12, "{:?}", chosen(1));
    assert_eq!(chosen(1), chosen(1), "the same for the same seed");
    let ever: std::collections::BTreeSet<usize> = (0..400).flat_map(chosen).collect();
    assert_eq!(ever.len(), 76, "each gets a demand at some time");
}

#[test]
fn no_candidates_give_an_empty_plan() {
    assert!(plan(3, ms(40), &[], 1).is_empty());
}

/// Guards against a fixed Retry-After during an outage. When no engine held
/// weights that were new enough for 4 s, refused callers retried after 1 to 2 s
/// whatever time they had left. Each retries only once, and most retries fell
/// into the same outage (bluebonnet scale-1).
#[test]
fn refused_callers_retry_in_time_and_when_a_slot_is_likely() {
    let remaining = Duration::from_secs(6);
    let honoured = remaining / 3;
    let at = |shortage, jitter| retry_after(shortage, remaining, jitter);
    assert!(at(Shortage::NoServer, 0.0) >= honoured.mul_f64(0.79));
    assert!(at(Shortage::NoServer, 1.0) <= honoured);
    assert!(at(Shortage::Busy, 0.0) < at(Shortage::NoServer, 0.0));
    let spread = at(Shortage::Busy, 1.0) - at(Shortage::Busy, 0.0);
    assert!(spread >= Duration::from_secs(1), "{spread:?}");
    let late = retry_after(Shortage::NoServer, Duration::from_millis(300), 1.0);
    assert!(late <= Duration::from_millis(100));
}

#[test]
fn an_engine_with_old_weights_gets_a_demand_only_if_no_other_has_a_free_slot() {
    let old = Candidate {
        is_last_choice: true,
        ..candidate(0, 5, 50)
    };
    let choices = [old, candidate(2, 1, 300), candidate(0, 0, 50)];
    assert_eq!(plan(1, Duration::ZERO, &choices, 1), [0, 1, 0]);
    assert_eq!(plan(2, Duration::ZERO, &choices, 1), [1, 1, 0]);
}
