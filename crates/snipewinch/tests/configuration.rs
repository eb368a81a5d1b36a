//! Publication and distribution of the configuration under lost, delayed and
//! duplicated messages, restarts and partitions, and the rules of the document.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use snipewinch::Digest;
use snipewinch::configuration::Message;
use snipewinch::configuration::Snapshot;
use snipewinch::configuration::Stamp;
use snipewinch::configuration::follow;
use snipewinch::configuration::follow::Follower;
use snipewinch::configuration::publish;
use snipewinch::configuration::publish::Action;
use snipewinch::configuration::publish::Current;
use snipewinch::configuration::publish::Event;
use snipewinch::configuration::publish::Failure;
use snipewinch::configuration::publish::OperationState;
use snipewinch::configuration::publish::Outage;
use snipewinch::configuration::publish::Outcome;
use snipewinch::configuration::publish::Publication;
use snipewinch::document::Customer;
use snipewinch::document::Document;
use snipewinch::document::difference;

const SEEDS: u64 = 400;

// ---- publication ----------------------------------------------------------

/// One state of the table.
#[derive(Clone, Default)]
struct TableState {
    current: Option<Current>,
    operations: BTreeMap<SmolStr, OperationState>,
}

/// A table service that fails, answers from stale replicas and delays writes.
struct TableService {
    /// All states so far, the current one last.
    states: Vec<TableState>,
    revision: u64,
    /// Unanswered writes and the steps at which they are applied, if their
    /// conditions still hold.
    delayed: Vec<(usize, Write)>,
    /// The accepted versions with their operations, in order of acceptance.
    accepted: Vec<(u64, SmolStr)>,
    rng: ChaCha8Rng,
    /// Whether requests succeed without faults.
    reliable: bool,
}

#[derive(Clone)]
enum Write {
    Publish(SmolStr, u64, u64),
    Abandon(SmolStr),
}

impl TableService {
    fn latest(&self) -> &TableState {
        self.states.last().expect("at least one state")
    }

    /// Returns the current state, sometimes a stale one, or fails.
    fn read(&mut self) -> Result<TableState, Outage> {
        if !self.reliable && self.rng.random_bool(0.15) {
            return Err(Outage);
        }
        let age = match !self.reliable && self.rng.random_bool(0.2) {
            true => self.rng.random_range(0..self.states.len().min(4)),
            false => 0,
        };
        Ok(self.states[self.states.len() - 1 - age].clone())
    }

    fn apply(&mut self, write: &Write) -> Result<(), Failure> {
        let mut table = self.latest().clone();
        match write {
            Write::Publish(operation, version, revision) => {
                let current = table.current.as_ref().map_or(0, |current| current.revision);
                if current != *revision || table.operations.contains_key(operation) {
                    return Err(Failure::Conflict);
                }
                self.revision += 1;
                table.current = Some(Current {
                    version: *version,
                    operation: operation.clone(),
                    revision: self.revision,
                });
                let state = OperationState::Published { version: *version };
                table.operations.insert(operation.clone(), state);
                self.accepted.push((*version, operation.clone()));
            }
            Write::Abandon(operation) => {
                if table.operations.contains_key(operation) {
                    return Err(Failure::Conflict);
                }
                self.revision += 1;
                table
                    .operations
                    .insert(operation.clone(), OperationState::Abandoned);
            }
        }
        self.states.push(table);
        Ok(())
    }

    fn write(&mut self, step: usize, write: Write) -> Result<(), Failure> {
        if self.reliable {
            return self.apply(&write);
        }
        match self.rng.random_range(0..10) {
            0 => Err(Failure::Unsent),
            1 => Err(Failure::Unknown),
            2 => {
                let _ = self.apply(&write);
                Err(Failure::Unknown)
            }
            3 => {
                let due = step + self.rng.random_range(1..40);
                self.delayed.push((due, write));
                Err(Failure::Unknown)
            }
            _ => self.apply(&write),
        }
    }

    fn apply_delayed(&mut self, step: usize) {
        let due: Vec<Write> = self
            .delayed
            .iter()
            .filter(|(at, _)| *at <= step)
            .map(|(_, write)| write.clone())
            .collect();
        self.delayed.retain(|(at, _)| *at > step);
        for write in due {
            let _ = self.apply(&write);
        }
    }
}

struct Operator {
    operation: SmolStr,
    base: u64,
    publication: Publication,
    next_event: Option<Event>,
    outcome: Option<Outcome>,
}

impl Operator {
    fn open(operation: SmolStr, base: u64, sent: bool, now: Duration) -> Operator {
        let deadline = now + Duration::from_secs(8);
        Operator {
            publication: Publication::open(operation.clone(), base, sent, deadline),
            operation,
            base,
            next_event: Some(Event::Start),
            outcome: None,
        }
    }

    fn step(&mut self, service: &mut TableService, step: usize, now: Duration) {
        let Some(event) = self.next_event.take() else {
            return;
        };
        let empty = Current {
            version: 0,
            operation: SmolStr::default(),
            revision: 0,
        };
        self.next_event = match self.publication.handle(now, event) {
            Action::Read => {
                let read = service.read();
                Some(Event::Read(
                    read.map(|table| table.current.unwrap_or(empty)),
                ))
            }
            Action::ReadOperation => {
                let read = service.read();
                let state = read.map(|table| table.operations.get(&self.operation).copied());
                Some(Event::OperationRead(state))
            }
            Action::Write { version, revision } => {
                let write = Write::Publish(self.operation.clone(), version, revision);
                Some(Event::Written(service.write(step, write)))
            }
            Action::Abandon => {
                let write = Write::Abandon(self.operation.clone());
                Some(Event::Abandoned(service.write(step, write)))
            }
            Action::Wait(_) => Some(Event::Waited),
            Action::Finish(outcome) => {
                self.outcome = Some(outcome);
                None
            }
        };
    }
}

#[test]
fn concurrent_publications_report_the_actual_outcome() {
    for seed in 0..SEEDS {
        publish_under_faults(seed);
    }
}

fn publish_under_faults(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut service = TableService {
        states: vec![TableState::default()],
        revision: 0,
        delayed: Vec::new(),
        accepted: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
        reliable: false,
    };
    let mut operators: Vec<Operator> = Vec::new();
    let mut outcomes: BTreeMap<SmolStr, Outcome> = BTreeMap::new();
    for step in 0..3_000 {
        let now = Duration::from_millis(step as u64 * 100);
        service.reliable = step > 2_000;
        service.apply_delayed(step);
        if step < 1_500 && rng.random_bool(0.02) {
            let base = service
                .latest()
                .current
                .as_ref()
                .map_or(0, |current| current.version);
            let operation = format_smolstr!("op-{step}");
            operators.push(Operator::open(operation, base, false, now));
        }
        if operators.is_empty() {
            continue;
        }
        let index = rng.random_range(0..operators.len());
        let operator = &mut operators[index];
        operator.step(&mut service, step, now);
        match operator.outcome {
            Some(Outcome::Unknown | Outcome::Unreachable) => {
                // The operator publishes the same operation again.
                let sent = operator.outcome == Some(Outcome::Unknown);
                *operator = Operator::open(operator.operation.clone(), operator.base, sent, now);
            }
            Some(outcome) => {
                outcomes.insert(operator.operation.clone(), outcome);
                operators.swap_remove(index);
            }
            None => {}
        }
    }
    assert!(
        operators.is_empty(),
        "seed {seed}: some publications have no outcome"
    );
    for (operation, outcome) in &outcomes {
        let versions: Vec<u64> = service
            .accepted
            .iter()
            .filter(|(_, by)| by == operation)
            .map(|(version, _)| *version)
            .collect();
        match outcome {
            Outcome::Accepted { version } => {
                assert_eq!(
                    versions,
                    [*version],
                    "seed {seed}: {operation} was reported as accepted"
                );
            }
            _ => assert!(
                versions.is_empty(),
                "seed {seed}: {operation} was reported as not accepted"
            ),
        }
    }
    for pair in service.accepted.windows(2) {
        assert!(
            pair[0].0 < pair[1].0,
            "seed {seed}: versions do not increase: {pair:?}"
        );
    }
    assert!(
        !service.accepted.is_empty(),
        "seed {seed}: no version was accepted"
    );
}

#[test]
fn an_outage_before_any_write_ends_as_unreachable_not_unknown() {
    let mut publication = Publication::open("op".into(), 0, false, Duration::from_secs(1));
    let mut now = Duration::ZERO;
    let mut action = publication.handle(now, Event::Start);
    while let Action::Read | Action::Wait(_) = action {
        let event = match action {
            Action::Wait(pause) => {
                now += pause;
                Event::Waited
            }
            _ => Event::Read(Err(Outage)),
        };
        action = publication.handle(now, event);
    }
    assert_eq!(action, Action::Finish(publish::Outcome::Unreachable));
}

// ---- distribution ---------------------------------------------------------

fn customer(name: &str, share: u32) -> Customer {
    Customer {
        name: name.into(),
        key: Digest::of(name.as_bytes()),
        share,
        requests_per_second: None,
        priority: 0,
    }
}

fn snapshot(version: u64) -> Snapshot {
    // Each version changes, adds and removes a few of many customers.
    let customers = (0..40)
        .filter(|index| !(index + version).is_multiple_of(7))
        .map(|index| {
            customer(
                &format!("customer-{index}"),
                1 + ((version / (index + 1)) % 90) as u32,
            )
        })
        .collect();
    let document = Document {
        fleet: "fleet".into(),
        customers,
        ..Document::default()
    };
    Snapshot::new(version, document)
}

struct Process {
    follower: Follower,
    /// The highest version in force since the last restart.
    highest_version: u64,
    polls: bool,
}

struct Network {
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    links: Vec<(usize, usize)>,
    /// Events in flight: due time, sender, receiver and event.
    in_flight: Vec<(Duration, usize, usize, follow::Event)>,
    /// Separates the processes with a lower index from the others.
    partitioned_at: Option<usize>,
    table: Option<Snapshot>,
    table_down: bool,
    /// The version that a stale replica of the table shows, 0 for none.
    stale_version: u64,
    bytes: usize,
}

const ENTRIES: usize = 6;
const PROCESSES: usize = 20;

impl Network {
    fn open(seed: u64) -> Network {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..PROCESSES).map(|index| process(seed, index)).collect();
        let mut links = Vec::new();
        for index in 0..ENTRIES {
            links.push((index, (index + 1) % ENTRIES));
            links.push((index, (index + 2) % ENTRIES));
        }
        for agent in ENTRIES..PROCESSES {
            let first = rng.random_range(0..ENTRIES);
            links.push((first, agent));
            links.push(((first + 1) % ENTRIES, agent));
        }
        Network {
            rng,
            processes,
            links,
            in_flight: Vec::new(),
            partitioned_at: None,
            table: None,
            table_down: false,
            stale_version: 0,
            bytes: 0,
        }
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        // In a partition, only processes on the same side are connected.
        self.partitioned_at
            .is_none_or(|partitioned_at| (a < partitioned_at) == (b < partitioned_at))
    }

    fn neighbours(&self, of: usize) -> Vec<usize> {
        let links = self.links.iter();
        links
            .filter_map(|&(a, b)| match of {
                _ if a == of => Some(b),
                _ if b == of => Some(a),
                _ => None,
            })
            .collect()
    }

    fn send(&mut self, now: Duration, from: usize, to: usize, event: follow::Event, faults: bool) {
        if faults && self.rng.random_bool(0.1) {
            return;
        }
        let copies = if faults && self.rng.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..if faults { 900 } else { 20 });
            let due = now + Duration::from_millis(delay_ms);
            self.in_flight.push((due, from, to, event.clone()));
        }
    }

    fn deliver(&mut self, now: Duration, index: usize, event: follow::Event, faults: bool) {
        let before = self.processes[index].follower.in_force().version;
        let actions = self.processes[index].follower.handle(now, event);
        for action in actions {
            match action {
                follow::Action::Send(peer, message) => {
                    self.bytes += serde_json::to_string(&message).expect("json").len();
                    let event = follow::Event::Message(index as u64, message);
                    self.send(now, index, peer as usize, event, faults);
                }
                follow::Action::Poll => {
                    let stamp = self.table_stamp(faults);
                    self.send(now, index, index, follow::Event::Polled(stamp), false);
                }
                follow::Action::Fetch => {
                    let text = match self.table_down {
                        true => None,
                        false => self.table.as_ref().map(|table| follow::RawDocument {
                            version: table.version,
                            text: table.document.json(),
                        }),
                    };
                    self.send(now, index, index, follow::Event::Fetched(text), false);
                }
                follow::Action::Adopt(in_force) => {
                    assert!(
                        in_force.version > before,
                        "the version in force did not increase"
                    );
                    assert_eq!(
                        *in_force,
                        snapshot(in_force.version),
                        "the content does not belong to the version"
                    );
                }
                other => panic!("unexpected {other:?}"),
            }
        }
        let process = &mut self.processes[index];
        process.highest_version = process
            .highest_version
            .max(process.follower.in_force().version);
        assert_eq!(process.highest_version, process.follower.in_force().version);
    }

    fn table_stamp(&mut self, faults: bool) -> Option<Stamp> {
        if self.table_down || (faults && self.rng.random_bool(0.2)) {
            return None;
        }
        let stamp = self.table.as_ref().map(Snapshot::stamp).unwrap_or_default();
        // A stale replica returns the stamp of the previous version.
        match faults && self.rng.random_bool(0.2) && self.stale_version > 0 {
            true => Some(snapshot(self.stale_version).stamp()),
            false => Some(stamp),
        }
    }

    fn heartbeats(&mut self, now: Duration, faults: bool) {
        for (a, b) in self.links.clone() {
            for (from, to) in [(a, b), (b, a)] {
                if self.is_connected(from, to) {
                    let stamp = self.processes[from].follower.in_force().stamp();
                    let event = follow::Event::Heartbeat(from as u64, stamp);
                    self.send(now, from, to, event, faults);
                }
            }
        }
    }

    fn connect(&mut self, now: Duration, index: usize) {
        for peer in self.neighbours(index) {
            self.deliver(now, index, follow::Event::Connected(peer as u64), false);
            self.deliver(now, peer, follow::Event::Connected(index as u64), false);
        }
    }

    fn restart(&mut self, seed: u64, now: Duration, index: usize) {
        self.in_flight
            .retain(|(_, from, to, _)| *from != index && *to != index);
        for peer in self.neighbours(index) {
            self.deliver(now, peer, follow::Event::Disconnected(index as u64), false);
        }
        self.processes[index] = process(seed, index);
        self.connect(now, index);
    }

    fn publish(&mut self, now: Duration, faults: bool) {
        let version = self.table.as_ref().map_or(0, |table| table.version) + 1;
        self.stale_version = version.saturating_sub(1);
        let in_force = snapshot(version);
        self.table = Some(in_force.clone());
        let entry = self.rng.random_range(0..ENTRIES);
        self.deliver(now, entry, follow::Event::Published(in_force), faults);
    }

    fn step(&mut self, now: Duration, faults: bool) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        for (_, from, to, event) in due {
            if self.is_connected(from, to) {
                self.deliver(now, to, event, faults);
            }
        }
        for index in 0..PROCESSES {
            self.deliver(now, index, follow::Event::Tick, faults);
        }
    }

    fn versions(&self) -> Vec<u64> {
        let processes = self.processes.iter();
        processes
            .map(|process| process.follower.in_force().version)
            .collect()
    }
}

fn process(seed: u64, index: usize) -> Process {
    let polls = index < ENTRIES;
    Process {
        follower: Follower::open(seed ^ index as u64, polls),
        highest_version: 0,
        polls,
    }
}

#[test]
fn all_processes_reach_the_newest_version_and_none_goes_back() {
    for seed in 0..60 {
        distribute_under_faults(seed);
    }
}

fn distribute_under_faults(seed: u64) {
    let mut network = Network::open(seed);
    for index in 0..PROCESSES {
        network.connect(Duration::ZERO, index);
    }
    let mut now = Duration::ZERO;
    for step in 0..600u64 {
        now = Duration::from_millis(step * 100);
        match network.rng.random_range(0..60) {
            0 | 1 => network.publish(now, true),
            2 => {
                let index = network.rng.random_range(0..PROCESSES);
                network.restart(seed, now, index);
            }
            3 => network.partitioned_at = Some(network.rng.random_range(1..PROCESSES)),
            4 => network.partitioned_at = None,
            5 => network.table_down = !network.table_down,
            _ => {}
        }
        if step % 7 == 0 {
            network.heartbeats(now, true);
        }
        network.step(now, true);
    }
    // Without faults, all processes must reach one more version in time.
    network.partitioned_at = None;
    network.table_down = false;
    network.publish(now, false);
    for step in 0..100u64 {
        now += Duration::from_millis(100);
        if step % 7 == 0 {
            network.heartbeats(now, false);
        }
        network.step(now, false);
    }
    let newest = network.table.as_ref().map_or(0, |table| table.version);
    let versions = network.versions();
    assert!(
        versions.iter().all(|version| *version == newest),
        "seed {seed}: the newest version is {newest}, in force are {versions:?}"
    );
    assert!(network.processes.iter().any(|process| process.polls));
}

#[test]
fn a_process_started_during_a_table_outage_gets_the_newest_version_from_peers() {
    let mut network = Network::open(9);
    for index in 0..PROCESSES {
        network.connect(Duration::ZERO, index);
    }
    network.publish(Duration::ZERO, false);
    let settle = |network: &mut Network, from: u64| {
        for step in from..from + 30 {
            let now = Duration::from_millis(step * 100);
            network.heartbeats(now, false);
            network.step(now, false);
        }
    };
    settle(&mut network, 0);
    network.table_down = true;
    for index in 0..PROCESSES {
        network.restart(9, Duration::from_secs(4), index);
        settle(&mut network, 40 + index as u64 * 30);
        assert_eq!(
            network.versions(),
            vec![1; PROCESSES],
            "after restart of {index}"
        );
    }
}

#[test]
fn the_delta_of_a_small_change_is_under_one_percent_of_the_document() {
    let large = |version: u64| {
        let customers = (0..500).map(|index| customer(&format!("customer-{index}"), 1));
        let mut customers: Vec<Customer> = customers.collect();
        customers[250].share = 1 + (version % 90) as u32;
        Snapshot::new(
            version,
            Document {
                fleet: "f".into(),
                customers,
                ..Document::default()
            },
        )
    };
    let mut holder = Follower::open(1, false);
    for version in 1..=20 {
        holder.handle(Duration::ZERO, follow::Event::Published(large(version)));
    }
    let have = large(12).stamp();
    let want = follow::Event::Message(7, Message::Request { have });
    let actions = holder.handle(Duration::ZERO, want);
    let [follow::Action::Send(7, message @ Message::Delta(_))] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    let full = large(20).document.json().len();
    let delta = serde_json::to_string(message).expect("json").len();
    assert!(
        delta * 100 < full,
        "the delta has {delta} bytes, the document {full}"
    );
    let mut behind = Follower::open(2, false);
    behind.handle(Duration::ZERO, follow::Event::Published(large(12)));
    behind.handle(Duration::ZERO, follow::Event::Connected(1));
    behind.handle(Duration::ZERO, follow::Event::Message(1, message.clone()));
    assert_eq!(**behind.in_force(), large(20));
}

#[test]
fn a_document_with_an_unknown_field_is_rejected_and_not_requested_again() {
    let mut follower = Follower::open(1, false);
    follower.handle(Duration::ZERO, follow::Event::Published(snapshot(3)));
    follower.handle(Duration::ZERO, follow::Event::Connected(1));
    let known = snapshot(4).document.json();
    let with_unknown_field = known.replacen('{', "{\"of_a_later_build\":1,", 1);
    let heartbeat = |version| {
        follow::Event::Heartbeat(
            1,
            Stamp {
                version,
                digest_prefix: 9,
            },
        )
    };
    let has_request = |actions: &[follow::Action]| {
        actions
            .iter()
            .any(|action| matches!(action, follow::Action::Send(..)))
    };
    assert!(has_request(&follower.handle(Duration::ZERO, heartbeat(4))));
    let message = Message::Full {
        version: 4,
        text: with_unknown_field,
    };
    let actions = follower.handle(Duration::ZERO, follow::Event::Message(1, message));
    let [follow::Action::Reject { version: 4, reason }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert!(reason.contains("of_a_later_build"), "{reason}");
    assert_eq!(**follower.in_force(), snapshot(3));
    // The rejected version is not requested again, but the next version is.
    let later = Duration::from_secs(60);
    assert!(!has_request(&follower.handle(later, heartbeat(4))));
    assert!(has_request(&follower.handle(later, heartbeat(5))));
}

#[test]
fn different_content_under_one_version_is_reported_once() {
    let mut follower = Follower::open(1, false);
    follower.handle(Duration::ZERO, follow::Event::Published(snapshot(3)));
    follower.handle(Duration::ZERO, follow::Event::Connected(1));
    let other = Stamp {
        version: 3,
        digest_prefix: 1,
    };
    let actions = follower.handle(Duration::ZERO, follow::Event::Heartbeat(1, other));
    assert_eq!(actions, [follow::Action::ReportDivergence { version: 3 }]);
    let again = follower.handle(Duration::ZERO, follow::Event::Heartbeat(1, other));
    assert!(again.is_empty());
    assert_eq!(**follower.in_force(), snapshot(3));
}

#[test]
fn all_entries_together_stay_within_the_poll_rate() {
    for entries in [1, 16, 100, 360, 2_000] {
        let interval = follow::poll_interval(entries);
        let polls_per_s = entries as f64 / interval.as_secs_f64();
        assert!(
            polls_per_s <= follow::FLEET_POLLS_PER_S + 1e-9,
            "{entries} entries"
        );
        assert!(interval <= Duration::from_secs(20), "{entries} entries");
    }
}

// ---- the document ---------------------------------------------------------

#[derive(Clone, Debug)]
struct ArbitraryDocument(Document);

impl Arbitrary for ArbitraryDocument {
    fn arbitrary(g: &mut Gen) -> ArbitraryDocument {
        let count = usize::arbitrary(g) % 6;
        let mut customers = Vec::new();
        for index in 0..count {
            customers.push(customer(&format!("c{index}"), 1 + u32::arbitrary(g) % 3));
        }
        ArbitraryDocument(Document {
            fleet: format_smolstr!("fleet-{}", u8::arbitrary(g) % 3),
            customers,
            ..Document::default()
        })
    }
}

#[test]
fn a_document_is_unchanged_after_split_and_assembly() {
    fn holds(document: ArbitraryDocument) -> bool {
        let canonical = document.0.canonical();
        Document::from_parts(&canonical.parts()) == Ok(canonical)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 6))
        .quickcheck(holds as fn(_) -> _);
}

#[test]
fn the_difference_is_empty_exactly_if_documents_are_equal() {
    fn holds(a: ArbitraryDocument, b: ArbitraryDocument) -> bool {
        let same = a.0.clone().canonical() == b.0.clone().canonical();
        difference::between(&a.0, &b.0).is_empty() == same
            && difference::between(&a.0, &a.0).is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .quickcheck(holds as fn(_, _) -> _);
}

#[test]
fn list_order_does_not_change_a_snapshot() {
    let mut document = (*snapshot(5).document).clone();
    document.customers.reverse();
    assert_eq!(Snapshot::new(5, document), snapshot(5));
    assert_eq!(Arc::new(snapshot(5)).stamp(), snapshot(5).stamp());
}

#[test]
fn the_published_schema_is_current() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/document.schema.json"
    );
    let schema = serde_json::to_string_pretty(&Document::schema()).expect("json") + "\n";
    if std::env::var_os("SNIPEWINCH_WRITE_SCHEMA").is_some() {
        std::fs::write(path, &schema).expect("cannot write the schema");
    }
    let published = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(
        published, schema,
        "run this test with SNIPEWINCH_WRITE_SCHEMA=1 and commit docs/document.schema.json"
    );
}

#[test]
fn the_example_documents_have_no_faults() {
    for name in ["bluebonnet", "peachtree"] {
        let path = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("cannot read the example");
        let document = Document::parse(&text).expect("the example is not a document");
        assert_eq!(document.check(), [], "{name}");
    }
}
