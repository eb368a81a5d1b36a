//! How many backend servers reload at once, and in which order.

use std::collections::BTreeSet;
use std::time::Duration;

use snipewinch::Digest;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::membership::Member;
use snipewinch::membership::State;
use snipewinch::membership::View;
use snipewinch::weights::rollout;
use snipewinch::weights::rollout::Progress;
use snipewinch::weights::rollout::Status;

fn view(count: usize) -> View {
    let member = |index: usize| Member {
        host: host::Name::from(format!("verse-{index}").as_str()),
        role: Role::Agent,
        zone: host::Zone::from("zone"),
        region: host::Region::from("region"),
        service: Some("verse-engine".into()),
        address: ([127, 0, 0, 1], 1000 + index as u16).into(),
        state: State::Live,
        incarnation: 1,
    };
    View {
        members: (0..count).map(member).collect(),
    }
}

/// Rolls out a version in rounds in which every host reloads that may. Returns
/// the most hosts that reloaded in one round, and the number of rounds.
fn roll(count: usize, percent: u8, absent: &[usize]) -> (usize, usize) {
    let view = view(count);
    let manifest = Digest::of(b"v2");
    let service = "verse-engine".into();
    let waited = Duration::from_secs(10);
    let name = |index: usize| view.members[index].host.clone();
    let absent: BTreeSet<_> = absent.iter().map(|index| name(*index)).collect();
    let mut confirmed: BTreeSet<host::Name> = BTreeSet::new();
    let mut most = 0;
    for round in 1..=count + 1 {
        let status = |one: &host::Name| match (absent.contains(one), confirmed.contains(one)) {
            (true, _) => Status::Absent,
            (false, true) => Status::Confirmed,
            (false, false) => Status::Pending,
        };
        let reloading: Vec<_> = (0..count)
            .map(name)
            .filter(|host| !absent.contains(host) && !confirmed.contains(host))
            .filter(|host| {
                let predecessors = rollout::predecessors(&view, host, &service, &manifest, percent);
                let statuses: Vec<Status> =
                    predecessors.iter().map(|one| status(&one.host)).collect();
                rollout::may_reload(&statuses, waited)
            })
            .collect();
        most = most.max(reloading.len());
        confirmed.extend(reloading);
        if confirmed.len() + absent.len() == count {
            return (most, round);
        }
    }
    panic!(
        "only {} of {count} reloaded after all rounds",
        confirmed.len()
    );
}

#[test]
fn no_more_reload_at_once_than_the_width() {
    let cases: &[(usize, u8, &[usize])] = &[
        (1, 25, &[]),
        (3, 25, &[]),
        (12, 25, &[]),
        (12, 100, &[]),
        (12, 0, &[]),
        (100, 25, &[]),
        (100, 10, &[3, 50, 51, 52, 99]),
    ];
    for (count, percent, absent) in cases {
        let (most, rounds) = roll(*count, *percent, absent);
        let width = rollout::width(*count, *percent);
        assert!(most <= width, "{count} at {percent}%: {most} at once");
        let least = count.div_ceil(width);
        assert!(rounds <= least, "{count} at {percent}%: {rounds} rounds");
    }
}

#[test]
fn a_pending_predecessor_delays_a_reload_and_an_absent_one_does_not() {
    use Status::Absent;
    use Status::Confirmed;
    use Status::Pending;
    let short = Duration::from_millis(100);
    let long = rollout::ABSENT_TIMEOUT;
    let cases: &[(&[Status], Duration, bool)] = &[
        (&[], short, true),
        (&[Confirmed, Pending], short, true),
        (&[Pending, Confirmed], long, false),
        (&[Pending], rollout::CONFIRM_TIMEOUT, true),
        (&[Absent], short, false),
        (&[Absent], long, true),
        (&[Absent, Pending], long, false),
        (&[Absent, Confirmed], long, true),
    ];
    for (statuses, waited, expected) in cases {
        let may = rollout::may_reload(statuses, *waited);
        assert_eq!(may, *expected, "{statuses:?} after {waited:?}");
    }
}

const BOUND: Duration = Duration::from_millis(6_700);

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// How long a host with this progress may still wait for its turn if it is the
/// last of the service.
fn wait(published: Option<f64>, complete: f64, uptime: f64) -> Duration {
    let progress = Progress {
        published: published.map(seconds),
        complete: seconds(complete),
        uptime: seconds(uptime),
    };
    progress.window(BOUND).saturating_sub(progress.complete)
}

#[test]
fn the_last_reload_starts_at_the_bound_whenever_the_chunks_arrive() {
    for (published, complete) in [(3.0, 0.0), (4.5, 1.5), (6.0, 0.0)] {
        let wait = wait(Some(published), complete, 100.0);
        assert_eq!(wait, BOUND - seconds(published));
    }
    assert_eq!(wait(Some(9.0), 0.0, 100.0), Duration::ZERO, "arrived late");
}

/// Guards against a restarted agent that keeps its engine on old weights for
/// another whole window.
#[test]
fn a_host_that_returned_reloads_within_a_second() {
    for (published, uptime) in [(None, 0.3), (None, 4.0), (Some(3.0), 0.5), (Some(0.5), 0.5)] {
        let wait = wait(published, 0.0, uptime);
        assert!(
            wait <= Duration::from_secs(1),
            "published {published:?} s ago, up for {uptime} s: {wait:?}"
        );
    }
    assert_eq!(wait(Some(6.5), 0.0, 0.5), seconds(0.2), "less time is left");
}

/// Guards against an engine that skips a version and waits for its turn by the
/// newest one, while requests may no longer begin on what it holds: it was
/// published 2 s before the newest one.
#[test]
fn turns_end_before_the_weights_that_engines_hold_run_out() {
    for (newest_age, complete) in [(3.0, 0.0), (4.5, 1.5), (5.0, 0.5), (7.0, 0.0)] {
        let progress = Progress {
            published: Some(seconds(newest_age)),
            complete: seconds(complete),
            uptime: seconds(100.0),
        };
        let left = BOUND.saturating_sub(seconds(newest_age + 2.0));
        let wait = progress
            .window_within(BOUND, left)
            .saturating_sub(progress.complete);
        assert_eq!(wait, left, "{progress:?}");
        assert!(progress.window(BOUND).saturating_sub(progress.complete) > left || left.is_zero());
    }
}

/// Guards against an engine whose host was suspended and that waits for its
/// turn as if no time had passed.
#[test]
fn a_turn_that_was_missed_is_taken_at_once() {
    let view = view(10);
    let manifest = Digest::of(b"v2");
    for suspended in [0.0, 4.0, 30.0] {
        let progress = Progress {
            published: Some(seconds(3.5 + suspended)),
            complete: seconds(0.5 + suspended),
            uptime: seconds(100.0),
        };
        let window = progress.window(BOUND);
        assert_eq!(window, BOUND - seconds(3.0));
        let waits = view.members.iter().filter(|one| {
            let service = "verse-engine".into();
            let delay = rollout::reload_delay(&view, &one.host, &service, &manifest, window);
            delay > progress.complete
        });
        let expected = if suspended == 0.0 { 8 } else { 0 };
        assert_eq!(waits.count(), expected, "suspended for {suspended} s");
    }
}
