use std::collections::HashMap;

use super::*;
use crate::mix::Rng;

fn item(ticket: Ticket, flow: u32, weight: u32, priority: u8, cost: u32) -> Item {
    Item {
        ticket,
        flow,
        weight,
        priority,
        cost,
        deadline: Deadline::after(Duration::ZERO, Duration::from_secs(60)),
    }
}

/// The cost served of each flow while all go on waiting.
fn served(flows: &[(u32, u8, u32)], pops: usize) -> Vec<u32> {
    let mut queue = Queue::new(10_000);
    let mut ticket = 0;
    let mut served = vec![0; flows.len()];
    let mut add = |queue: &mut Queue, flow: usize| {
        let (weight, priority, cost) = flows[flow];
        ticket += 1;
        queue.push(item(ticket, flow as u32, weight, priority, cost));
    };
    for flow in 0..flows.len() {
        (0..20).for_each(|_| add(&mut queue, flow));
    }
    for _ in 0..pops {
        let item = queue.pop().unwrap();
        served[item.flow as usize] += item.cost;
        add(&mut queue, item.flow as usize);
    }
    served
}

#[test]
fn flows_that_wait_are_served_by_weight() {
    // (weight, priority, cost of a call)
    let cases: [&[(u32, u8, u32)]; 4] = [
        &[(10, 0, 1), (10, 0, 1), (10, 0, 1)],
        &[(10, 0, 1), (20, 0, 1), (40, 0, 1)],
        &[(10, 0, 1), (10, 0, 7), (10, 0, 3)],
        &[(30, 0, 5), (10, 0, 1), (20, 0, 2)],
    ];
    for flows in cases {
        let served = served(flows, 7_000);
        let sum: u32 = served.iter().sum();
        let weights: u32 = flows.iter().map(|flow| flow.0).sum();
        for (flow, served) in flows.iter().zip(&served) {
            let fair = f64::from(sum) * f64::from(flow.0) / f64::from(weights);
            let off = (f64::from(*served) - fair).abs();
            assert!(off <= 0.02 * fair + 10.0, "{flows:?}: {served} for {fair}");
        }
    }
}

#[test]
fn higher_priorities_go_first_and_starve_nobody() {
    let served = served(&[(10, 9, 1), (10, 0, 1)], 8_000);
    // One turn in four goes by weight alone, and there the lower one is behind.
    assert_eq!(served, [6_000, 2_000]);
}

#[test]
fn one_who_waits_seldom_waits_shortly() {
    let mut queue = Queue::new(1_000);
    (0..500).for_each(|ticket| {
        queue.push(item(ticket, 1, 10, 0, 1));
    });
    (0..100).for_each(|_| {
        queue.pop();
    });
    queue.push(item(9_999, 2, 10, 0, 1));
    let turns = (1..)
        .find(|_| queue.pop().unwrap().ticket == 9_999)
        .unwrap();
    assert!(turns <= 2, "{turns}");
}

#[test]
fn nothing_is_saved_up_while_idle() {
    let mut queue = Queue::new(1_000);
    for ticket in 0..200 {
        queue.push(item(ticket, 1, 10, 0, 1));
        queue.pop();
    }
    for ticket in 1_000..1_100 {
        queue.push(item(ticket, 1, 10, 0, 1));
        queue.push(item(ticket + 1_000, 2, 10, 0, 1));
    }
    let first: Vec<u32> = (0..20).map(|_| queue.pop().unwrap().flow).collect();
    let ones = first.iter().filter(|&&flow| flow == 1).count();
    assert!((9..=11).contains(&ones), "{first:?}");
}

#[test]
fn a_full_queue_pushes_out_the_newest_of_the_longest() {
    let mut queue = Queue::new(10);
    (0..9).for_each(|ticket| assert_eq!(queue.push(item(ticket, 1, 10, 0, 1)), None));
    assert_eq!(queue.push(item(20, 2, 10, 0, 1)), None);
    let pushed = queue.push(item(21, 2, 10, 0, 1)).unwrap();
    assert_eq!(pushed.ticket, 8, "the newest of the flow with most waiting");
    let pushed = queue.push(item(9, 1, 10, 0, 1)).unwrap();
    assert_eq!(pushed.ticket, 9, "the item itself");
    assert_eq!(queue.len(), 10);
}

#[test]
fn each_item_comes_out_once_in_the_order_of_its_flow() {
    for seed in 0..100 {
        let mut draw = Rng::new(seed);
        let mut queue = Queue::new(50);
        let mut waiting: HashMap<u32, Vec<Ticket>> = HashMap::new();
        for ticket in 0..2_000 {
            let flow = draw.below(6) as u32;
            match draw.below(9) {
                0..5 => {
                    let cost = 1 + draw.below(5) as u32;
                    let pushed = queue.push(item(ticket, flow, 1 + flow, flow as u8, cost));
                    waiting.entry(flow).or_default().push(ticket);
                    if let Some(pushed) = pushed {
                        let newest = waiting.get_mut(&pushed.flow).unwrap().pop();
                        assert_eq!(newest, Some(pushed.ticket), "seed {seed}");
                    }
                }
                5..8 => {
                    let Some(popped) = queue.pop() else {
                        assert!(waiting.values().all(Vec::is_empty), "seed {seed}");
                        continue;
                    };
                    let oldest = waiting.get_mut(&popped.flow).unwrap().remove(0);
                    assert_eq!(oldest, popped.ticket, "seed {seed}");
                }
                _ => {
                    let ticket = draw.next() % (ticket + 1);
                    let known = waiting.values().flatten().any(|&other| other == ticket);
                    assert_eq!(queue.remove(ticket), known, "seed {seed}");
                    let flows = waiting.values_mut();
                    flows.for_each(|flow| flow.retain(|&other| other != ticket));
                }
            }
            let count: usize = waiting.values().map(Vec::len).sum();
            assert_eq!(queue.len(), count, "seed {seed}");
            assert!(count <= 50, "seed {seed}");
        }
    }
}
