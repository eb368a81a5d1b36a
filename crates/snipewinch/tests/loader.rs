//! Orders to an engine under lost answers, restarts and late orders: tables of
//! cases, and seeded runs against an engine that checks fencing numbers and one
//! that ignores them.

use std::time::Duration;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::Digest;
use snipewinch::weights::load::Action;
use snipewinch::weights::load::Kind;
use snipewinch::weights::load::Loaded;
use snipewinch::weights::load::Loader;
use snipewinch::weights::load::Order;
use snipewinch::weights::load::Outcome;
use snipewinch::weights::load::Readiness;
use snipewinch::weights::load::State;
use snipewinch::weights::load::Target;

const STEP: Duration = Duration::from_millis(20);

fn target(version: &str) -> Target {
    Target {
        kind: Kind::Model,
        name: "verse".into(),
        version: version.into(),
        manifest: Digest::of(version.as_bytes()),
    }
}

/// The digest of all weights of a version.
fn weights_digest(target: &Target) -> Digest {
    Digest::of(target.manifest.as_bytes())
}

fn loaded(target: &Target) -> Loaded {
    Loaded {
        model: target.name.clone(),
        version: target.version.clone(),
        manifest: target.manifest.to_string().into(),
        given_digest: weights_digest(target).to_string().into(),
    }
}

fn ready(target: &Target) -> Readiness {
    Readiness {
        weights_digest: Some(weights_digest(target)),
        may_reload: true,
    }
}

/// An engine, and orders that are still on their way to it.
struct Engine {
    checks: bool,
    state: State,
    late: Vec<(Duration, u64, Order)>,
}

impl Engine {
    fn obey(&mut self, fence: u64, order: &Order) -> Outcome {
        if self.checks && fence < self.state.fence {
            return Outcome::Fenced {
                fence: self.state.fence,
            };
        }
        self.state.fence = self.state.fence.max(fence);
        match order {
            Order::Load(target) => {
                self.state.models.retain(|one| one.model != target.name);
                self.state.models.push(loaded(target));
            }
            Order::Unload { model, .. } => self.state.models.retain(|one| one.model != *model),
            Order::Role(role) => self.state.role = Some(*role),
        }
        Outcome::Done(self.state.clone())
    }

    fn arrive(&mut self, now: Duration) {
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.late = late;
        for (_, fence, order) in due {
            self.obey(fence, &order);
        }
    }
}

/// Versions change, answers and orders are lost or late, the agent restarts;
/// at the end the engine holds the last version and the agent says so.
fn ends_at_the_last_version(seed: u64) -> bool {
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut engine = Engine {
        checks: rng.random(),
        state: State::default(),
        late: Vec::new(),
    };
    let mut incarnation = 1_000_000;
    let mut loader = Loader::new(incarnation);
    let mut wanted = target("v0");
    loader.set_targets(vec![wanted.clone()], None);
    let mut highest = 0;
    let end = Duration::from_secs(60);
    let faults_end = Duration::from_secs(30);
    let mut now = Duration::ZERO;
    while now < end {
        now += STEP;
        engine.arrive(now);
        let faulty = now < faults_end;
        if faulty && rng.random_range(0..200) == 0 {
            let version = rng.random_range(0..4);
            wanted = target(&format!("v{version}"));
            loader.set_targets(vec![wanted.clone()], None);
        }
        if faulty && rng.random_range(0..300) == 0 {
            incarnation += 1_000_000;
            loader = Loader::new(incarnation);
            loader.set_targets(vec![wanted.clone()], None);
        }
        let running = rng.random_range(0..3);
        match loader.next_action(now, &ready, running) {
            Action::Wait(_) | Action::Drain => {}
            Action::ReadState => {
                let lost = faulty && rng.random_range(0..5) == 0;
                loader.record_state(now, (!lost).then(|| engine.state.clone()));
            }
            Action::Send { fence, order } => {
                assert!(fence > highest, "seed {seed}: {fence} after {highest}");
                highest = fence;
                let outcome = match rng.random_range(0..10) {
                    // Lost on its way there, or on its way back, or late.
                    0 if faulty => Outcome::Unknown,
                    1 if faulty => {
                        engine.obey(fence, &order);
                        Outcome::Unknown
                    }
                    2 if faulty => {
                        let late = Duration::from_millis(rng.random_range(1..5000));
                        engine.late.push((now + late, fence, order));
                        Outcome::Unknown
                    }
                    _ => engine.obey(fence, &order),
                };
                loader.record_outcome(now, outcome);
            }
        }
    }
    let holds = engine.state.models == vec![loaded(&wanted)];
    let confirmed = loader.confirmed(&ready);
    holds && confirmed.len() == 1 && confirmed[0].version == wanted.version
}

#[test]
fn any_order_of_losses_ends_at_the_last_version() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 31))
        .tests(200)
        .quickcheck(ends_at_the_last_version as fn(u64) -> bool);
}

/// Reads the state and steps again.
fn read(loader: &mut Loader, now: Duration, state: &State) -> Action {
    assert_eq!(loader.next_action(now, &ready, 0), Action::ReadState);
    loader.record_state(now, Some(state.clone()));
    loader.next_action(now, &ready, 0)
}

fn holding(targets: &[Target]) -> State {
    State {
        models: targets.iter().map(loaded).collect(),
        ..State::default()
    }
}

#[test]
fn an_empty_engine_loads_without_a_turn() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    let no_turn = |target: &Target| Readiness {
        may_reload: false,
        ..ready(target)
    };
    assert_eq!(loader.next_action(STEP, &no_turn, 0), Action::ReadState);
    loader.record_state(STEP, Some(State::default()));
    let step = loader.next_action(STEP, &no_turn, 0);
    assert!(matches!(step, Action::Send { fence: 8, .. }), "{step:?}");
}

#[test]
fn nothing_is_ordered_before_it_is_whole_or_before_its_turn() {
    for (complete, may_reload) in [(false, false), (false, true), (true, false)] {
        let mut loader = Loader::new(7);
        loader.set_targets(vec![target("v2")], None);
        let look = |target: &Target| Readiness {
            weights_digest: complete.then(|| self::weights_digest(target)),
            may_reload,
        };
        assert_eq!(loader.next_action(STEP, &look, 0), Action::ReadState);
        loader.record_state(STEP, Some(holding(&[target("v1")])));
        let step = loader.next_action(STEP, &look, 0);
        assert!(
            matches!(step, Action::Wait(_)),
            "{complete} {may_reload}: {step:?}"
        );
        assert_eq!(loader.confirmed(&look).len(), 1);
    }
}

#[test]
fn calls_end_before_a_reload_and_none_are_admitted_meanwhile() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v2")], None);
    assert_eq!(
        read(&mut loader, STEP, &holding(&[target("v1")])),
        Action::Drain
    );
    assert!(loader.confirmed(&ready).is_empty());
    let later = STEP + Duration::from_millis(100);
    assert_eq!(loader.next_action(later, &ready, 3), Action::Drain);
    let step = loader.next_action(later, &ready, 0);
    assert!(matches!(step, Action::Send { .. }), "{step:?}");
    assert!(loader.confirmed(&ready).is_empty());
    loader.record_outcome(later, Outcome::Done(holding(&[target("v2")])));
    assert_eq!(loader.confirmed(&ready)[0].version, "v2");
}

#[test]
fn weights_other_than_published_are_not_served_and_are_replaced() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    let mut state = holding(&[target("v1")]);
    state.models[0].given_digest = Digest::of(b"cut off").to_string().into();
    read(&mut loader, STEP, &state);
    assert!(loader.confirmed(&ready).is_empty());
    let step = loader.next_action(STEP + Duration::from_millis(100), &ready, 0);
    assert!(matches!(step, Action::Send { .. }), "{step:?}");
}

#[test]
fn a_fenced_order_is_given_again_above_the_number_seen() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    read(&mut loader, STEP, &State::default());
    loader.record_outcome(STEP, Outcome::Fenced { fence: 900 });
    let step = read(&mut loader, STEP, &State::default());
    assert!(matches!(step, Action::Send { fence: 901, .. }), "{step:?}");
}

#[test]
fn an_adapter_waits_for_its_model_and_leaves_the_model_serving() {
    let model = target("v1");
    let adapter = Target {
        kind: Kind::Adapter {
            of: model.name.clone(),
        },
        name: "ballads".into(),
        ..target("a1")
    };
    let mut loader = Loader::new(7);
    loader.set_targets(vec![model.clone(), adapter.clone()], None);
    let step = read(&mut loader, STEP, &State::default());
    assert!(matches!(&step, Action::Send { order: Order::Load(one), .. } if *one == model));
    loader.record_outcome(STEP, Outcome::Done(holding(std::slice::from_ref(&model))));
    let step = loader.next_action(STEP, &ready, 5);
    assert!(matches!(&step, Action::Send { order: Order::Load(one), .. } if *one == adapter));
    assert_eq!(loader.confirmed(&ready).len(), 1);
}
