//! Transfers of weights in simulated fleets: under seeded faults, every host
//! ends up with one complete version, at bounded cost.

use std::fmt;
use std::time::Duration;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::document::Objective;
use snipewinch::weights::plan::Policy;

mod fleet;

use fleet::Faults;
use fleet::Fleet;
use fleet::Setup;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const REGION_MBIT: f64 = 20.0;
/// The simulated time after which an unfinished run has failed.
const RUN_LIMIT: Duration = Duration::from_secs(300);

fn setup(agents: usize, seed: u64) -> Setup {
    Setup {
        agents,
        regions: 3,
        host_mbit: 2.0 * REGION_MBIT,
        region_mbit: REGION_MBIT,
        origin_mbit: 4.0 * REGION_MBIT,
        memory_bytes: 64 << 20,
        objective: Objective::Time,
        policy: Policy::Swarm,
        seed,
    }
}

fn copies(bytes: u64, size: usize) -> f64 {
    bytes as f64 / size as f64
}

/// Cost of a run.
struct Cost {
    /// The duration, as a multiple of the time in which a link between regions
    /// carries one copy.
    ratio: f64,
    /// Copies of the weights read from the origin.
    origin: f64,
    /// Copies over the busiest link between regions.
    region_link: f64,
    /// Copies sent by the host that sent the most.
    host_link: f64,
    /// Copies received without use, by all hosts together.
    wasted: f64,
    refused: u64,
    stalled: u64,
    control_bytes_per_host: u64,
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ratio {:.3}, origin {:.3}, region link {:.3}, host link {:.3}, wasted {:.3}, \
             refused {}, stalled {}, control {} B per host",
            self.ratio,
            self.origin,
            self.region_link,
            self.host_link,
            self.wasted,
            self.refused,
            self.stalled,
            self.control_bytes_per_host,
        )
    }
}

fn cost(fleet: &Fleet, size: usize, since: Duration) -> Cost {
    let bound = size as f64 * 8.0 / (REGION_MBIT * 1e6);
    let link = fleet.region_bytes.values().copied().max().unwrap_or(0);
    let counts = || fleet.agents.iter().map(|one| one.swarm.counts());
    Cost {
        ratio: (fleet.now - since).as_secs_f64() / bound,
        origin: copies(fleet.origin_bytes, size),
        region_link: copies(link, size),
        host_link: copies(fleet.max_sent_bytes(), size),
        wasted: copies(counts().map(|one| one.wasted_bytes).sum(), size),
        refused: counts().map(|one| one.refused_requests).sum(),
        stalled: counts().map(|one| one.stalled_requests).sum(),
        control_bytes_per_host: fleet.control_bytes / fleet.agents.len() as u64,
    }
}

#[test]
fn transfer_without_faults_is_near_the_bound() {
    let size = 8 * MIB;
    for (agents, seed) in [(25, 7), (100, 8)] {
        let mut fleet = Fleet::open(setup(agents, seed));
        let bytes = fleet::weights(size, seed);
        let manifest = fleet.publish("v1", 64 << 10, &bytes);
        fleet.set_wanted(manifest);
        let done = fleet.run(RUN_LIMIT, |fleet| fleet.all_complete(&manifest));
        let cost = cost(&fleet, size, Duration::ZERO);
        println!("{agents} agents, seed {seed}: {cost}");
        assert!(done, "seed {seed}");
        assert!(cost.ratio <= 1.25, "seed {seed}: {cost}");
        assert!(cost.origin <= 1.10, "seed {seed}: {cost}");
        assert!(cost.region_link <= 1.05, "seed {seed}: {cost}");
        assert!(cost.host_link <= 2.0, "seed {seed}: {cost}");
    }
}

#[test]
fn baseline_policies_finish_and_cost_more() {
    let size = 2 * MIB;
    for (policy, origin_min) in [(Policy::Origin, 29.9), (Policy::Tree, 1.0)] {
        let mut setup = setup(30, 5);
        setup.policy = policy;
        let mut fleet = Fleet::open(setup);
        let bytes = fleet::weights(size, 5);
        let manifest = fleet.publish("v1", 64 << 10, &bytes);
        fleet.set_wanted(manifest);
        let done = fleet.run(RUN_LIMIT, |fleet| fleet.all_complete(&manifest));
        let cost = cost(&fleet, size, Duration::ZERO);
        println!("{policy:?}: {cost}");
        assert!(done, "{policy:?}: {cost}");
        assert!(cost.origin >= origin_min, "{policy:?}: {cost}");
    }
}

#[test]
fn new_version_fetches_only_changed_chunks() {
    let size = 4 * MIB;
    let mut fleet = Fleet::open(setup(30, 3));
    let mut bytes = fleet::weights(size, 3);
    let first = fleet.publish("v1", 32 << 10, &bytes);
    fleet.set_wanted(first);
    assert!(fleet.run(RUN_LIMIT, |fleet| fleet.all_complete(&first)));
    fleet.origin_bytes = 0;
    let changed = size / 10;
    let start = size / 2;
    bytes[start..start + changed].copy_from_slice(&fleet::weights(changed, 4));
    let second = fleet.publish("v2", 32 << 10, &bytes);
    fleet.set_wanted(second);
    assert!(fleet.run(fleet.now + RUN_LIMIT, |fleet| fleet.all_complete(&second)));
    let origin = copies(fleet.origin_bytes, size);
    assert!(origin <= 0.12, "{origin} copies from the origin");
}

/// Guards against standby gateways reading the same chunks after an outage of
/// the origin. When its host crashes in the middle of a transfer, all gateways
/// wait for it and none of them is at fault; its slow link must carry each chunk
/// once when it is back.
#[test]
fn chunks_are_read_once_after_an_origin_outage() {
    let size = 2 * MIB;
    for seed in [1, 2, 3] {
        let mut setup = setup(20, seed);
        setup.host_mbit = 5.8;
        setup.origin_mbit = 7.3;
        setup.region_mbit = 8.0;
        let mut fleet = Fleet::open(setup);
        let bytes = fleet::weights(size, seed);
        let manifest = fleet.publish("v1", 24 << 10, &bytes);
        fleet.set_wanted(manifest);
        fleet.run(Duration::from_millis(1_500), |_| false);
        fleet.faults.origin_fails = 100;
        fleet.run(Duration::from_millis(8_500), |_| false);
        fleet.faults.origin_fails = 0;
        let before = fleet.origin_bytes;
        let done = fleet.run(RUN_LIMIT, |fleet| fleet.all_complete(&manifest));
        let origin = copies(fleet.origin_bytes, size);
        let took = fleet.now - Duration::from_millis(8_500);
        let rest = size as f64 - before as f64;
        println!(
            "seed {seed}: {origin:.3} copies, {:.2} s",
            took.as_secs_f64()
        );
        assert!(done, "seed {seed}");
        assert!(origin <= 1.3, "seed {seed}: {origin} copies");
        let bound = rest / (7.3 * 125_000.0);
        assert!(
            took.as_secs_f64() <= 1.5 * bound + 1.0,
            "seed {seed}: {took:?}"
        );
    }
}

/// Fault case and the copies that it may read from the origin.
struct Case {
    name: &'static str,
    faults: Faults,
    inject: fn(&mut Fleet, &mut ChaCha8Rng),
    origin_max: f64,
}

const NONE: Faults = Faults {
    lost: 0,
    duplicated: 0,
    late: 0,
    origin_corrupt: 0,
    origin_fails: 0,
    corrupting: 0,
};

const CASES: &[Case] = &[
    Case {
        name: "hosts are killed",
        faults: NONE,
        inject: |fleet, rng| {
            for _ in 0..3 {
                let index = rng.random_range(0..fleet.agents.len());
                fleet.kill(index);
            }
        },
        origin_max: 1.3,
    },
    Case {
        name: "hosts restart empty",
        faults: NONE,
        inject: |fleet, rng| {
            for _ in 0..3 {
                let index = rng.random_range(0..fleet.agents.len());
                fleet.restart(index);
            }
        },
        origin_max: 1.3,
    },
    Case {
        name: "gateways pause past the takeover delay and resume",
        faults: NONE,
        inject: |fleet, rng| {
            for _ in 0..4 {
                let index = rng.random_range(0..fleet.agents.len());
                fleet.pause(index, Duration::from_secs(5));
            }
        },
        origin_max: 1.3,
    },
    Case {
        name: "a region is partitioned and rejoins",
        faults: NONE,
        inject: |fleet, _| fleet.set_partition(Some((0, 1))),
        origin_max: 1.6,
    },
    Case {
        name: "hosts send corrupt chunks",
        faults: Faults {
            corrupting: 3,
            ..NONE
        },
        inject: |_, _| {},
        origin_max: 1.3,
    },
    Case {
        name: "the origin fails and sends corrupt chunks",
        faults: Faults {
            origin_corrupt: 5,
            origin_fails: 20,
            ..NONE
        },
        inject: |_, _| {},
        origin_max: 1.3,
    },
    Case {
        name: "messages are lost, duplicated and late",
        faults: Faults {
            lost: 2,
            duplicated: 2,
            late: 5,
            ..NONE
        },
        inject: |_, _| {},
        origin_max: 1.5,
    },
];

#[test]
fn every_fault_case_completes_within_its_origin_bound() {
    let size = MIB;
    for case in CASES {
        for seed in [1, 2, 3] {
            let name = case.name;
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut fleet = Fleet::with_faults(setup(36, seed), case.faults.clone());
            let bytes = fleet::weights(size, seed);
            let manifest = fleet.publish("v1", 16 << 10, &bytes);
            fleet.set_wanted(manifest);
            fleet.run(Duration::from_millis(300), |_| false);
            (case.inject)(&mut fleet, &mut rng);
            fleet.run(Duration::from_secs(3), |fleet| {
                fleet.all_complete(&manifest)
            });
            fleet.update_views();
            fleet.run(Duration::from_secs(20), |fleet| {
                fleet.all_complete(&manifest)
            });
            fleet.heal();
            let done = fleet.run(RUN_LIMIT, |fleet| fleet.all_complete(&manifest));
            let cost = cost(&fleet, size, Duration::ZERO);
            println!("{name}, seed {seed}: {cost}");
            assert!(done, "{name}, seed {seed}: {cost}");
            assert!(
                cost.origin <= case.origin_max,
                "{name}, seed {seed}: {cost}"
            );
        }
    }
}

/// Runs random faults in random order; returns whether every host that is alive
/// holds the last version after they end. The simulation compares every byte
/// with the published weights.
fn recovers_from_random_faults(seed: u64) -> bool {
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let agents = rng.random_range(2..60);
    let mut setup = setup(agents, seed);
    setup.regions = rng.random_range(1..=3);
    setup.memory_bytes = rng.random_range(1..4) * 768 * KIB as u64;
    if rng.random() {
        setup.objective = Objective::Origin;
    }
    let faults = Faults {
        lost: rng.random_range(0..3),
        duplicated: rng.random_range(0..3),
        late: rng.random_range(0..10),
        origin_corrupt: rng.random_range(0..10),
        origin_fails: rng.random_range(0..30),
        corrupting: rng.random_range(0..=agents / 12),
    };
    let regions = setup.regions;
    let mut fleet = Fleet::with_faults(setup, faults);
    let mut bytes = fleet::weights(512 * KIB, seed);
    let mut last = None;
    for version in 0..3 {
        let start = rng.random_range(0..bytes.len() / 2);
        bytes[start..start + 8 * KIB].copy_from_slice(&fleet::weights(8 * KIB, rng.random()));
        let manifest = fleet.publish(&format!("v{version}"), 16 << 10, &bytes);
        fleet.set_wanted(manifest);
        last = Some(manifest);
        for _ in 0..rng.random_range(0..6) {
            let index = rng.random_range(0..agents);
            match rng.random_range(0..5) {
                0 if index > 0 => fleet.kill(index),
                1 => fleet.restart(index),
                2 => fleet.pause(index, Duration::from_millis(rng.random_range(100..8000))),
                3 => fleet.set_partition(Some((0, rng.random_range(0..regions)))),
                _ => fleet.update_views(),
            }
            let span = Duration::from_millis(rng.random_range(10..1500));
            fleet.run(fleet.now + span, |_| false);
        }
    }
    let manifest = last.expect("three versions were published");
    fleet.heal();
    fleet.update_views();
    fleet.run(fleet.now + RUN_LIMIT, |fleet| fleet.all_complete(&manifest))
}

#[test]
fn hosts_complete_the_last_version_after_random_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 20_261_203))
        .tests(60)
        .quickcheck(recovers_from_random_faults as fn(u64) -> bool);
}
