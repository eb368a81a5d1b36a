//! Leases under lost answers, pauses and restarts: once the checker has
//! accepted a holder, it accepts no earlier one.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use snipewinch::lease::Action;
use snipewinch::lease::Checker;
use snipewinch::lease::Claimant;
use snipewinch::lease::Outcome;
use snipewinch::lease::Row;
use snipewinch::lease::Snapshot;

const LENGTH: Duration = Duration::from_secs(5);
const CLAIMANTS: usize = 4;

#[derive(Default)]
struct Table {
    snapshot: Option<Snapshot>,
    revision: u64,
    /// The holder under each fencing number.
    holders: std::collections::BTreeMap<u64, smol_str::SmolStr>,
}

impl Table {
    fn write(&mut self, row: Row, revision: u64) -> Option<u64> {
        let current = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.revision);
        if current != revision {
            return None;
        }
        self.revision += 1;
        if !row.holder.is_empty() {
            let holder = self.holders.entry(row.fence).or_insert(row.holder.clone());
            assert_eq!(*holder, row.holder, "two holders under one fencing number");
        }
        let revision = self.revision;
        self.snapshot = Some(Snapshot { row, revision });
        Some(revision)
    }
}

struct Process {
    claimant: Claimant,
    /// The process's own clock; clocks start at different times.
    clock: Duration,
    /// The step until which the process is paused; 0 if it never was.
    paused_until: u64,
}

fn process(seed: u64, index: usize, start: u64) -> Process {
    Process {
        claimant: Claimant::open(format_smolstr!("claimant-{index}-{start}"), LENGTH),
        clock: Duration::from_secs(seed % 1000 * (index as u64 + 1)),
        paused_until: 0,
    }
}

#[test]
fn no_holder_is_accepted_after_a_later_one() {
    for seed in 0..300 {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table::default();
    let mut checker = Checker::default();
    let mut processes: Vec<Process> = (0..CLAIMANTS).map(|i| process(seed, i, 0)).collect();
    let mut accepted = 0;
    let mut highest = 0;
    let mut overlaps = 0;
    for step in 1..2_000u64 {
        let index = rng.random_range(0..CLAIMANTS);
        for process in &mut processes {
            process.clock += Duration::from_millis(100);
        }
        match rng.random_range(0..200) {
            0 => processes[index].paused_until = step + rng.random_range(1..200),
            1 => processes[index] = process(seed, index, step),
            _ => {}
        }
        if processes[index].paused_until > step {
            continue;
        }
        let process = &mut processes[index];
        let now = process.clock;
        let mut action = process.claimant.next(now);
        if action == Action::Read && rng.random_bool(0.9) {
            action = process.claimant.on_read(now, table.snapshot.clone());
        }
        if let Action::Write { row, revision } = action {
            let written = rng
                .random_bool(0.9)
                .then(|| table.write(row, revision))
                .flatten();
            let lost = rng.random_bool(0.1);
            process.claimant.on_write(match written {
                _ if lost => Outcome::Unknown,
                Some(revision) => Outcome::Written { revision },
                None => Outcome::Failed,
            });
            // Pauses the process right after the write.
            if rng.random_bool(0.1) {
                process.paused_until = step + rng.random_range(1..150);
            }
        }
        let held: Vec<u64> = processes
            .iter()
            .filter_map(|process| process.claimant.fence(process.clock))
            .collect();
        overlaps += usize::from(held.len() > 1);
        if let Some(fence) = processes[index].claimant.fence(now)
            && checker.check(fence).is_ok()
        {
            assert!(fence >= highest, "seed {seed}");
            highest = fence;
            accepted += 1;
        }
    }
    assert!(
        accepted > 100,
        "seed {seed}: the checker accepted only {accepted} uses"
    );
    assert!(highest > 1, "seed {seed}: the lease never changed hands");
    assert_eq!(
        overlaps, 0,
        "seed {seed}: two processes held the lease at once by their own clocks"
    );
}

#[test]
fn a_paused_holder_sees_that_its_lease_has_expired() {
    let mut claimant = Claimant::open("a".into(), LENGTH);
    let sent_at = Duration::from_secs(100);
    assert!(matches!(
        claimant.on_read(sent_at, None),
        Action::Write { revision: 0, .. }
    ));
    claimant.on_write(Outcome::Written { revision: 1 });
    assert_eq!(claimant.fence(sent_at), Some(1));
    assert_eq!(claimant.fence(sent_at + LENGTH), None);
}

#[test]
fn a_lower_fencing_number_is_refused() {
    let mut checker = Checker::default();
    assert!(checker.check(2).is_ok());
    assert!(checker.check(2).is_ok());
    let error = checker.check(1).expect_err("a lower number is refused");
    assert_eq!((error.given, error.highest), (1, 2));
}
