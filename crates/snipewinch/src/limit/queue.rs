//! A queue that serves customers in proportion to their weights.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, "Start-time fair queueing: a
//! scheduling algorithm for integrated services packet switching networks",
//! 1996): each customer is a flow, the flow whose head has the lowest start tag
//! is served, and the next start tag of a flow is `cost / weight` higher. A
//! customer without waiting calls accumulates no credit, and one with many
//! delays only itself.
//!
//! Higher priorities go first, except for one pop in [`FAIR_INTERVAL_POPS`],
//! which goes by tags alone, so that no priority starves.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Ticket;
use crate::deadline::Deadline;

/// One pop in this many ignores priorities.
pub const FAIR_INTERVAL_POPS: u32 = 4;
/// The tag difference of a unit of cost at weight 1.
const TAG_SCALE: u64 = 1 << 24;
/// The number of flows from which on idle flows are removed.
const IDLE_REMOVAL_FLOWS: usize = 256;

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Identifies the call.
    pub ticket: Ticket,
    /// The customer.
    pub flow: u32,
    /// The customer's weight, relative to that of others.
    pub weight: u32,
    /// Higher priorities go first.
    pub priority: u8,
    /// The cost of the call, relative to that of others.
    pub cost: u32,
    /// The deadline of the answer.
    pub deadline: Deadline,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    /// The total cost of `items`.
    cost: u64,
    weight: u32,
    priority: u8,
    /// The start tag of the head.
    start_tag: u64,
    /// The finish tag of the last item that was served.
    finish_tag: u64,
}

/// A bounded queue of calls.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    len: usize,
    flows: HashMap<u32, Flow>,
    /// Flows with items, by start tag.
    by_tag: BTreeSet<(u64, u32)>,
    /// Flows with items, by descending priority, then start tag.
    by_priority: BTreeSet<(u8, u64, u32)>,
    /// The highest start tag of the items that were served.
    virtual_time: u64,
    pops: u32,
}

impl Queue {
    /// Creates a queue of at most `capacity` items.
    pub fn new(capacity: usize) -> Queue {
        Queue {
            capacity,
            len: 0,
            flows: HashMap::default(),
            by_tag: BTreeSet::default(),
            by_priority: BTreeSet::default(),
            virtual_time: 0,
            pops: 0,
        }
    }

    /// The number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item. A full queue evicts and returns the newest item of the
    /// flow with the highest waiting cost per weight, which may be the item
    /// itself.
    pub fn push(&mut self, item: Item) -> Option<Item> {
        let virtual_time = self.virtual_time;
        let id = item.flow;
        self.remove_idle();
        let flow = self.flows.entry(id).or_default();
        if flow.items.is_empty() {
            flow.weight = item.weight.max(1);
            flow.priority = item.priority;
            flow.start_tag = flow.finish_tag.max(virtual_time);
            let key = flow.priority_key(id);
            self.by_tag.insert((flow.start_tag, id));
            self.by_priority.insert(key);
        }
        flow.cost += u64::from(item.cost);
        flow.items.push_back(item);
        self.len += 1;
        match self.len > self.capacity {
            true => self.evict(),
            false => None,
        }
    }

    /// Removes and returns the next item to serve.
    pub fn pop(&mut self) -> Option<Item> {
        self.pops = (self.pops + 1) % FAIR_INTERVAL_POPS;
        let id = match self.pops {
            0 => self.by_tag.first().map(|&(_, id)| id),
            _ => self.by_priority.first().map(|&(_, _, id)| id),
        }?;
        let flow = self.unindex(id)?;
        let item = flow.items.pop_front()?;
        flow.cost -= u64::from(item.cost);
        let start_tag = flow.start_tag;
        flow.finish_tag = start_tag + u64::from(item.cost) * TAG_SCALE / u64::from(flow.weight);
        flow.start_tag = flow.finish_tag;
        if let Some(next) = flow.items.front() {
            flow.weight = next.weight.max(1);
        }
        self.index(id);
        self.virtual_time = self.virtual_time.max(start_tag);
        self.len -= 1;
        Some(item)
    }

    /// Removes a waiting item; returns false if it does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.len;
        self.retain(|item| item.ticket != ticket);
        self.len < before
    }

    /// Removes and returns the items whose deadline has passed.
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

    /// The cost that is served until a new item is done: its own, all that its
    /// flow has waiting, and of each other flow as much as its weight allows in
    /// that time.
    pub fn cost_until_done(&self, item: &Item) -> f64 {
        let own = self.flows.get(&item.flow).map_or(0, |flow| flow.cost);
        let own = own as f64 + f64::from(item.cost);
        let other_flows = self.by_tag.iter().filter(|&&(_, id)| id != item.flow);
        let others = other_flows.map(|(_, id)| {
            let flow = &self.flows[id];
            let ratio = f64::from(flow.weight) / f64::from(item.weight);
            (flow.cost as f64).min(own * ratio)
        });
        own + others.sum::<f64>()
    }

    fn retain(&mut self, mut keep: impl FnMut(&Item) -> bool) {
        let ids: Vec<u32> = self.by_tag.iter().map(|&(_, id)| id).collect();
        for id in ids {
            let Some(flow) = self.unindex(id) else {
                continue;
            };
            let before = flow.items.len();
            flow.items.retain(&mut keep);
            flow.cost = flow.items.iter().map(|item| u64::from(item.cost)).sum();
            let removed = before - flow.items.len();
            self.len -= removed;
            self.index(id);
        }
    }

    fn evict(&mut self) -> Option<Item> {
        let longest = self.by_tag.iter().max_by_key(|&&(_, id)| {
            let flow = &self.flows[&id];
            flow.cost * TAG_SCALE / u64::from(flow.weight)
        });
        let &(_, id) = longest?;
        let flow = self.unindex(id)?;
        let item = flow.items.pop_back()?;
        flow.cost -= u64::from(item.cost);
        self.len -= 1;
        self.index(id);
        Some(item)
    }

    fn unindex(&mut self, id: u32) -> Option<&mut Flow> {
        let flow = self.flows.get_mut(&id)?;
        self.by_tag.remove(&(flow.start_tag, id));
        self.by_priority.remove(&flow.priority_key(id));
        Some(flow)
    }

    fn index(&mut self, id: u32) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if flow.items.is_empty() {
            return;
        }
        self.by_tag.insert((flow.start_tag, id));
        self.by_priority.insert(flow.priority_key(id));
    }

    fn remove_idle(&mut self) {
        if self.flows.len() < IDLE_REMOVAL_FLOWS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || flow.finish_tag > virtual_time);
    }
}

impl Flow {
    fn priority_key(&self, id: u32) -> (u8, u64, u32) {
        (u8::MAX - self.priority, self.start_tag, id)
    }
}

#[cfg(test)]
mod tests;
