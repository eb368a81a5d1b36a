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
    let member = |place: usize| Member {
        host: host::Name::from(format!("verse-{place}").as_str()),
        role: Role::Agent,
        zone: host::Zone::from("zone"),
        region: host::Region::from("region"),
        service: Some("verse-engine".into()),
        address: ([127, 0, 0, 1], 1000 + place as u16).into(),
        state: State::Live,
        incarnation: 1,
    };
    View {
        members: (0..count).map(member).collect(),
    }
}

/// Rolls a version over in rounds, each host going as soon as it may; answers
/// the most that reloaded at once and the rounds it took.
fn roll(count: usize, percent: u8, absent: &[usize]) -> (usize, usize) {
    let view = view(count);
    let manifest = Digest::of(b"v2");
    let service = "verse-engine".into();
    let waited = Duration::from_secs(10);
    let name = |place: usize| view.members[place].host.clone();
    let gone: BTreeSet<_> = absent.iter().map(|place| name(*place)).collect();
    let mut confirmed: BTreeSet<host::Name> = BTreeSet::new();
    let mut most = 0;
    for round in 1..=count + 1 {
        let look = |one: &host::Name| match (gone.contains(one), confirmed.contains(one)) {
            (true, _) => Status::Absent,
            (false, true) => Status::Confirmed,
            (false, false) => Status::Pending,
        };
        let going: Vec<_> = (0..count)
            .map(name)
            .filter(|host| !gone.contains(host) && !confirmed.contains(host))
            .filter(|host| {
                let before = rollout::predecessors(&view, host, &service, &manifest, percent);
                let seen: Vec<Status> = before.iter().map(|one| look(&one.host)).collect();
                rollout::may_reload(&seen, waited)
            })
            .collect();
        most = most.max(going.len());
        confirmed.extend(going);
        if confirmed.len() + gone.len() == count {
            return (most, round);
        }
    }
    panic!("{} of {count} after all rounds", confirmed.len());
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
fn a_host_that_is_there_is_waited_for_and_one_that_is_gone_is_not() {
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
    for (seen, waited, expected) in cases {
        let may = rollout::may_reload(seen, *waited);
        assert_eq!(may, *expected, "{seen:?} after {waited:?}");
    }
}
