//! Orders to an engine with lost answers, restarts and late orders: single
//! cases, and seeded runs against engines that check fencing numbers or ignore
//! them.

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

/// An engine, and orders that are still in transit to it.
struct Engine {
    checks_fence: bool,
    state: State,
    in_transit: Vec<(Duration, u64, Order)>,
}

impl Engine {
    fn carry_out(&mut self, fence: u64, order: &Order) -> Outcome {
        if self.checks_fence && fence < self.state.fence {
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

    fn carry_out_late(&mut self, now: Duration) {
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_transit = late;
        for (_, fence, order) in due {
            self.carry_out(fence, &order);
        }
    }
}

/// Versions change, answers and orders are lost or late and the agent restarts.
/// Returns whether the engine then holds the last version and the agent
/// confirms it.
fn ends_at_the_last_version(seed: u64) -> bool {
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut engine = Engine {
        checks_fence: rng.random(),
        state: State::default(),
        in_transit: Vec::new(),
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
        engine.carry_out_late(now);
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
                    // The order or its answer is lost, or the order is late.
                    0 if faulty => Outcome::Unknown,
                    1 if faulty => {
                        engine.carry_out(fence, &order);
                        Outcome::Unknown
                    }
                    2 if faulty => {
                        let late = Duration::from_millis(rng.random_range(1..5000));
                        engine.in_transit.push((now + late, fence, order));
                        Outcome::Unknown
                    }
                    _ => engine.carry_out(fence, &order),
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

/// Lets the loader read `state` and returns its next action.
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
fn an_empty_engine_loads_without_permission_to_reload() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    let no_reload = |target: &Target| Readiness {
        may_reload: false,
        ..ready(target)
    };
    assert_eq!(loader.next_action(STEP, &no_reload, 0), Action::ReadState);
    loader.record_state(STEP, Some(State::default()));
    let action = loader.next_action(STEP, &no_reload, 0);
    assert!(
        matches!(action, Action::Send { fence: 8, .. }),
        "{action:?}"
    );
}

#[test]
fn nothing_is_ordered_before_it_is_complete_and_may_reload() {
    for (complete, may_reload) in [(false, false), (false, true), (true, false)] {
        let mut loader = Loader::new(7);
        loader.set_targets(vec![target("v2")], None);
        let readiness = |target: &Target| Readiness {
            weights_digest: complete.then(|| self::weights_digest(target)),
            may_reload,
        };
        assert_eq!(loader.next_action(STEP, &readiness, 0), Action::ReadState);
        loader.record_state(STEP, Some(holding(&[target("v1")])));
        let action = loader.next_action(STEP, &readiness, 0);
        assert!(
            matches!(action, Action::Wait(_)),
            "{complete} {may_reload}: {action:?}"
        );
        assert_eq!(loader.confirmed(&readiness).len(), 1);
    }
}

#[test]
fn calls_end_before_a_reload_and_none_is_admitted_meanwhile() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v2")], None);
    assert_eq!(
        read(&mut loader, STEP, &holding(&[target("v1")])),
        Action::Drain
    );
    assert!(loader.confirmed(&ready).is_empty());
    let later = STEP + Duration::from_millis(100);
    assert_eq!(loader.next_action(later, &ready, 3), Action::Drain);
    let action = loader.next_action(later, &ready, 0);
    assert!(matches!(action, Action::Send { .. }), "{action:?}");
    assert!(loader.confirmed(&ready).is_empty());
    loader.record_outcome(later, Outcome::Done(holding(&[target("v2")])));
    assert_eq!(loader.confirmed(&ready)[0].version, "v2");
}

#[test]
fn weights_that_differ_from_the_published_are_not_served_and_are_replaced() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    let mut state = holding(&[target("v1")]);
    state.models[0].given_digest = Digest::of(b"cut off").to_string().into();
    read(&mut loader, STEP, &state);
    assert!(loader.confirmed(&ready).is_empty());
    let action = loader.next_action(STEP + Duration::from_millis(100), &ready, 0);
    assert!(matches!(action, Action::Send { .. }), "{action:?}");
}

#[test]
fn a_fenced_order_is_given_again_above_the_number_seen() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    read(&mut loader, STEP, &State::default());
    loader.record_outcome(STEP, Outcome::Fenced { fence: 900 });
    let action = read(&mut loader, STEP, &State::default());
    assert!(
        matches!(action, Action::Send { fence: 901, .. }),
        "{action:?}"
    );
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
    let action = read(&mut loader, STEP, &State::default());
    assert!(matches!(&action, Action::Send { order: Order::Load(one), .. } if *one == model));
    loader.record_outcome(STEP, Outcome::Done(holding(std::slice::from_ref(&model))));
    let action = loader.next_action(STEP, &ready, 5);
    assert!(matches!(&action, Action::Send { order: Order::Load(one), .. } if *one == adapter));
    assert_eq!(loader.confirmed(&ready).len(), 1);
}

#[test]
fn one_unanswered_read_does_not_withdraw_the_versions_of_a_sound_engine() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    let holds = holding(&[target("v1")]);
    read(&mut loader, STEP, &holds);
    let mut now = STEP;
    for confirmed in [1, 0] {
        now += Duration::from_secs(2);
        assert_eq!(loader.next_action(now, &ready, 0), Action::ReadState);
        loader.record_state(now, None);
        assert_eq!(loader.confirmed(&ready).len(), confirmed);
    }
    now += Duration::from_secs(2);
    read(&mut loader, now, &holds);
    assert_eq!(loader.confirmed(&ready).len(), 1);
}

#[test]
fn no_order_is_sent_between_an_unanswered_read_and_the_next_answer() {
    let mut loader = Loader::new(7);
    loader.set_targets(vec![target("v1")], None);
    read(&mut loader, STEP, &holding(&[target("v1")]));
    let now = STEP + Duration::from_secs(2);
    assert_eq!(loader.next_action(now, &ready, 0), Action::ReadState);
    loader.record_state(now, None);
    loader.set_targets(vec![target("v2")], None);
    let action = loader.next_action(now, &ready, 0);
    assert!(matches!(action, Action::Wait(_)), "{action:?}");
}
