//! A queue that serves customers in proportion to their weights.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, "Start-time fair queueing: a
//! scheduling algorithm for integrated services packet switching networks",
//! 1996): each customer is a flow; the flow whose head has the lowest start tag
//! is served, and a flow's next tag lies `cost / weight` further. A customer who
//! has nothing waiting saves nothing up, and one who has much waiting delays
//! only itself.
//!
//! Higher priorities go first, but for one turn in [`FAIR_TURN`], which goes by
//! tags alone, so that no priority is starved.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Ticket;
use crate::deadline::Deadline;

/// One turn in so many ignores priorities.
pub const FAIR_TURN: u32 = 4;
/// Tags are counted in this part of a unit of cost at weight 1.
const TAG_UNIT: u64 = 1 << 24;
/// Idle flows are forgotten once there are so many flows.
const FLOWS_KEPT: usize = 256;

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Names the call.
    pub ticket: Ticket,
    /// The customer.
    pub flow: u32,
    /// The customer's weight against others.
    pub weight: u32,
    /// Higher goes first.
    pub priority: u8,
    /// How much work the call brings.
    pub cost: u32,
    /// When its answer is no longer of use.
    pub deadline: Deadline,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    /// The cost of `items`.
    cost: u64,
    weight: u32,
    priority: u8,
    /// The start tag of the head.
    start: u64,
    /// The finish tag of the last item served.
    finish: u64,
}

/// Calls that wait, bounded in number.
#[derive(Clone, Debug)]
pub struct Queue {
    most: usize,
    len: usize,
    flows: HashMap<u32, Flow>,
    /// Flows with items, by start tag.
    by_tag: BTreeSet<(u64, u32)>,
    /// Flows with items, by falling priority, then start tag.
    by_priority: BTreeSet<(u8, u64, u32)>,
    /// The start tag of the item served last.
    time: u64,
    turn: u32,
}

impl Queue {
    /// A queue of at most `most` items.
    pub fn new(most: usize) -> Queue {
        Queue {
            most,
            len: 0,
            flows: HashMap::default(),
            by_tag: BTreeSet::default(),
            by_priority: BTreeSet::default(),
            time: 0,
            turn: 0,
        }
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item. A full queue gives back the newest item of the flow that
    /// has most waiting for its weight, which may be the item itself.
    pub fn push(&mut self, item: Item) -> Option<Item> {
        let time = self.time;
        let id = item.flow;
        self.forget_idle();
        let flow = self.flows.entry(id).or_default();
        if flow.items.is_empty() {
            flow.weight = item.weight.max(1);
            flow.priority = item.priority;
            flow.start = flow.finish.max(time);
            let key = flow.by_priority(id);
            self.by_tag.insert((flow.start, id));
            self.by_priority.insert(key);
        }
        flow.cost += u64::from(item.cost);
        flow.items.push_back(item);
        self.len += 1;
        match self.len > self.most {
            true => self.push_out(),
            false => None,
        }
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<Item> {
        self.turn = (self.turn + 1) % FAIR_TURN;
        let id = match self.turn {
            0 => self.by_tag.first().map(|&(_, id)| id),
            _ => self.by_priority.first().map(|&(_, _, id)| id),
        }?;
        let flow = self.unlink(id)?;
        let item = flow.items.pop_front()?;
        flow.cost -= u64::from(item.cost);
        let start = flow.start;
        flow.finish = start + u64::from(item.cost) * TAG_UNIT / u64::from(flow.weight);
        flow.start = flow.finish;
        if let Some(next) = flow.items.front() {
            flow.weight = next.weight.max(1);
        }
        self.link(id);
        self.time = self.time.max(start);
        self.len -= 1;
        Some(item)
    }

    /// Removes an item that waits; false if it doesn't.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.len;
        self.retain(|item| item.ticket != ticket);
        self.len < before
    }

    /// Removes and gives back the items whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Item> {
        let mut expired = Vec::new();
        self.retain(|item| {
            let keep = !item.deadline.has_passed(now);
            if !keep {
                expired.push(item.clone());
            }
            keep
        });
        expired
    }

    /// The cost that is served up to the end of a new item: all that its flow
    /// has waiting, and of each other flow as much as its weight allows
    /// meanwhile.
    pub fn ahead(&self, item: &Item) -> f64 {
        let own = self.flows.get(&item.flow).map_or(0, |flow| flow.cost);
        let own = own as f64 + f64::from(item.cost);
        let of_others = self.by_tag.iter().filter(|&&(_, id)| id != item.flow);
        let others = of_others.map(|(_, id)| {
            let flow = &self.flows[id];
            let part = f64::from(flow.weight) / f64::from(item.weight);
            (flow.cost as f64).min(own * part)
        });
        own + others.sum::<f64>()
    }

    fn retain(&mut self, mut keep: impl FnMut(&Item) -> bool) {
        let ids: Vec<u32> = self.by_tag.iter().map(|&(_, id)| id).collect();
        for id in ids {
            let Some(flow) = self.unlink(id) else {
                continue;
            };
            let before = flow.items.len();
            flow.items.retain(&mut keep);
            flow.cost = flow.items.iter().map(|item| u64::from(item.cost)).sum();
            let removed = before - flow.items.len();
            self.len -= removed;
            self.link(id);
        }
    }

    fn push_out(&mut self) -> Option<Item> {
        let longest = self.by_tag.iter().max_by_key(|&&(_, id)| {
            let flow = &self.flows[&id];
            flow.cost * TAG_UNIT / u64::from(flow.weight)
        });
        let &(_, id) = longest?;
        let flow = self.unlink(id)?;
        let item = flow.items.pop_back()?;
        flow.cost -= u64::from(item.cost);
        self.len -= 1;
        self.link(id);
        Some(item)
    }

    fn unlink(&mut self, id: u32) -> Option<&mut Flow> {
        let flow = self.flows.get_mut(&id)?;
        self.by_tag.remove(&(flow.start, id));
        self.by_priority.remove(&flow.by_priority(id));
        Some(flow)
    }

    fn link(&mut self, id: u32) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if flow.items.is_empty() {
            return;
        }
        self.by_tag.insert((flow.start, id));
        self.by_priority.insert(flow.by_priority(id));
    }

    fn forget_idle(&mut self) {
        if self.flows.len() < FLOWS_KEPT {
            return;
        }
        let time = self.time;
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || flow.finish > time);
    }
}

impl Flow {
    fn by_priority(&self, id: u32) -> (u8, u64, u32) {
        (u8::MAX - self.priority, self.start, id)
    }
}

#[cfg(test)]
mod tests;
