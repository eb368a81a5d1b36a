//! Rate limits and admission control at the entry.
//!
//! Embeds [`limit::Limiter`]: calls wait in [`Limiter::admit`], and a task
//! drives the state machine with the clock, the configuration, the membership
//! view and the messages of other entry hosts about the demand of customers,
//! and sends such messages to them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use peer::link;
use peer::link::Event;
use smol_str::SmolStr;
use snipewinch::deadline::Deadline;
use snipewinch::host;
use snipewinch::limit;
use snipewinch::limit::Action;
use snipewinch::limit::Arrival;
use snipewinch::limit::Message;
use snipewinch::limit::Refusal;
use snipewinch::limit::Sample;
use snipewinch::limit::Ticket;
use snipewinch::limit::demand;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;

use super::router::Router;
use crate::daemon::Context;

mod metrics;

use metrics::Metrics;

/// How often queued calls are checked for having waited too long.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often the capacities and metrics of services are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Admits customers' calls; clones share one [`limit::Limiter`].
#[derive(Clone)]
pub(crate) struct Limiter {
    shared: Arc<Shared>,
}

struct Shared {
    context: Context,
    router: Router,
    state: Mutex<State>,
    metrics: Metrics,
}

type Reply = oneshot::Sender<Result<(), Refusal>>;

struct State {
    limiter: limit::Limiter,
    waiting: HashMap<Ticket, Reply>,
    next_ticket: Ticket,
    /// Open links to other entry hosts.
    links: HashMap<link::Key, host::Name>,
}

/// The admission of one call. Report by [`Permit::finish`] how the call ended;
/// dropping the permit without that cancels the call.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Limiter,
    ticket: Ticket,
    sample: Sample,
}

impl Permit {
    /// Reports how the call ended.
    pub(crate) fn finish(mut self, sample: Sample) {
        self.sample = sample;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.limiter.shared.context.now();
        let mut state = self.limiter.shared.state.lock();
        let actions = match self.sample {
            // Also covers calls whose caller disconnected while they were
            // queued.
            Sample::Ignored => state.limiter.cancel(now, self.ticket),
            sample => state.limiter.finish(now, self.ticket, sample),
        };
        state.waiting.remove(&self.ticket);
        self.limiter.shared.execute(&mut state, actions);
    }
}

impl fmt::Debug for Limiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limiter").finish_non_exhaustive()
    }
}

/// Creates the limiter and starts the task that drives it.
pub(crate) fn spawn(
    context: &Context,
    inbox: mpsc::Receiver<Event<Message>>,
    router: Router,
) -> Limiter {
    let state = State {
        limiter: limit::Limiter::new(rand::random()),
        waiting: HashMap::new(),
        next_ticket: 1,
        links: HashMap::new(),
    };
    let limiter = Limiter {
        shared: Arc::new(Shared {
            context: context.clone(),
            router: router.clone(),
            state: Mutex::new(state),
            metrics: Metrics::open(&context.registry),
        }),
    };
    tokio::spawn(run(limiter.clone(), inbox, router));
    limiter
}

impl Limiter {
    /// Waits until a call is admitted. Dropping the future cancels the call.
    ///
    /// # Errors
    ///
    /// When the call is refused; it has not run.
    pub(crate) async fn admit(
        &self,
        service: &SmolStr,
        customer: &SmolStr,
        cost: u32,
        remaining: Duration,
    ) -> Result<Permit, Refusal> {
        let arrived = Instant::now();
        // A process that has just started has no links yet; calls wait for them
        // for up to half of the time that they have left.
        let _ = timeout(remaining / 2, self.shared.router.links_ready()).await;
        let remaining = remaining.saturating_sub(arrived.elapsed());
        let (reply, replied) = oneshot::channel();
        let permit = self.arrive(service, customer, cost, remaining, reply);
        let result = match replied.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal {
                reason: limit::Reason::Overload,
                retry_after: UPDATE_INTERVAL,
            }),
        };
        let outcome = result.as_ref().map(|_| ()).map_err(Clone::clone);
        self.shared.metrics.count(customer, &outcome);
        result
    }

    fn arrive(
        &self,
        service: &SmolStr,
        customer: &SmolStr,
        cost: u32,
        remaining: Duration,
        reply: Reply,
    ) -> Permit {
        let now = self.shared.context.now();
        let mut state = self.shared.state.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.insert(ticket, reply);
        let arrival = Arrival {
            ticket,
            service: service.clone(),
            customer: customer.clone(),
            cost,
            deadline: Deadline::after(now, remaining),
        };
        let actions = state.limiter.arrive(now, arrival);
        self.shared.execute(&mut state, actions);
        drop(state);
        Permit {
            limiter: self.clone(),
            ticket,
            sample: Sample::Ignored,
        }
    }

    fn handle_link_event(&self, event: &Event<Message>) {
        let mut state = self.shared.state.lock();
        let State { limiter, links, .. } = &mut *state;
        match event {
            Event::Up { link, peer, .. } if peer.role == host::Role::Entry => {
                links.insert(*link, peer.host.clone());
                limiter.neighbour_up(peer.host.clone());
            }
            Event::Messages { link, messages } => {
                if let Some(host) = links.get(link) {
                    for message in messages {
                        limiter.receive(host, message.clone());
                    }
                }
            }
            Event::Down { link, .. } => {
                let Some(host) = links.remove(link) else {
                    return;
                };
                if !links.values().any(|other| *other == host) {
                    limiter.neighbour_down(&host);
                }
            }
            Event::Summary { .. } | Event::Up { .. } => {}
        }
    }

    fn tick(&self) {
        let now = self.shared.context.now();
        let mut state = self.shared.state.lock();
        let actions = state.limiter.tick(now);
        self.shared.execute(&mut state, actions);
    }

    fn gossip(&self) {
        let now = self.shared.context.now();
        let mut state = self.shared.state.lock();
        let messages = state.limiter.gossip(now);
        for (host, message) in messages {
            let link = state.links.iter().find(|(_, other)| **other == host);
            if let Some((&link, _)) = link {
                // A lost message is not sent again: the next one repeats
                // its content.
                let _ = self.shared.context.hub.send(link, Frame::Limit(message));
            }
        }
    }

    fn configure(&self) {
        let document = self.shared.context.configuration.borrow().document.clone();
        let mut state = self.shared.state.lock();
        state.limiter.configure(&document);
    }

    fn update_entry_count(&self) {
        let view = self.shared.context.view.borrow().clone();
        let own_host = &self.shared.context.identity.host;
        let others = view.members.iter().filter(|member| {
            member.role == host::Role::Entry
                && member.host != *own_host
                && member.state != snipewinch::membership::State::Leaving
        });
        let count = others.count() + 1;
        self.shared.state.lock().limiter.set_entry_count(count);
    }

    fn update_capacities(&self, router: &Router) {
        let document = self.shared.context.configuration.borrow().document.clone();
        for service in &document.services {
            let capacity = router.capacity(&service.name);
            let now = self.shared.context.now();
            let mut state = self.shared.state.lock();
            state.limiter.set_capacity(now, &service.name, capacity);
        }
        let status: Vec<limit::Status> = self.shared.state.lock().limiter.status().collect();
        self.shared.metrics.set(&status);
    }
}

impl Shared {
    fn execute(&self, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            let (ticket, result) = match action {
                Action::Admit { ticket } => (ticket, Ok(())),
                Action::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            if let Some(reply) = state.waiting.remove(&ticket) {
                // If the caller has disconnected, its permit is dropped.
                let _ = reply.send(result);
            }
        }
    }
}

async fn run(limiter: Limiter, mut inbox: mpsc::Receiver<Event<Message>>, router: Router) {
    let context = limiter.shared.context.clone();
    let mut configuration = context.configuration.clone();
    let mut view = context.view.clone();
    let mut tick = interval(TICK_INTERVAL);
    let mut gossip = interval(demand::GOSSIP_PERIOD);
    let mut update_capacities = interval(UPDATE_INTERVAL);
    configuration.mark_changed();
    view.mark_changed();
    loop {
        tokio::select! {
            event = inbox.recv() => match event {
                Some(event) => {
                    router.handle_link_event(&event);
                    limiter.handle_link_event(&event);
                }
                None => return,
            },
            Ok(()) = configuration.changed() => {
                configuration.mark_unchanged();
                limiter.configure();
                limiter.update_capacities(&router);
            }
            Ok(()) = view.changed() => {
                view.mark_unchanged();
                limiter.update_entry_count();
            }
            _ = tick.tick() => limiter.tick(),
            _ = gossip.tick() => limiter.gossip(),
            _ = update_capacities.tick() => limiter.update_capacities(&router),
        }
    }
}

fn interval(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
