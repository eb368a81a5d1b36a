//! A listed host whose process left and was replaced by another process.

use std::time::Duration;

use snipewinch::host::Identity;
use snipewinch::host::Role;
use snipewinch::membership::Member;
use snipewinch::membership::State;
use snipewinch::membership::roster::Event;
use snipewinch::membership::roster::Roster;

fn identity(host: &str, incarnation: u64, port: u16) -> Identity {
    Identity {
        host: host.into(),
        incarnation,
        role: Role::Agent,
        zone: "z".into(),
        region: "r".into(),
        service: Some("s".into()),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn listed(port: u16) -> Member {
    let identity = identity("h", 0, port);
    Member {
        host: identity.host,
        role: identity.role,
        zone: identity.zone,
        region: identity.region,
        service: identity.service,
        address: identity.address,
        state: State::Live,
        incarnation: 0,
    }
}

fn list(as_of_ms: u64, port: u16) -> Event {
    Event::ListRead {
        as_of_ms,
        hosts: vec![listed(port)],
    }
}

fn seen(roster: &Roster, now: Duration) -> (State, u16) {
    let view = roster.view(now);
    let member = view.members.iter().find(|m| m.host.as_str() == "h");
    let member = member.expect("the host is listed");
    (member.state, member.address.port())
}

#[test]
fn a_host_listed_as_leaving_stays_so_when_a_link_to_it_comes_up() {
    let second = Duration::from_secs(1);
    let own = Identity {
        role: Role::Entry,
        ..identity("me", 1, 1)
    };
    let mut roster = Roster::new(own, 1);
    let leaving = Member {
        state: State::Leaving,
        ..listed(100)
    };
    let leaving = Event::ListRead {
        as_of_ms: 1,
        hosts: vec![leaving],
    };
    roster.handle(second, leaving);
    let up = Event::Up {
        link: 7,
        peer: identity("h", 7, 100),
        dialed: true,
    };
    roster.handle(second * 2, up);
    assert_eq!(seen(&roster, second * 2), (State::Leaving, 100));
    roster.handle(second * 3, list(2, 100));
    assert_eq!(seen(&roster, second * 3), (State::Live, 100));
}

#[test]
fn the_list_takes_precedence_once_a_process_that_left_is_silent() {
    let second = Duration::from_secs(1);
    let own = Identity {
        role: Role::Entry,
        ..identity("me", 1, 1)
    };
    let mut roster = Roster::new(own, 1);
    let up = |incarnation, port| Event::Up {
        link: incarnation,
        peer: identity("h", incarnation, port),
        dialed: true,
    };
    let down = Event::Down {
        link: 7,
        timed_out: false,
        closed_locally: false,
    };
    let leaving = Event::Announced {
        link: 7,
        leaving: true,
    };
    roster.handle(second, list(1, 100));
    roster.handle(second, up(7, 100));
    assert_eq!(seen(&roster, second), (State::Live, 100));
    roster.handle(second * 2, leaving);
    roster.handle(second * 3, down);
    roster.handle(second * 4, list(2, 200));
    assert_eq!(
        seen(&roster, second * 5),
        (State::Leaving, 100),
        "the announcement of the process still applies"
    );
    assert_eq!(
        seen(&roster, second * 30),
        (State::Suspect, 200),
        "the listed address is tried again"
    );
    roster.handle(second * 31, up(9, 200));
    assert_eq!(
        seen(&roster, second * 31),
        (State::Live, 200),
        "the new process is linked"
    );
}
