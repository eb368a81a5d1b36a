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

/// The cost served of each flow `(weight, priority, cost of a call)` while all
/// flows always have items waiting.
fn served_cost(flows: &[(u32, u8, u32)], pops: usize) -> Vec<u32> {
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
fn waiting_flows_are_served_in_proportion_to_their_weights() {
    // (weight, priority, cost of a call)
    let cases: [&[(u32, u8, u32)]; 4] = [
        &[(10, 0, 1), (10, 0, 1), (10, 0, 1)],
        &[(10, 0, 1), (20, 0, 1), (40, 0, 1)],
        &[(10, 0, 1), (10, 0, 7), (10, 0, 3)],
        &[(30, 0, 5), (10, 0, 1), (20, 0, 2)],
    ];
    for flows in cases {
        let served = served_cost(flows, 7_000);
        let sum: u32 = served.iter().sum();
        let weights: u32 = flows.iter().map(|flow| flow.0).sum();
        for (flow, served) in flows.iter().zip(&served) {
            let fair = f64::from(sum) * f64::from(flow.0) / f64::from(weights);
            let deviation = (f64::from(*served) - fair).abs();
            assert!(
                deviation <= 0.02 * fair + 10.0,
                "{flows:?}: {served} served, fair share {fair}"
            );
        }
    }
}

#[test]
fn higher_priorities_go_first_without_starving_lower_ones() {
    let served = served_cost(&[(10, 9, 1), (10, 0, 1)], 8_000);
    // One pop in four ignores priorities; the lower priority always has the
    // lower start tag then.
    assert_eq!(served, [6_000, 2_000]);
}

#[test]
fn a_flow_with_one_item_is_not_delayed_by_a_long_flow() {
    let mut queue = Queue::new(1_000);
    (0..500).for_each(|ticket| {
        queue.push(item(ticket, 1, 10, 0, 1));
    });
    (0..100).for_each(|_| {
        queue.pop();
    });
    queue.push(item(9_999, 2, 10, 0, 1));
    let pops = (1..)
        .find(|_| queue.pop().unwrap().ticket == 9_999)
        .unwrap();
    assert!(pops <= 2, "{pops}");
}

#[test]
fn an_idle_flow_accumulates_no_credit() {
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
    let of_flow_1 = first.iter().filter(|&&flow| flow == 1).count();
    assert!((9..=11).contains(&of_flow_1), "{first:?}");
}

#[test]
fn a_full_queue_evicts_the_newest_item_of_the_longest_flow() {
    let mut queue = Queue::new(10);
    (0..9).for_each(|ticket| assert_eq!(queue.push(item(ticket, 1, 10, 0, 1)), None));
    assert_eq!(queue.push(item(20, 2, 10, 0, 1)), None);
    let evicted = queue.push(item(21, 2, 10, 0, 1)).unwrap();
    assert_eq!(evicted.ticket, 8, "the newest item of the longest flow");
    let evicted = queue.push(item(9, 1, 10, 0, 1)).unwrap();
    assert_eq!(evicted.ticket, 9, "the item itself");
    assert_eq!(queue.len(), 10);
}

#[test]
fn each_item_leaves_the_queue_once_in_the_order_of_its_flow() {
    for seed in 0..100 {
        let mut rng = Rng::new(seed);
        let mut queue = Queue::new(50);
        let mut waiting: HashMap<u32, Vec<Ticket>> = HashMap::new();
        for ticket in 0..2_000 {
            let flow = rng.below(6) as u32;
            match rng.below(9) {
                0..5 => {
                    let cost = 1 + rng.below(5) as u32;
                    let evicted = queue.push(item(ticket, flow, 1 + flow, flow as u8, cost));
                    waiting.entry(flow).or_default().push(ticket);
                    if let Some(evicted) = evicted {
                        let newest = waiting.get_mut(&evicted.flow).unwrap().pop();
                        assert_eq!(newest, Some(evicted.ticket), "seed {seed}");
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
                    let ticket = rng.next() % (ticket + 1);
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
