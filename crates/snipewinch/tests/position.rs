//! Tests the order of positions against a model of a store that is restored from
//! backups again and again.

use std::collections::BTreeMap;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use snipewinch::position::Eras;
use snipewinch::position::Observation;
use snipewinch::position::Position;

/// What happens to the store, or what the follower does.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A row gets a new value.
    Write(u8),
    Backup,
    Restore,
    Poll,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 8 {
            0..4 => Step::Write(u8::arbitrary(g) % 3),
            4 => Step::Backup,
            5 => Step::Restore,
            _ => Step::Poll,
        }
    }
}

/// The version at the last change of each row, and its value.
type Rows = BTreeMap<u8, (u64, u32)>;

#[derive(Default)]
struct Store {
    position: Position,
    rows: Rows,
    backup: (u64, Rows),
    writes: u32,
}

impl Store {
    fn take(&mut self, step: Step) {
        match step {
            Step::Write(key) => {
                self.position.version += 1;
                self.writes += 1;
                self.rows.insert(key, (self.position.version, self.writes));
            }
            Step::Backup => self.backup = (self.position.version, self.rows.clone()),
            Step::Restore => {
                (self.position.version, self.rows) = self.backup.clone();
                self.position.era += 1;
            }
            Step::Poll => {}
        }
    }
}

#[derive(Default)]
struct Follower {
    eras: Eras,
    since: Option<Position>,
    rows: Rows,
}

impl Follower {
    /// Reads what has changed, or all rows if that is not known. Without eras it
    /// tells this by the versions alone.
    fn poll(&mut self, store: &Store, has_eras: bool) {
        let era = has_eras.then_some(store.position.era);
        self.eras.observe(era);
        let newest = self.eras.newest();
        let known = self
            .since
            .filter(|since| since.is_continued_in(newest))
            .filter(|since| since.version <= store.position.version);
        match known {
            Some(since) => {
                let changed = store.rows.iter().filter(|(_, (at, _))| *at > since.version);
                self.rows.extend(changed.map(|(key, row)| (*key, *row)));
            }
            None => self.rows = store.rows.clone(),
        }
        self.since = Some(Position {
            era: newest,
            version: store.position.version,
        });
    }
}

fn follows(steps: &[Step], has_eras: bool) -> bool {
    let mut store = Store {
        position: Position { era: 1, version: 0 },
        ..Store::default()
    };
    let mut follower = Follower::default();
    for step in steps.iter().copied().chain([Step::Poll]) {
        store.take(step);
        if matches!(step, Step::Poll) {
            follower.poll(&store, has_eras);
        }
    }
    follower.rows == store.rows
}

/// Guards against a follower whose rows are not those of the store after restores.
#[test]
fn a_follower_has_all_rows_however_often_the_store_is_restored() {
    fn property(steps: Vec<Step>) -> bool {
        follows(&steps, true)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Shows that the model finds the fault: by versions alone rows are missed.
#[test]
fn versions_alone_miss_rows_after_a_restore() {
    let steps = [
        Step::Backup,
        Step::Write(0),
        Step::Write(0),
        Step::Poll,
        Step::Restore,
        Step::Write(1),
        Step::Write(0),
        Step::Poll,
    ];
    assert!(!follows(&steps, false));
    assert!(follows(&steps, true));
}

/// Guards against an answer of an earlier era that arrives after one of a later era.
#[test]
fn an_answer_of_an_earlier_era_is_outdated() {
    let mut eras = Eras::default();
    assert_eq!(eras.observe(Some(4)), Observation::Current);
    assert_eq!(eras.observe(Some(5)), Observation::Restored { before: 4 });
    assert_eq!(eras.observe(Some(4)), Observation::Outdated { newest: 5 });
    assert_eq!(eras.observe(None), Observation::Current);
    assert_eq!(eras.newest(), 5);
}
