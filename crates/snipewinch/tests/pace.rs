//! Requests go where the next answer comes soonest, also beside slow servers.

use std::time::Duration;

use snipewinch::pace;
use snipewinch::pace::Estimate;
use snipewinch::pace::Load;
use snipewinch::pace::TOLD_AGE_MAX;

const USUAL: Duration = Duration::from_millis(30);
const SLOTS: u32 = 6;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn told(figure: &str) -> Estimate {
    let mut estimate = Estimate::default();
    let load = Load::parse(&format!("1,0,6,{figure}")).expect("it has two counts");
    estimate.record_told(ms(1_000), &load);
    estimate
}

#[test]
fn the_fourth_figure_is_a_percentage_of_the_usual_time() {
    let load = Load::parse("3, 1, 6, 250").expect("it has two counts");
    assert_eq!(load.pace, Some(2.5));
    assert_eq!((load.running, load.waiting), (3, 1));
}

#[test]
fn a_figure_that_makes_no_sense_says_nothing() {
    for figure in ["", "x", "-250", "0", "NaN", "inf", "-inf", "1e9", "2,50"] {
        let mut estimate = told("250");
        let load = Load::parse(&format!("1,0,6,{figure}")).expect("it has two counts");
        estimate.record_told(ms(1_100), &load);
        assert_eq!(load.pace, None, "{figure}");
        assert!(!told(figure).is_told(), "{figure}");
        assert!(
            estimate.factor(ms(1_000)) > 2.4,
            "{figure} replaced a sound figure"
        );
    }
    assert_eq!(Load::parse("1,0,6").and_then(|load| load.pace), None);
    assert_eq!(Load::parse("1"), None);
    assert_eq!(Load::parse("-1,0,6,100"), None);
}

#[test]
fn a_slow_server_does_not_get_the_next_request_beside_a_sound_one() {
    let slow = told("250").predict(ms(1_050), USUAL, 0, SLOTS);
    let remote_way = ms(20);
    let sound = Estimate::default().predict(ms(1_050), USUAL, 0, SLOTS) + remote_way;
    assert!(sound < slow, "{sound:?} {slow:?}");
}

#[test]
fn a_loaded_server_does_not_get_the_next_request_beside_a_free_one() {
    let loaded = told("100").predict(ms(1_050), USUAL, 9, SLOTS);
    let free = told("100").predict(ms(1_050), USUAL, 1, SLOTS) + ms(20);
    assert!(free < loaded, "{free:?} {loaded:?}");
}

#[test]
fn a_server_that_was_slow_is_used_again_once_that_is_old() {
    let estimate = told("250");
    let at = ms(1_000) + TOLD_AGE_MAX;
    assert_eq!(estimate.predict(at, USUAL, 0, SLOTS), USUAL);
    assert!(estimate.factor(ms(1_300)) < 2.0);
}

#[test]
fn a_server_that_answers_late_without_saying_so_yields_and_comes_back() {
    let mut estimate = Estimate::default();
    (0..4).for_each(|_| estimate.record_answer(ms(1_000), ms(240)));
    let late = estimate.predict(ms(1_100), USUAL, 0, SLOTS);
    assert!(late > ms(200), "{late:?}");
    assert_eq!(estimate.predict(ms(4_000), USUAL, 0, SLOTS), USUAL);
}

#[test]
fn noise_that_is_told_does_not_count_twice() {
    let mut estimate = told("250");
    estimate.record_answer(ms(1_000), USUAL.mul_f64(2.5));
    assert_eq!(estimate.answer_time(), Some(USUAL));
}

/// Servers of equal size, of which some are slow at times as they say, under a load for
/// which the sound ones have room.
#[test]
fn under_load_slow_servers_get_less_and_every_server_stays_in_use() {
    const SERVERS: usize = 3;
    let is_slow = |server: usize, at_ms: u64| (at_ms / 600 + server as u64 * 5).is_multiple_of(7);
    let mut estimates = [Estimate::default(); SERVERS];
    let mut busy_until: [Vec<u64>; SERVERS] = std::array::from_fn(|_| Vec::new());
    let (mut by_pace, mut by_load) = (0, 0);
    let mut used = [0; SERVERS];
    for at_ms in (0..60_000).step_by(15) {
        let now = ms(at_ms);
        busy_until
            .iter_mut()
            .for_each(|ends| ends.retain(|end| *end > at_ms));
        let ahead: Vec<u32> = busy_until.iter().map(|ends| ends.len() as u32).collect();
        let usual = pace::usual(estimates.into_iter());
        let best = (0..SERVERS)
            .min_by_key(|one| estimates[*one].predict(now, usual, ahead[*one], SLOTS))
            .expect("there are servers");
        let least = (0..SERVERS)
            .min_by_key(|one| (ahead[*one], *one))
            .expect("there are servers");
        used[best] += 1;
        by_pace += u32::from(is_slow(best, at_ms));
        by_load += u32::from(is_slow(least, at_ms));
        let factor = if is_slow(best, at_ms) { 2.5 } else { 1.0 };
        let took = USUAL.mul_f64(factor);
        busy_until[best].push(at_ms + took.as_millis() as u64);
        let figure = format!("{},0,6,{}", ahead[best], factor * 100.0);
        let load = Load::parse(&figure).expect("it has two counts");
        estimates[best].record_told(now, &load);
        estimates[best].record_answer(now, took);
    }
    assert!(by_pace * 2 < by_load, "{by_pace} against {by_load}");
    assert!(used.iter().all(|count| *count > 400), "{used:?}");
}
