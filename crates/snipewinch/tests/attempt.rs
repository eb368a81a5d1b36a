//! When a request goes to another backend server, and when it ends without an
//! answer.

use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use snipewinch::attempt::Attempts;
use snipewinch::attempt::Event;
use snipewinch::attempt::Key;
use snipewinch::attempt::Step;
use snipewinch::route::Repeat;

const RESUMABLE: Repeat = Repeat::Stream {
    resumable: true,
    gap: Duration::from_millis(400),
};
const NOT_RESUMABLE: Repeat = Repeat::Stream {
    resumable: false,
    gap: Duration::from_millis(400),
};

fn begun(repeat: Repeat, runs_max: u32) -> (Attempts, Key) {
    let mut attempts = Attempts::new(repeat, runs_max);
    let key = attempts.begin();
    (attempts, key)
}

#[test]
fn a_silent_attempt_stays_open_if_nothing_can_replace_it() {
    for (repeat, runs_max) in [(RESUMABLE, 1), (NOT_RESUMABLE, 2), (Repeat::Never, 2)] {
        let (mut attempts, key) = begun(repeat, runs_max);
        assert_eq!(attempts.handle(Event::Silent(key)), Step::Wait);
        assert_eq!(attempts.handle(Event::Silent(key)), Step::Wait);
        assert_eq!(attempts.handle(Event::Progressed(key)), Step::Wait);
        assert_eq!(
            attempts.handle(Event::Broken(key)),
            match runs_max {
                _ if repeat.may_rerun() && runs_max > 1 => Step::Retry,
                _ => Step::End,
            }
        );
    }
}

#[test]
fn a_silent_attempt_stays_open_while_it_is_being_replaced() {
    let (mut attempts, first) = begun(RESUMABLE, 2);
    assert_eq!(attempts.handle(Event::Silent(first)), Step::Retry);
    assert_eq!(attempts.handle(Event::Silent(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Refused), Step::Wait);
    assert_eq!(attempts.handle(Event::Silent(first)), Step::Retry);
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::Broken(second)), Step::Wait);
    assert_eq!(attempts.handle(Event::Silent(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(first)), Step::End);
}

#[test]
fn a_replacement_that_was_not_executed_is_replaced_at_once() {
    let (mut attempts, first) = begun(RESUMABLE, 2);
    assert_eq!(attempts.handle(Event::Silent(first)), Step::Retry);
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::NotRun(second)), Step::Retry);
    assert_eq!(attempts.runs(), 1);
}

#[test]
fn a_silent_attempt_outlives_the_one_that_replaced_it() {
    let (mut attempts, first) = begun(RESUMABLE, 2);
    let _retry = attempts.handle(Event::Silent(first));
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::Progressed(second)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(second)), Step::Wait);
    assert_eq!(attempts.handle(Event::Progressed(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(first)), Step::End);
}

#[test]
fn an_attempt_that_goes_on_ends_its_replacement() {
    let (mut attempts, first) = begun(RESUMABLE, 3);
    let _retry = attempts.handle(Event::Silent(first));
    let _second = attempts.begin();
    assert_eq!(attempts.handle(Event::Progressed(first)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(first)), Step::Retry);
    assert_eq!(attempts.handle(Event::Refused), Step::End);
}

#[test]
fn an_answer_that_only_one_attempt_can_complete_is_not_retried() {
    let (mut attempts, first) = begun(RESUMABLE, 3);
    assert_eq!(attempts.handle(Event::Silent(first)), Step::Retry);
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::Progressed(second)), Step::Wait);
    attempts.commit(second);
    assert_eq!(attempts.handle(Event::Silent(second)), Step::Wait);
    assert_eq!(attempts.clone().handle(Event::Broken(second)), Step::End);
    assert_eq!(attempts.handle(Event::Progressed(second)), Step::Wait);
    assert_eq!(attempts.handle(Event::Broken(second)), Step::Retry);
}

#[test]
fn backend_servers_that_are_not_reached_use_up_no_attempt() {
    let mut attempts = Attempts::new(Repeat::Never, 1);
    for _ in 0..7 {
        assert_eq!(attempts.handle(Event::Unreached), Step::Retry);
    }
    assert_eq!(attempts.sends(), 0);
    let key = attempts.begin();
    assert_eq!(attempts.handle(Event::NotRun(key)), Step::Retry);
    assert_eq!(attempts.handle(Event::Unreached), Step::End);
}

#[test]
fn what_may_run_once_goes_elsewhere_only_after_a_refusal() {
    let (mut attempts, first) = begun(Repeat::Never, 2);
    assert_eq!(attempts.handle(Event::NotRun(first)), Step::Retry);
    assert_eq!(attempts.runs(), 0);
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::Broken(second)), Step::End);
    assert_eq!(attempts.runs(), 1);
}

#[test]
fn an_error_is_repeated_elsewhere_only_for_idempotent_requests() {
    for (repeat, step) in [
        (Repeat::Idempotent, Step::Retry),
        (RESUMABLE, Step::End),
        (Repeat::Never, Step::End),
    ] {
        let (mut attempts, first) = begun(repeat, 2);
        assert_eq!(attempts.handle(Event::Failed(first)), step);
    }
}

#[derive(Clone, Copy, Debug)]
enum Happening {
    Unreached,
    Refused,
    NotRun,
    Broken,
    Dropped,
    Failed,
    Silent,
    Slow,
    Progressed,
    Withdrawn,
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Happening {
        *g.choose(&[
            Happening::Unreached,
            Happening::Refused,
            Happening::NotRun,
            Happening::Broken,
            Happening::Dropped,
            Happening::Failed,
            Happening::Silent,
            Happening::Slow,
            Happening::Progressed,
            Happening::Withdrawn,
        ])
        .expect("the list is not empty")
    }
}

quickcheck! {
    /// Plays events that can happen to a request against a model of the
    /// embedder.
    fn attempts_stay_within_their_limits(kind: u8, runs_max: u8, script: Vec<(Happening, bool)>) -> bool {
        let repeat = [Repeat::Idempotent, Repeat::Never, RESUMABLE, NOT_RESUMABLE][usize::from(kind % 4)];
        let runs_max = u32::from(runs_max % 4) + 1;
        let mut attempts = Attempts::new(repeat, runs_max);
        let mut open: Vec<Key> = Vec::new();
        let mut silent: Vec<Key> = Vec::new();
        let mut is_starting = true;
        let mut unreached = 0;
        for (happening, first) in script {
            let index = if first { 0 } else { open.len().saturating_sub(1) };
            let key = open.get(index).copied();
            let event = match (happening, key) {
                (Happening::Unreached, _) if is_starting => Event::Unreached,
                (Happening::Refused, _) if is_starting => Event::Refused,
                (Happening::NotRun, Some(key)) => Event::NotRun(key),
                (Happening::Broken, Some(key)) => Event::Broken(key),
                (Happening::Failed, Some(key)) => Event::Failed(key),
                (Happening::Silent, Some(key)) => Event::Silent(key),
                (Happening::Slow, Some(key)) => Event::Slow(key),
                (Happening::Dropped, Some(key)) if silent.contains(&key) && open.len() > 1 => Event::Dropped(key),
                (Happening::Progressed, Some(key)) => Event::Progressed(key),
                (Happening::Withdrawn, Some(key)) => Event::Withdrawn(key),
                _ if is_starting => {
                    open.push(attempts.begin());
                    is_starting = false;
                    continue;
                }
                _ => continue,
            };
            match event {
                Event::Unreached | Event::Refused => is_starting = false,
                Event::NotRun(key) | Event::Broken(key) | Event::Dropped(key) | Event::Failed(key) | Event::Withdrawn(key) => open.retain(|one| *one != key),
                Event::Silent(key) => silent.push(key),
                Event::Slow(_) => {}
                Event::Progressed(key) => {
                    open.retain(|one| *one == key || silent.contains(one));
                    silent.retain(|one| *one != key);
                    is_starting = false;
                }
            }
            let step = attempts.handle(event);
            let is_alive = !open.is_empty() || is_starting;
            unreached += u32::from(event == Event::Unreached);
            let was_refused = matches!(event, Event::NotRun(_));
            if attempts.runs() > runs_max {
                return false;
            }
            match step {
                Step::Retry if was_refused && attempts.sends() > runs_max => return false,
                Step::Retry if event == Event::Unreached && unreached >= 8 => return false,
                Step::Retry if is_starting || open.len() > 1 => return false,
                Step::Retry if attempts.runs() > 0 && !repeat.may_rerun() => return false,
                Step::Retry => is_starting = true,
                Step::Wait if !is_alive => return false,
                Step::Wait => {}
                Step::End if is_alive => return false,
                Step::End => return true,
            }
        }
        true
    }
}

#[test]
fn a_withdrawn_request_goes_to_another_server_only_if_it_may_run_twice() {
    let (mut attempts, key) = begun(RESUMABLE, 2);
    assert_eq!(attempts.handle(Event::Withdrawn(key)), Step::Retry);
    let second = attempts.begin();
    assert_eq!(attempts.handle(Event::Withdrawn(second)), Step::End);
    for repeat in [NOT_RESUMABLE, Repeat::Never] {
        let (mut attempts, key) = begun(repeat, 2);
        assert_eq!(attempts.handle(Event::Withdrawn(key)), Step::End);
        assert_eq!(attempts.runs(), 1, "it may have begun");
    }
}
