//! Both ends of the call protocol under every order of loss, delay,
//! duplicate, reorder, restart and pause, against a plain model of how often
//! each call ran and what was answered.

mod call_world;

use std::time::Duration;

use call_world::Chaos;
use call_world::World;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use snipewinch::Digest;

const CASES: u64 = 200;
const GEN_SEED: u64 = 5;

const NONE: Chaos = Chaos::none();

/// One kind of trouble at a time, then all together.
const TABLE: [(&str, Chaos); 13] = [
    ("no fault", NONE),
    ("links break", Chaos { breaks: 10, ..NONE }),
    (
        "links go silent",
        Chaos {
            silences: 10,
            ..NONE
        },
    ),
    (
        "messages come twice",
        Chaos {
            duplicates: 100,
            ..NONE
        },
    ),
    (
        "messages overtake",
        Chaos {
            reorders: 100,
            ..NONE
        },
    ),
    ("messages are dropped", Chaos { drops: 50, ..NONE }),
    (
        "agents restart",
        Chaos {
            agent_restarts: 5,
            ..NONE
        },
    ),
    (
        "entries restart",
        Chaos {
            entry_restarts: 5,
            ..NONE
        },
    ),
    ("processes pause", Chaos { pauses: 10, ..NONE }),
    ("agents leave", Chaos { leaves: 2, ..NONE }),
    ("callers go", Chaos { gone: 20, ..NONE }),
    (
        "backend servers fail",
        Chaos {
            failures: 50,
            ..NONE
        },
    ),
    ("all together", Chaos::all()),
];

#[derive(Clone, Copy, Debug)]
struct Case {
    row: usize,
    seed: u64,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        Case {
            row: usize::from(u8::arbitrary(g)) % TABLE.len(),
            // Plain integers are drawn from a few edge cases too often.
            seed: Digest::of(&Vec::<u8>::arbitrary(g)).as_bytes()[..8]
                .iter()
                .fold(0, |seed, byte| seed << 8 | u64::from(*byte)),
        }
    }
}

fn holds(case: Case) -> bool {
    let (name, chaos) = TABLE[case.row];
    let mut world = World::open(case.seed, chaos);
    world.run(400);
    world.settle(Duration::from_secs(120));
    match world.verdict() {
        Ok(()) => true,
        Err(fault) => {
            eprintln!("{name}, {case:?}: {fault}");
            false
        }
    }
}

#[test]
fn every_fault_keeps_the_promises() {
    // More cases than usual can be asked for by hand.
    let cases = std::env::var("CALL_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(CASES);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, GEN_SEED))
        .tests(cases)
        .max_tests(cases)
        .quickcheck(holds as fn(Case) -> bool);
}

#[test]
fn without_faults_every_call_is_answered_whole() {
    let mut world = World::open(1, NONE);
    world.run(400);
    world.settle(Duration::from_secs(120));
    assert_eq!(world.verdict(), Ok(()));
    assert!(world.begun() > 50, "too few calls to tell");
    assert_eq!(world.answered(), world.begun());
}

/// The model itself sees broken promises.
#[test]
fn the_model_sees_what_is_wrong() {
    let mut world = World::open(1, NONE);
    world.run(400);
    world.settle(Duration::from_secs(120));
    assert_eq!(world.verdict(), Ok(()));
    world.pretend_another_run();
    assert!(world.verdict().is_err());
}
