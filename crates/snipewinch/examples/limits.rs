//! Embeds the limiter: three entry hosts enforce a customer's rate together
//! without a coordinator. Channels replace the network.
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
/// The customer's rate limit over all hosts, in calls per second.
const RATE_PER_S: u32 = 60;
/// The calls per second that arrive at each host.
const OFFERED_PER_S: [u32; HOSTS] = [150, 30, 0];
const DURATION_S: u32 = 30;

type Envelope = (host::Name, Message);

struct Host {
    name: host::Name,
    limiter: Limiter,
    inbox: mpsc::Receiver<Envelope>,
    admitted: u32,
}

fn main() {
    let document = document();
    let (mut hosts, mut senders) = (Vec::new(), Vec::new());
    for n in 0..HOSTS {
        let (sender, inbox) = mpsc::channel();
        let mut limiter = Limiter::new(n as u64);
        limiter.configure(&document);
        limiter.set_entry_count(HOSTS);
        let others = (0..HOSTS).filter(|&other| other != n);
        others.for_each(|other| limiter.neighbour_up(name(other)));
        senders.push(sender);
        hosts.push(Host {
            name: name(n),
            limiter,
            inbox,
            admitted: 0,
        });
    }
    let mut ticket = 0;
    for second in 0..DURATION_S {
        // The embedder provides the time; here it is simulated.
        let start = demand::GOSSIP_PERIOD * second + Duration::from_secs(1);
        for (host, offered) in hosts.iter_mut().zip(OFFERED_PER_S) {
            host.admitted = 0;
            for n in 0..offered {
                ticket += 1;
                let now = start + Duration::from_secs(1) * n / offered;
                host.call(now, ticket);
            }
        }
        gossip(&mut hosts, &senders, start + Duration::from_secs(1));
        let admitted: Vec<u32> = hosts.iter().map(|host| host.admitted).collect();
        let total: u32 = admitted.iter().sum();
        println!("second {second:2}: {admitted:?} admitted, {total} of {RATE_PER_S}");
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
                    // A real call would end later than it is admitted.
                    let sample = Sample::Answered(Duration::from_millis(1));
                    self.limiter.finish(now, ticket, sample);
                }
                // A real host would answer 429 with `refusal.retry_after`.
                Action::Refuse { .. } => {}
            }
        }
    }
}

fn gossip(hosts: &mut [Host], senders: &[mpsc::Sender<Envelope>], now: Duration) {
    for host in hosts.iter_mut() {
        for (to, message) in host.limiter.gossip(now) {
            let to = (0..HOSTS).find(|&n| name(n) == to);
            let envelope = (host.name.clone(), message);
            // A lost message does no harm: the next one replaces it.
            let _ = to.map(|to| senders[to].send(envelope));
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
        requests_per_second: Some(RATE_PER_S),
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
