//! Who goes first, who is asked, and who is refused.

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
        resumes: false,
    }
}

fn candidate(distance: u8, free: u16, delay: u64) -> Candidate {
    Candidate {
        distance,
        free,
        delay: ms(delay),
        hint_age: Some(ms(10)),
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
fn of_late_requests_the_last_to_come_goes_first() {
    let mut queue = Queue::default();
    let _first = queue.push(waiter(0, 400));
    let last = queue.push(waiter(100, 500));
    assert_eq!(queue.best(ms(1_000), |_| true), Some(last));
}

#[test]
fn a_stream_that_goes_on_goes_before_all_others() {
    let mut queue = Queue::default();
    let _fresh = queue.push(waiter(900, 1_300));
    let resumed = queue.push(Waiter {
        resumes: true,
        ..waiter(0, 400)
    });
    assert_eq!(queue.best(ms(1_000), |_| true), Some(resumed));
}

#[test]
fn an_urgent_request_goes_before_one_that_is_due_sooner() {
    let mut queue = Queue::default();
    let _sooner = queue.push(waiter(0, 400));
    let urgent = queue.push(Waiter {
        priority: 0,
        ..waiter(0, 500)
    });
    assert_eq!(queue.best(ms(10), |_| true), Some(urgent));
}

/// Twice the load that the places bear: those that are refused are refused
/// early, and what is placed is mostly on time.
#[test]
fn an_overload_refuses_the_oldest_late_requests_and_serves_fresh_ones() {
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
            let one = queue.remove(ticket).expect("it waits");
            assert!(ms(now) > one.due, "one that can be on time is not refused");
            refused += 1;
        }
        if now % 20 == 0
            && let Some(ticket) = queue.best(ms(now), |_| true)
        {
            let one = queue.remove(ticket).expect("it waits");
            queue.record_start(ms(now));
            match ms(now + 90) <= one.due {
                true => on_time += 1,
                false => late += 1,
            }
        }
    }
    assert!(
        on_time > 900,
        "{on_time} of 1,000 places went to requests on time"
    );
    assert!(refused > 800, "{refused} were refused, {late} late");
}

#[test]
fn the_soonest_engine_is_asked_and_a_near_one_before_a_far_one() {
    let candidates = [
        candidate(0, 5, 200),
        candidate(0, 5, 100),
        candidate(2, 5, 90),
        candidate(0, 0, 50),
    ];
    assert_eq!(plan(1, Duration::ZERO, &candidates, 1), [0, 1, 0, 0]);
}

#[test]
fn a_far_engine_is_asked_where_that_is_much_sooner() {
    let candidates = [candidate(0, 5, 300), candidate(2, 5, 60)];
    assert_eq!(plan(1, Duration::ZERO, &candidates, 1), [0, 1]);
}

#[test]
fn several_requests_are_spread() {
    let candidates = [candidate(0, 5, 100), candidate(0, 5, 100)];
    assert_eq!(plan(4, Duration::ZERO, &candidates, 1), [2, 2]);
}

#[test]
fn more_are_asked_the_longer_nothing_is_granted() {
    let candidates = [
        candidate(0, 0, 100),
        candidate(0, 0, 100),
        candidate(2, 0, 100),
    ];
    assert_eq!(plan(1, ms(8), &candidates, 1), [1, 1, 0]);
    assert_eq!(plan(1, ms(40), &candidates, 1), [1, 1, 1]);
}

/// Forty-eight entries that asked all of 76 agents at each change filled the
/// links between regions for seconds (grown bluebonnet, trouble-1).
#[test]
fn where_no_place_is_free_a_few_agents_are_asked() {
    let near = std::iter::repeat_n(candidate(0, 0, 100), 25);
    let far = std::iter::repeat_n(candidate(2, 0, 100), 51);
    let candidates: Vec<Candidate> = near.chain(far).collect();
    let asked = |seed: u64| {
        let asks = plan(30, ms(500), &candidates, seed);
        let asked: Vec<usize> = (0..76).filter(|place| asks[*place] > 0).collect();
        asked
    };
    assert!(asked(1).len() <= 12, "{:?}", asked(1));
    assert_eq!(asked(1), asked(1), "the same for the same seed");
    let ever: std::collections::BTreeSet<usize> = (0..400).flat_map(asked).collect();
    assert_eq!(ever.len(), 76, "each is asked some time");
}

#[test]
fn nobody_to_ask_is_no_fault() {
    assert!(plan(3, ms(40), &[], 1).is_empty());
}

/// For 4 s no engine held weights that were new enough. Refused callers came back
/// after 1 to 2 s whatever time they had left, most of them into the same outage,
/// and come back only once (bluebonnet scale-1).
#[test]
fn refused_callers_come_back_when_they_have_a_chance_and_in_time() {
    let left = Duration::from_secs(6);
    let honoured = left / 3;
    let at = |shortage, draw| retry_after(shortage, left, draw);
    assert!(at(Shortage::NoServer, 0.0) >= honoured.mul_f64(0.79));
    assert!(at(Shortage::NoServer, 1.0) <= honoured);
    assert!(at(Shortage::Busy, 0.0) < at(Shortage::NoServer, 0.0));
    let spread = at(Shortage::Busy, 1.0) - at(Shortage::Busy, 0.0);
    assert!(spread >= Duration::from_secs(1), "{spread:?}");
    let late = retry_after(Shortage::NoServer, Duration::from_millis(300), 1.0);
    assert!(late <= Duration::from_millis(100));
}
