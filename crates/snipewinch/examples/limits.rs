//! Embeds one part: three entry hosts keep to a customer's rate together, with
//! nobody to coordinate them. Here channels stand in for a network.
//!
//! `cargo run -p snipewinch --example limits`

use std::sync::mpsc;
use std::time::Duration;

use snipewinch::Digest;
use snipewinch::deadline::Deadline;
use snipewinch::document::Backend;
use snipewinch::document::Customer;
use snipewinch::document::Document;
use snipewinch::document::Repeat;
use snipewinch::document::Service;
use snipewinch::host;
use snipewinch::limit::Action;
use snipewinch::limit::Arrival;
use snipewinch::limit::Limiter;
use snipewinch::limit::Message;
use snipewinch::limit::Sample;
use snipewinch::limit::demand;

const HOSTS: usize = 3;
/// What the customer may do in a second, over all hosts.
const RATE: u32 = 60;
/// What it tries to do at each host in a second.
const OFFERED: [u32; HOSTS] = [150, 30, 0];
const SECONDS: u32 = 30;

type Letter = (host::Name, Message);

struct Host {
    name: host::Name,
    limiter: Limiter,
    inbox: mpsc::Receiver<Letter>,
    admitted: u32,
}

fn main() {
    let document = document();
    let (mut hosts, mut outboxes) = (Vec::new(), Vec::new());
    for n in 0..HOSTS {
        let (outbox, inbox) = mpsc::channel();
        let mut limiter = Limiter::new(n as u64);
        limiter.configure(&document);
        limiter.set_entry_count(HOSTS);
        let others = (0..HOSTS).filter(|&other| other != n);
        others.for_each(|other| limiter.neighbour_up(name(other)));
        outboxes.push(outbox);
        hosts.push(Host {
            name: name(n),
            limiter,
            inbox,
            admitted: 0,
        });
    }
    let mut ticket = 0;
    for second in 0..SECONDS {
        // The embedder keeps the clock: this one runs as fast as it can.
        let start = demand::GOSSIP_PERIOD * second + Duration::from_secs(1);
        for (host, offered) in hosts.iter_mut().zip(OFFERED) {
            host.admitted = 0;
            for n in 0..offered {
                ticket += 1;
                let now = start + Duration::from_secs(1) * n / offered;
                host.call(now, ticket);
            }
        }
        gossip(&mut hosts, &outboxes, start + Duration::from_secs(1));
        let admitted: Vec<u32> = hosts.iter().map(|host| host.admitted).collect();
        let all: u32 = admitted.iter().sum();
        println!("second {second:2}: {admitted:?} admitted, {all} of {RATE}");
    }
}

impl Host {
    fn call(&mut self, now: Duration, ticket: u64) {
        let arrival = Arrival {
            ticket,
            service: "logbook".into(),
            customer: "hide-owners".into(),
            cost: 1,
            deadline: Deadline::after(now, Duration::from_secs(1)),
        };
        for action in self.limiter.arrive(now, arrival) {
            match action {
                Action::Admit { ticket } => {
                    self.admitted += 1;
                    // A real call would end later.
                    let sample = Sample::Answered(Duration::from_millis(1));
                    self.limiter.finish(now, ticket, sample);
                }
                // A real host would answer 429 with `refusal.retry_after`.
                Action::Refuse { .. } => {}
            }
        }
    }
}

fn gossip(hosts: &mut [Host], outboxes: &[mpsc::Sender<Letter>], now: Duration) {
    for host in hosts.iter_mut() {
        for (to, message) in host.limiter.gossip(now) {
            let to = (0..HOSTS).find(|&n| name(n) == to);
            let letter = (host.name.clone(), message);
            // A lost letter would do no harm.
            let _ = to.map(|to| outboxes[to].send(letter));
        }
    }
    for host in hosts {
        for (from, message) in host.inbox.try_iter() {
            host.limiter.receive(&from, message);
        }
    }
}

fn name(n: usize) -> host::Name {
    host::Name(format!("entry-{n}").into())
}

fn document() -> Document {
    let customer = Customer {
        name: "hide-owners".into(),
        key: Digest::of(b"a key"),
        share: 10,
        requests_per_second: Some(RATE),
        priority: 0,
    };
    let service = Service {
        name: "logbook".into(),
        backend: Backend::Plain {
            prefix: "/logbook".into(),
        },
        zones: Vec::new(),
        repeat: Repeat::Never,
        concurrency: 16,
        deadline_ms: 1_000,
    };
    Document {
        customers: vec![customer],
        services: vec![service],
        ..Document::default()
    }
}
