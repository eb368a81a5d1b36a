//! Leases under lost answers, pauses and restarts: whoever passes the gate is
//! never older than one who passed before.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use snipewinch::lease::Action;
use snipewinch::lease::Claimant;
use snipewinch::lease::Gate;
use snipewinch::lease::Row;
use snipewinch::lease::Seen;
use snipewinch::lease::Written;

const LENGTH: Duration = Duration::from_secs(5);
const CLAIMANTS: usize = 4;

#[derive(Default)]
struct Table {
    seen: Option<Seen>,
    revision: u64,
    /// The name of whoever wrote each fencing number.
    holders: std::collections::BTreeMap<u64, smol_str::SmolStr>,
}

impl Table {
    fn write(&mut self, row: Row, revision: u64) -> Option<u64> {
        let current = self.seen.as_ref().map_or(0, |seen| seen.revision);
        if current != revision {
            return None;
        }
        self.revision += 1;
        if !row.holder.is_empty() {
            let first = self.holders.entry(row.fence).or_insert(row.holder.clone());
            assert_eq!(*first, row.holder, "two holders under one fencing number");
        }
        let revision = self.revision;
        self.seen = Some(Seen { row, revision });
        Some(revision)
    }
}

struct Process {
    claimant: Claimant,
    /// Its clock runs from another start, and it may stand still until then.
    clock: Duration,
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
fn the_gate_lets_nobody_through_after_a_later_holder() {
    for seed in 0..300 {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table::default();
    let mut gate = Gate::default();
    let mut processes: Vec<Process> = (0..CLAIMANTS).map(|i| process(seed, i, 0)).collect();
    let mut passed = 0;
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
            action = process.claimant.read(now, table.seen.clone());
        }
        if let Action::Write { row, revision } = action {
            let applied = rng
                .random_bool(0.9)
                .then(|| table.write(row, revision))
                .flatten();
            let lost = rng.random_bool(0.1);
            process.claimant.written(match applied {
                _ if lost => Written::Unknown,
                Some(revision) => Written::Done { revision },
                None => Written::Failed,
            });
            // The pause strikes between the grant and the use of it.
            if rng.random_bool(0.1) {
                process.paused_until = step + rng.random_range(1..150);
            }
        }
        let claims: Vec<u64> = processes
            .iter()
            .filter_map(|process| process.claimant.fence(process.clock))
            .collect();
        overlaps += usize::from(claims.len() > 1);
        if let Some(fence) = processes[index].claimant.fence(now)
            && gate.admit(fence).is_ok()
        {
            assert!(fence >= highest, "seed {seed}");
            highest = fence;
            passed += 1;
        }
    }
    assert!(
        passed > 100,
        "seed {seed}: the resource was used {passed} times"
    );
    assert!(highest > 1, "seed {seed}: the lease never changed hands");
    assert_eq!(
        overlaps, 0,
        "seed {seed}: two held the lease at once by their own clocks"
    );
}

#[test]
fn a_holder_that_was_paused_knows_that_its_lease_is_over() {
    let mut claimant = Claimant::open("a".into(), LENGTH);
    let sent = Duration::from_secs(100);
    assert!(matches!(
        claimant.read(sent, None),
        Action::Write { revision: 0, .. }
    ));
    claimant.written(Written::Done { revision: 1 });
    assert_eq!(claimant.fence(sent), Some(1));
    assert_eq!(claimant.fence(sent + LENGTH), None);
}

#[test]
fn an_old_fencing_number_is_refused() {
    let mut gate = Gate::default();
    assert!(gate.admit(2).is_ok());
    assert!(gate.admit(2).is_ok());
    let error = gate.admit(1).expect_err("old");
    assert_eq!((error.given, error.highest), (1, 2));
}
