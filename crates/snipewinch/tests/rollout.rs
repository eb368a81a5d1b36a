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
