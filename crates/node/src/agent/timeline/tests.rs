//! The phases of rollouts, with agents and engines that restart in between.

use std::time::Duration;

use super::Event;
use super::Observation;
use super::Phase;
use super::Timeline;

/// The phases after the news, in the usual order.
const PHASES: [Phase; 6] = [
    Phase::Chunks,
    Phase::Turn,
    Phase::Staging,
    Phase::Drain,
    Phase::Order,
    Phase::Load,
];

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn engine(held: u64, started_ms: u64) -> Observation {
    Observation { held, started_ms }
}

fn loaded_text(event: Option<Event>) -> String {
    match event {
        Some(Event::Loaded(loaded)) => loaded.to_string(),
        other => panic!("no version was loaded: {other:?}"),
    }
}

fn interrupted_text(event: Option<Event>) -> String {
    match event {
        Some(Event::Interrupted(interrupted)) => interrupted.to_string(),
        other => panic!("no rollout was interrupted: {other:?}"),
    }
}

/// Enters the phases from `first` on, one each 100 ms, the first at `start`.
fn enter_from(timeline: &mut Timeline, first: Phase, start: Duration) {
    let phases = PHASES.iter().filter(|phase| **phase >= first);
    for (index, phase) in (0..).zip(phases) {
        timeline.enter(start + ms(100) * index, 2, *phase);
    }
}

#[test]
fn the_phases_add_up_to_the_time_since_the_publication() {
    let mut timeline = Timeline::default();
    assert_eq!(timeline.observe(ms(900), engine(1, 7)), None);
    timeline.learn(ms(1_050), 2, Some(ms(1_000)));
    enter_from(&mut timeline, Phase::Chunks, ms(1_100));
    assert_eq!(timeline.observe(ms(1_650), engine(1, 7)), None);
    let text = loaded_text(timeline.observe(ms(1_800), engine(2, 7)));
    assert_eq!(
        text,
        "version 2 800 ms after it was published: news 50 ms, manifest 50 ms, chunks 100 ms, \
         turn 100 ms, staging 100 ms, drain 100 ms, order 100 ms, load 200 ms"
    );
    assert_eq!(timeline.observe(ms(1_900), engine(2, 7)), None);
}

#[test]
fn a_step_that_is_repeated_counts_to_its_phase() {
    let mut timeline = Timeline::default();
    timeline.observe(ms(0), engine(1, 7));
    timeline.learn(ms(0), 2, Some(ms(0)));
    enter_from(&mut timeline, Phase::Chunks, ms(0));
    timeline.enter(ms(700), 2, Phase::Staging);
    // A list that is read again does not begin the rollout anew.
    timeline.enter(ms(750), 2, Phase::Chunks);
    timeline.enter(ms(800), 2, Phase::Order);
    timeline.enter(ms(900), 2, Phase::Load);
    let text = loaded_text(timeline.observe(ms(1_000), engine(2, 7)));
    assert_eq!(
        text,
        "version 2 1000 ms after it was published: news 0 ms, manifest 0 ms, chunks 100 ms, \
         turn 100 ms, staging 200 ms, drain 100 ms, order 200 ms, load 300 ms"
    );
}

#[test]
fn a_version_that_was_loaded_before_the_agent_started_is_no_rollout() {
    let mut learned_first = Timeline::default();
    learned_first.learn(ms(0), 2, None);
    assert_eq!(learned_first.observe(ms(100), engine(2, 7)), None);
    assert_eq!(learned_first.observe(ms(200), engine(2, 7)), None);
    let mut observed_first = Timeline::default();
    observed_first.observe(ms(0), engine(2, 7));
    observed_first.learn(ms(100), 2, None);
    assert_eq!(observed_first.observe(ms(200), engine(2, 7)), None);
}

#[test]
fn a_restarted_agent_counts_from_when_it_learned_of_the_version() {
    let mut timeline = Timeline::default();
    timeline.learn(ms(300), 2, None);
    assert_eq!(timeline.observe(ms(400), engine(1, 7)), None);
    timeline.enter(ms(500), 2, Phase::Turn);
    let text = loaded_text(timeline.observe(ms(900), engine(2, 7)));
    assert_eq!(
        text,
        "version 2 600 ms after this agent learned of it: manifest 200 ms, turn 400 ms"
    );
}

#[test]
fn an_engine_that_restarts_interrupts_the_rollout_in_its_phase() {
    let mut timeline = Timeline::default();
    timeline.observe(ms(0), engine(1, 7));
    timeline.learn(ms(0), 2, Some(ms(0)));
    enter_from(&mut timeline, Phase::Chunks, ms(0));
    let text = interrupted_text(timeline.observe(ms(600), engine(0, 8)));
    assert_eq!(text, "in the phase load of version 2; it holds version 0");
    timeline.enter(ms(700), 2, Phase::Staging);
    timeline.enter(ms(800), 2, Phase::Order);
    timeline.enter(ms(900), 2, Phase::Load);
    let text = loaded_text(timeline.observe(ms(1_000), engine(2, 8)));
    assert!(
        text.starts_with("version 2 1000 ms after it was published: "),
        "{text}"
    );
}

#[test]
fn an_engine_that_restarts_without_its_version_begins_anew() {
    let mut timeline = Timeline::default();
    timeline.observe(ms(0), engine(1, 7));
    timeline.learn(ms(0), 2, Some(ms(0)));
    enter_from(&mut timeline, Phase::Chunks, ms(0));
    loaded_text(timeline.observe(ms(1_000), engine(2, 7)));
    let text = interrupted_text(timeline.observe(ms(5_000), engine(0, 8)));
    assert_eq!(text, "without version 2; it holds version 0");
    enter_from(&mut timeline, Phase::Staging, ms(5_100));
    let text = loaded_text(timeline.observe(ms(5_500), engine(2, 8)));
    assert_eq!(
        text,
        "version 2 500 ms after the engine restarted: turn 100 ms, staging 100 ms, \
         drain 100 ms, order 100 ms, load 100 ms"
    );
}

#[test]
fn a_version_that_is_replaced_before_it_is_loaded_ends_with_its_successor() {
    let mut timeline = Timeline::default();
    timeline.observe(ms(0), engine(1, 7));
    timeline.learn(ms(0), 2, Some(ms(0)));
    timeline.learn(ms(500), 3, Some(ms(400)));
    let text = loaded_text(timeline.observe(ms(1_000), engine(3, 7)));
    assert!(
        text.starts_with("version 3 600 ms after it was published: "),
        "{text}"
    );
    assert_eq!(timeline.observe(ms(1_100), engine(3, 7)), None);
}

#[test]
fn a_version_that_is_loaded_late_is_reported_beside_a_newer_one() {
    let mut timeline = Timeline::default();
    timeline.observe(ms(0), engine(1, 7));
    timeline.learn(ms(0), 2, Some(ms(0)));
    timeline.learn(ms(500), 3, Some(ms(500)));
    let text = loaded_text(timeline.observe(ms(700), engine(2, 7)));
    assert!(text.starts_with("version 2 700 ms after"), "{text}");
    let text = loaded_text(timeline.observe(ms(900), engine(3, 7)));
    assert!(text.starts_with("version 3 400 ms after"), "{text}");
}
