//! Publishing and spreading under every order of loss, delay, duplicate,
//! restart and partition, and the document's own rules.

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

const CASES: u64 = 400;

// ---- publishing -----------------------------------------------------------

/// The table as it really is, with all its states so far for stale reads.
#[derive(Clone, Default)]
struct Table {
    current: Option<Current>,
    fates: BTreeMap<SmolStr, OperationState>,
}

struct Store {
    states: Vec<Table>,
    revision: u64,
    /// Writes whose answer was lost and which take effect later, if at all.
    late: Vec<(usize, Write)>,
    /// Each version by the operation that made it.
    accepted: Vec<(u64, SmolStr)>,
    rng: ChaCha8Rng,
    calm: bool,
}

#[derive(Clone)]
enum Write {
    Publish(SmolStr, u64, u64),
    Abandon(SmolStr),
}

impl Store {
    fn now(&self) -> &Table {
        self.states.last().expect("a state")
    }

    /// The table as a read sees it: mostly as it is, at times as it was.
    fn seen(&mut self) -> Result<Table, Outage> {
        if !self.calm && self.rng.random_bool(0.15) {
            return Err(Outage);
        }
        let back = match !self.calm && self.rng.random_bool(0.2) {
            true => self.rng.random_range(0..self.states.len().min(4)),
            false => 0,
        };
        Ok(self.states[self.states.len() - 1 - back].clone())
    }

    fn apply(&mut self, write: &Write) -> Result<(), Failure> {
        let mut table = self.now().clone();
        match write {
            Write::Publish(operation, version, revision) => {
                let current = table.current.as_ref().map_or(0, |current| current.revision);
                if current != *revision || table.fates.contains_key(operation) {
                    return Err(Failure::Conflict);
                }
                self.revision += 1;
                table.current = Some(Current {
                    version: *version,
                    operation: operation.clone(),
                    revision: self.revision,
                });
                let fate = OperationState::Published { version: *version };
                table.fates.insert(operation.clone(), fate);
                self.accepted.push((*version, operation.clone()));
            }
            Write::Abandon(operation) => {
                if table.fates.contains_key(operation) {
                    return Err(Failure::Conflict);
                }
                self.revision += 1;
                table
                    .fates
                    .insert(operation.clone(), OperationState::Abandoned);
            }
        }
        self.states.push(table);
        Ok(())
    }

    fn write(&mut self, step: usize, write: Write) -> Result<(), Failure> {
        if self.calm {
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
                self.late.push((due, write));
                Err(Failure::Unknown)
            }
            _ => self.apply(&write),
        }
    }

    fn land(&mut self, step: usize) {
        let due: Vec<Write> = self
            .late
            .iter()
            .filter(|(at, _)| *at <= step)
            .map(|(_, write)| write.clone())
            .collect();
        self.late.retain(|(at, _)| *at > step);
        for write in due {
            let _ = self.apply(&write);
        }
    }
}

struct Operator {
    operation: SmolStr,
    base: u64,
    publication: Publication,
    next: Option<Event>,
    outcome: Option<Outcome>,
}

impl Operator {
    fn open(operation: SmolStr, base: u64, sent: bool, now: Duration) -> Operator {
        let deadline = now + Duration::from_secs(8);
        Operator {
            publication: Publication::open(operation.clone(), base, sent, deadline),
            operation,
            base,
            next: Some(Event::Start),
            outcome: None,
        }
    }

    fn step(&mut self, store: &mut Store, step: usize, now: Duration) {
        let Some(event) = self.next.take() else {
            return;
        };
        let empty = Current {
            version: 0,
            operation: SmolStr::default(),
            revision: 0,
        };
        self.next = match self.publication.handle(now, event) {
            Action::Read => {
                let seen = store.seen();
                Some(Event::Read(
                    seen.map(|table| table.current.unwrap_or(empty)),
                ))
            }
            Action::ReadOperation => {
                let seen = store.seen();
                let fate = seen.map(|table| table.fates.get(&self.operation).copied());
                Some(Event::OperationRead(fate))
            }
            Action::Write { version, revision } => {
                let write = Write::Publish(self.operation.clone(), version, revision);
                Some(Event::Written(store.write(step, write)))
            }
            Action::Abandon => {
                let write = Write::Abandon(self.operation.clone());
                Some(Event::Abandoned(store.write(step, write)))
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
fn racing_operators_are_told_the_truth() {
    for seed in 0..CASES {
        publish_under_faults(seed);
    }
}

fn publish_under_faults(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store {
        states: vec![Table::default()],
        revision: 0,
        late: Vec::new(),
        accepted: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
        calm: false,
    };
    let mut operators: Vec<Operator> = Vec::new();
    let mut told: BTreeMap<SmolStr, Outcome> = BTreeMap::new();
    for step in 0..3_000 {
        let now = Duration::from_millis(step as u64 * 100);
        store.calm = step > 2_000;
        store.land(step);
        if step < 1_500 && rng.random_bool(0.02) {
            let base = store
                .now()
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
        operator.step(&mut store, step, now);
        match operator.outcome {
            Some(Outcome::Unknown | Outcome::Unreachable) => {
                // The operator presses publish again, on any entry.
                let sent = operator.outcome == Some(Outcome::Unknown);
                *operator = Operator::open(operator.operation.clone(), operator.base, sent, now);
            }
            Some(outcome) => {
                told.insert(operator.operation.clone(), outcome);
                operators.swap_remove(index);
            }
            None => {}
        }
    }
    assert!(
        operators.is_empty(),
        "seed {seed}: some operators were never told"
    );
    for (operation, outcome) in &told {
        let versions: Vec<u64> = store
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
                    "seed {seed}: {operation} was shown as accepted"
                );
            }
            _ => assert!(
                versions.is_empty(),
                "seed {seed}: {operation} was shown as refused"
            ),
        }
    }
    for pair in store.accepted.windows(2) {
        assert!(
            pair[0].0 < pair[1].0,
            "seed {seed}: versions go back: {pair:?}"
        );
    }
    assert!(
        !store.accepted.is_empty(),
        "seed {seed}: nothing was ever accepted"
    );
}

#[test]
fn with_nothing_sent_an_outage_is_a_refusal_and_not_open() {
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

// ---- spreading ------------------------------------------------------------

fn customer(name: &str, share: u32) -> Customer {
    Customer {
        name: name.into(),
        key: Digest::of(name.as_bytes()),
        share,
        requests_per_second: None,
        priority: 0,
    }
}

fn content(version: u64) -> Snapshot {
    // Each version changes a few of many entries, adds some and drops some.
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
    /// The highest version ever in force, over all restarts but the last.
    shown: u64,
    polls: bool,
}

struct Spread {
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    links: Vec<(usize, usize)>,
    /// Messages under way: due, from, to, what.
    under_way: Vec<(Duration, usize, usize, follow::Event)>,
    cut: Option<usize>,
    table: Option<Snapshot>,
    table_down: bool,
    stale: u64,
    bytes: usize,
}

const ENTRIES: usize = 6;
const PROCESSES: usize = 20;

impl Spread {
    fn open(seed: u64) -> Spread {
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
        Spread {
            rng,
            processes,
            links,
            under_way: Vec::new(),
            cut: None,
            table: None,
            table_down: false,
            stale: 0,
            bytes: 0,
        }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        // A cut parts the processes below it from the others.
        self.cut.is_none_or(|cut| (a < cut) == (b < cut))
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
            let late = self.rng.random_range(1..if faults { 900 } else { 20 });
            let due = now + Duration::from_millis(late);
            self.under_way.push((due, from, to, event.clone()));
        }
    }

    fn drive(&mut self, now: Duration, index: usize, event: follow::Event, faults: bool) {
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
                    assert!(in_force.version > before, "a version went back");
                    assert_eq!(*in_force, content(in_force.version), "mixed content");
                }
                other => panic!("unexpected {other:?}"),
            }
        }
        let process = &mut self.processes[index];
        process.shown = process.shown.max(process.follower.in_force().version);
        assert_eq!(process.shown, process.follower.in_force().version);
    }

    fn table_stamp(&mut self, faults: bool) -> Option<Stamp> {
        if self.table_down || (faults && self.rng.random_bool(0.2)) {
            return None;
        }
        let stamp = self.table.as_ref().map(Snapshot::stamp).unwrap_or_default();
        // A stale replica shows an older stamp.
        match faults && self.rng.random_bool(0.2) && self.stale > 0 {
            true => Some(content(self.stale).stamp()),
            false => Some(stamp),
        }
    }

    fn heartbeats(&mut self, now: Duration, faults: bool) {
        for (a, b) in self.links.clone() {
            for (from, to) in [(a, b), (b, a)] {
                if self.linked(from, to) {
                    let stamp = self.processes[from].follower.in_force().stamp();
                    let event = follow::Event::Heartbeat(from as u64, stamp);
                    self.send(now, from, to, event, faults);
                }
            }
        }
    }

    fn connect(&mut self, now: Duration, index: usize) {
        for peer in self.neighbours(index) {
            self.drive(now, index, follow::Event::Connected(peer as u64), false);
            self.drive(now, peer, follow::Event::Connected(index as u64), false);
        }
    }

    fn restart(&mut self, seed: u64, now: Duration, index: usize) {
        self.under_way
            .retain(|(_, from, to, _)| *from != index && *to != index);
        for peer in self.neighbours(index) {
            self.drive(now, peer, follow::Event::Disconnected(index as u64), false);
        }
        self.processes[index] = process(seed, index);
        self.connect(now, index);
    }

    fn publish(&mut self, now: Duration, faults: bool) {
        let version = self.table.as_ref().map_or(0, |table| table.version) + 1;
        self.stale = version.saturating_sub(1);
        let in_force = content(version);
        self.table = Some(in_force.clone());
        let entry = self.rng.random_range(0..ENTRIES);
        self.drive(now, entry, follow::Event::Published(in_force), faults);
    }

    fn step(&mut self, now: Duration, faults: bool) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.under_way.drain(..).partition(|(at, ..)| *at <= now);
        self.under_way = later;
        for (_, from, to, event) in due {
            if self.linked(from, to) {
                self.drive(now, to, event, faults);
            }
        }
        for index in 0..PROCESSES {
            self.drive(now, index, follow::Event::Tick, faults);
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
        shown: 0,
        polls,
    }
}

#[test]
fn every_version_reaches_everybody_and_none_goes_back() {
    for seed in 0..60 {
        spread_under_faults(seed);
    }
}

fn spread_under_faults(seed: u64) {
    let mut world = Spread::open(seed);
    for index in 0..PROCESSES {
        world.connect(Duration::ZERO, index);
    }
    let mut now = Duration::ZERO;
    for step in 0..600u64 {
        now = Duration::from_millis(step * 100);
        match world.rng.random_range(0..60) {
            0 | 1 => world.publish(now, true),
            2 => {
                let index = world.rng.random_range(0..PROCESSES);
                world.restart(seed, now, index);
            }
            3 => world.cut = Some(world.rng.random_range(1..PROCESSES)),
            4 => world.cut = None,
            5 => world.table_down = !world.table_down,
            _ => {}
        }
        if step % 7 == 0 {
            world.heartbeats(now, true);
        }
        world.step(now, true);
    }
    // After the faults everybody has the newest, without a further version.
    world.cut = None;
    world.table_down = false;
    world.publish(now, false);
    for step in 0..100u64 {
        now += Duration::from_millis(100);
        if step % 7 == 0 {
            world.heartbeats(now, false);
        }
        world.step(now, false);
    }
    let newest = world.table.as_ref().map_or(0, |table| table.version);
    let versions = world.versions();
    assert!(
        versions.iter().all(|version| *version == newest),
        "seed {seed}: the newest is {newest}, in force are {versions:?}"
    );
    assert!(world.processes.iter().any(|process| process.polls));
}

#[test]
fn a_process_that_starts_while_the_table_is_away_takes_the_newest_of_its_peers() {
    let mut world = Spread::open(9);
    for index in 0..PROCESSES {
        world.connect(Duration::ZERO, index);
    }
    world.publish(Duration::ZERO, false);
    let settle = |world: &mut Spread, from: u64| {
        for step in from..from + 30 {
            let now = Duration::from_millis(step * 100);
            world.heartbeats(now, false);
            world.step(now, false);
        }
    };
    settle(&mut world, 0);
    world.table_down = true;
    for index in 0..PROCESSES {
        world.restart(9, Duration::from_secs(4), index);
        settle(&mut world, 40 + index as u64 * 30);
        assert_eq!(
            world.versions(),
            vec![1; PROCESSES],
            "after restart of {index}"
        );
    }
}

#[test]
fn a_small_change_of_a_large_document_is_a_small_message() {
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
    let whole = large(20).document.json().len();
    let delta = serde_json::to_string(message).expect("json").len();
    assert!(delta * 100 < whole, "{delta} of {whole} bytes");
    let mut behind = Follower::open(2, false);
    behind.handle(Duration::ZERO, follow::Event::Published(large(12)));
    behind.handle(Duration::ZERO, follow::Event::Connected(1));
    behind.handle(Duration::ZERO, follow::Event::Message(1, message.clone()));
    assert_eq!(**behind.in_force(), large(20));
}

#[test]
fn what_this_build_does_not_understand_is_refused_as_a_whole() {
    let mut follower = Follower::open(1, false);
    follower.handle(Duration::ZERO, follow::Event::Published(content(3)));
    follower.handle(Duration::ZERO, follow::Event::Connected(1));
    let known = content(4).document.json();
    let unknown = known.replacen('{', "{\"of_a_later_build\":1,", 1);
    let heard = |version| {
        follow::Event::Heartbeat(
            1,
            Stamp {
                version,
                digest_prefix: 9,
            },
        )
    };
    let asks = |actions: &[follow::Action]| {
        actions
            .iter()
            .any(|action| matches!(action, follow::Action::Send(..)))
    };
    assert!(asks(&follower.handle(Duration::ZERO, heard(4))));
    let message = Message::Full {
        version: 4,
        text: unknown,
    };
    let actions = follower.handle(Duration::ZERO, follow::Event::Message(1, message));
    let [follow::Action::Reject { version: 4, reason }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert!(reason.contains("of_a_later_build"), "{reason}");
    assert_eq!(**follower.in_force(), content(3));
    // It is not asked for again and again, but its successor is.
    let later = Duration::from_secs(60);
    assert!(!asks(&follower.handle(later, heard(4))));
    assert!(asks(&follower.handle(later, heard(5))));
}

#[test]
fn other_content_under_one_version_is_reported_and_the_next_mends_it() {
    let mut follower = Follower::open(1, false);
    follower.handle(Duration::ZERO, follow::Event::Published(content(3)));
    follower.handle(Duration::ZERO, follow::Event::Connected(1));
    let other = Stamp {
        version: 3,
        digest_prefix: 1,
    };
    let actions = follower.handle(Duration::ZERO, follow::Event::Heartbeat(1, other));
    assert_eq!(actions, [follow::Action::ReportDivergence { version: 3 }]);
    let again = follower.handle(Duration::ZERO, follow::Event::Heartbeat(1, other));
    assert!(again.is_empty());
    assert_eq!(**follower.in_force(), content(3));
}

#[test]
fn all_entries_together_poll_within_their_share() {
    for entries in [1, 16, 100, 360, 2_000] {
        let interval = follow::poll_interval(entries);
        let polls_per_s = entries as f64 / interval.as_secs_f64();
        assert!(polls_per_s <= follow::FLEET_POLLS_PER_S + 1e-9, "{entries}");
        assert!(interval <= Duration::from_secs(20), "{entries}");
    }
}

// ---- the document ---------------------------------------------------------

#[derive(Clone, Debug)]
struct AnyDocument(Document);

impl Arbitrary for AnyDocument {
    fn arbitrary(g: &mut Gen) -> AnyDocument {
        let count = usize::arbitrary(g) % 6;
        let mut customers = Vec::new();
        for index in 0..count {
            customers.push(customer(&format!("c{index}"), 1 + u32::arbitrary(g) % 3));
        }
        AnyDocument(Document {
            fleet: format_smolstr!("fleet-{}", u8::arbitrary(g) % 3),
            customers,
            ..Document::default()
        })
    }
}

#[test]
fn a_document_taken_apart_and_joined_is_the_same() {
    fn holds(document: AnyDocument) -> bool {
        let canonical = document.0.canonical();
        Document::from_parts(&canonical.parts()) == Ok(canonical)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 6))
        .quickcheck(holds as fn(_) -> _);
}

#[test]
fn a_difference_is_empty_exactly_for_equal_documents() {
    fn holds(a: AnyDocument, b: AnyDocument) -> bool {
        let same = a.0.clone().canonical() == b.0.clone().canonical();
        difference::between(&a.0, &b.0).is_empty() == same
            && difference::between(&a.0, &a.0).is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .quickcheck(holds as fn(_, _) -> _);
}

#[test]
fn order_in_a_list_means_nothing() {
    let mut document = (*content(5).document).clone();
    document.customers.reverse();
    assert_eq!(Snapshot::new(5, document), content(5));
    assert_eq!(Arc::new(content(5)).stamp(), content(5).stamp());
}

#[test]
fn the_published_schema_is_current() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/document.schema.json"
    );
    let schema = serde_json::to_string_pretty(&Document::schema()).expect("json") + "\n";
    if std::env::var_os("SNIPEWINCH_WRITE_SCHEMA").is_some() {
        std::fs::write(path, &schema).expect("the schema is written");
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
        let text = std::fs::read_to_string(path).expect("an example");
        let document = Document::parse(&text).expect("a document");
        assert_eq!(document.check(), [], "{name}");
    }
}
