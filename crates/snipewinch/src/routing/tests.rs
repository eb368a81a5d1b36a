use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use super::*;
use crate::mix::Rng;
use crate::wire::Confirmed;
use crate::wire::Summary;

mod load;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
const SERVICE: &str = "scribe";

fn identity(name: &str, zone: &str, incarnation: u64) -> host::Identity {
    host::Identity {
        host: name.into(),
        incarnation,
        role: host::Role::Agent,
        zone: zone.into(),
        region: host::Region(zone.split('-').next().unwrap_or_default().into()),
        service: Some(SERVICE.into()),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
    }
}

fn member(identity: &host::Identity, state: membership::State) -> membership::Member {
    membership::Member {
        host: identity.host.clone(),
        role: identity.role,
        zone: identity.zone.clone(),
        region: identity.region.clone(),
        service: identity.service.clone(),
        address: identity.address,
        state,
        incarnation: identity.incarnation,
    }
}

/// A table in the zone `r1-a` with links to hosts of the zones given.
fn table(zones: &[(&str, usize)]) -> Table {
    let mut table = Table::new("r1-a".into(), "r1".into());
    for (zone, count) in zones {
        for n in 0..*count {
            let peer = identity(&format!("{zone}-{n}"), zone, 1);
            table.handle(Duration::ZERO, Event::Up { peer: &peer });
        }
    }
    table
}

fn report(table: &mut Table, now: Duration, host: &str, change: impl FnOnce(&mut Summary)) {
    let mut summary = Summary {
        capacity: 10,
        ..Summary::default()
    };
    change(&mut summary);
    let host = host.into();
    let event = Event::Summary {
        host: &host,
        summary: &summary,
    };
    table.handle(now, event);
}

/// Sends `count` calls that don't end; answers how many each host got.
fn send(table: &mut Table, now: Duration, count: u64) -> HashMap<String, u64> {
    let mut sent = HashMap::new();
    for seed in 0..count {
        let Ok(key) = table.pick(now, &Request::new(SERVICE, seed)) else {
            continue;
        };
        table.start(now, key, &[]);
        let host = table.host(key).unwrap().to_string();
        *sent.entry(host).or_default() += 1;
    }
    sent
}

fn run(table: &mut Table, now: Duration, host: &str, outcome: Outcome) {
    let key = table.key(&host.into()).unwrap();
    table.start(now, key, &[]);
    table.end(now, key, &outcome);
}

fn failure() -> Outcome {
    Outcome::without_answer(Status::Failure, MS)
}

#[test]
fn a_leaving_host_gets_no_new_call() {
    let peer = identity("r1-a-0", "r1-a", 1);
    let view = |state| membership::View {
        members: vec![
            member(&peer, state),
            member(&identity("r1-a-1", "r1-a", 1), membership::State::Live),
        ],
    };
    let live = view(membership::State::Live);
    let left = view(membership::State::Leaving);
    let announced = Summary {
        leaving: true,
        ..Summary::default()
    };
    let again = Summary::default();
    let summary = |summary| Event::Summary {
        host: &peer.host,
        summary,
    };
    let table_of_cases: [(&str, Vec<Event<'_>>); 6] = [
        ("announced", vec![summary(&announced)]),
        (
            "announced, then unsaid",
            vec![summary(&announced), summary(&again)],
        ),
        (
            "announced before the list knows",
            vec![summary(&announced), Event::View(&live)],
        ),
        ("listed", vec![Event::View(&left)]),
        (
            "listed, and the list goes back",
            vec![Event::View(&left), Event::View(&live)],
        ),
        (
            "announced, then linked anew",
            vec![
                summary(&announced),
                Event::Down { host: &peer.host },
                Event::Up { peer: &peer },
            ],
        ),
    ];
    for (case, events) in table_of_cases {
        let mut table = table(&[("r1-a", 2)]);
        table.handle(SECOND, Event::View(&live));
        for event in events {
            table.handle(SECOND, event);
        }
        let sent = send(&mut table, 2 * SECOND, 20);
        assert_eq!(sent.get("r1-a-0"), None, "{case}");
        assert_eq!(sent.get("r1-a-1"), Some(&20), "{case}");
        let next = identity("r1-a-0", "r1-a", 2);
        table.handle(SECOND, Event::View(&live));
        table.handle(3 * SECOND, Event::Up { peer: &next });
        let sent = send(&mut table, 30 * SECOND, 20);
        assert!(
            sent.contains_key("r1-a-0"),
            "{case}: a later process takes calls"
        );
    }
}

#[test]
fn a_refusal_that_says_leaving_is_enough() {
    let mut table = table(&[("r1-a", 2)]);
    run(
        &mut table,
        SECOND,
        "r1-a-0",
        Outcome::without_answer(Status::Leaving, MS),
    );
    assert_eq!(send(&mut table, SECOND, 10).get("r1-a-0"), None);
    let leaving = Notice::Leaving {
        host: "r1-a-0".into(),
    };
    assert_eq!(table.take_notices(), [leaving]);
}

#[test]
fn reasons_tell_what_is_missing() {
    let need = Need {
        model: "verse",
        version: Some("2"),
    };
    let needs = [need];
    let any = [Need {
        version: None,
        ..need
    }];
    let mut table = table(&[("r1-a", 1)]);
    let confirmed = Confirmed {
        model: "verse".into(),
        version: "1".into(),
    };
    report(&mut table, SECOND, "r1-a-0", |summary| {
        summary.confirmed.push(confirmed)
    });
    let key = table.key(&"r1-a-0".into()).unwrap();
    let tried = [key];
    let request = Request::new(SERVICE, 1);
    let cases = [
        (Request::new("nobody", 1), Err(Reason::NoHost)),
        (
            Request {
                needs: &needs,
                ..request
            },
            Err(Reason::NotLoaded),
        ),
        (
            Request {
                needs: &any,
                ..request
            },
            Ok(key),
        ),
        (
            Request {
                tried: &tried,
                ..request
            },
            Err(Reason::AllTried),
        ),
        (request, Ok(key)),
    ];
    for (request, expected) in cases {
        let picked = table.pick(20 * SECOND, &request);
        if let Err(refusal) = &picked {
            assert!(refusal.retry_after >= SECOND, "{refusal}");
        }
        assert_eq!(picked.map_err(|refusal| refusal.reason), expected);
    }
    let view = membership::View {
        members: vec![member(
            &identity("r1-a-0", "r1-a", 1),
            membership::State::Live,
        )],
    };
    table.handle(SECOND, Event::View(&view));
    table.handle(
        SECOND,
        Event::Down {
            host: &"r1-a-0".into(),
        },
    );
    let refusal = table.pick(SECOND, &request).unwrap_err();
    assert_eq!(refusal.reason, Reason::Unreachable);
}

#[test]
fn calls_spill_over_only_when_the_zone_is_short() {
    let zones = [("r1-a", 2), ("r1-b", 2), ("r2-a", 2)];
    let in_zone = |sent: &HashMap<String, u64>, zone: &str| -> u64 {
        let hosts = sent.iter().filter(|(host, _)| host.starts_with(zone));
        hosts.map(|(_, count)| count).sum()
    };
    let mut table = table(&zones);
    let now = 60 * SECOND;
    for (zone, count) in zones {
        (0..count).for_each(|n| report(&mut table, now, &format!("{zone}-{n}"), |_| {}));
    }
    let sent = send(&mut table, now, 14);
    assert_eq!(in_zone(&sent, "r1-a"), 14, "room in the zone: {sent:?}");
    let sent = send(&mut table, now, 36);
    assert!(in_zone(&sent, "r1-b") >= 12, "the region next: {sent:?}");
    assert!(in_zone(&sent, "r2-a") >= 4, "then the rest: {sent:?}");
    assert!(in_zone(&sent, "r1-b") > in_zone(&sent, "r2-a"), "{sent:?}");
}

#[test]
fn a_whole_zone_is_never_ejected() {
    for hosts in [1, 2, 3, 4, 9] {
        let mut table = table(&[("r1-a", hosts), ("r1-b", hosts)]);
        let mut now = SECOND;
        for _ in 0..200 {
            now += 100 * MS;
            for n in 0..hosts {
                run(&mut table, now, &format!("r1-a-{n}"), failure());
            }
            let ejected = table.ejected(now);
            assert!(ejected * 2 <= hosts, "{ejected} of {hosts}");
            assert!(table.pick(now, &Request::new(SERVICE, 1)).is_ok());
        }
        assert!(table.counts().ejections_skipped > 0);
    }
}

#[test]
fn ejections_grow_and_are_forgiven() {
    let mut table = table(&[("r1-a", 4)]);
    let mut now = SECOND;
    let mut lasted = Vec::new();
    for round in 0..7 {
        // Five failures the first time, one after each return.
        let failures = if round == 0 { 5 } else { 1 };
        (0..failures).for_each(|_| run(&mut table, now, "r1-a-0", failure()));
        let from = now;
        while table.ejected(now) > 0 {
            now += 100 * MS;
        }
        lasted.push((now - from).as_secs());
    }
    assert_eq!(lasted, [3, 6, 12, 24, 48, 60, 60]);
    for _ in 0..200 {
        now += 100 * MS;
        run(&mut table, now, "r1-a-0", Outcome::success(MS));
    }
    (0..4).for_each(|_| run(&mut table, now, "r1-a-0", failure()));
    assert_eq!(
        table.ejected(now),
        0,
        "forgiven: four failures are not enough"
    );
}

#[test]
fn a_slow_host_is_ejected_and_equal_ones_are_not() {
    for (slow, ejected) in [(50, 0), (150, 0), (400, 1)] {
        let mut table = table(&[("r1-a", 5)]);
        for n in 0..100 {
            let now = SECOND + n * 10 * MS;
            for host in 0..5 {
                let time = if host == 0 { slow } else { 50 + host };
                run(
                    &mut table,
                    now,
                    &format!("r1-a-{host}"),
                    Outcome::success(time * MS),
                );
            }
        }
        assert_eq!(table.ejected(2 * SECOND), ejected, "{slow} ms");
    }
}

#[test]
fn prefixes_stay_together_but_not_beyond_the_bound() {
    let mut table = table(&[("r1-a", 8)]);
    let now = 60 * SECOND;
    (0..8).for_each(|n| report(&mut table, now, &format!("r1-a-{n}"), |_| {}));
    let prefix = [Digest::of(b"a hot prefix")];
    let request = |seed| Request {
        prefixes: &prefix,
        ..Request::new(SERVICE, seed)
    };
    let home = table.pick(now, &request(1)).unwrap();
    for seed in 0..50 {
        let key = table.pick(now, &request(seed)).unwrap();
        assert_eq!(key, home, "idle hosts: the prefix stays");
    }
    // Calls of one prefix only: no host gets far more than the average.
    for seed in 0..40 {
        let key = table.pick(now, &request(seed)).unwrap();
        table.start(now, key, &prefix);
    }
    let calls: Vec<u32> = (0..8)
        .map(|n| table.inflight(table.key(&host::Name(format!("r1-a-{n}").into())).unwrap()))
        .collect();
    assert!(calls.iter().all(|&calls| calls <= 8), "{calls:?}");
}

#[test]
fn cache_events_are_hints() {
    let (host, prefix) = (host::Name::from("r1-a-3"), Digest::of(b"prefix"));
    let (stored, removed) = (
        Event::Stored {
            host: &host,
            prefix,
        },
        Event::Removed {
            host: &host,
            prefix,
        },
    );
    let gap = Event::Gap { host: &host };
    let cases: [(&str, &[Event<'_>], bool); 4] = [
        ("stored", &[stored], true),
        ("stored, removed", &[stored, removed], false),
        ("stored, then a gap", &[stored, gap], false),
        ("a gap, then stored", &[gap, stored], true),
    ];
    for (case, events, followed) in cases {
        let mut table = table(&[("r1-a", 8)]);
        let now = 60 * SECOND;
        events.iter().for_each(|&event| table.handle(now, event));
        let prefixes = [Digest::of(b"longer"), prefix, Digest::of(b"short")];
        let request = Request {
            prefixes: &prefixes,
            ..Request::new(SERVICE, 1)
        };
        let key = table.pick(now, &request).unwrap();
        let hashed = {
            let mut fresh = self::table(&[("r1-a", 8)]);
            let key = fresh.pick(now, &request).unwrap();
            fresh.host(key).unwrap().clone()
        };
        let expected = if followed { host.clone() } else { hashed };
        assert_eq!(table.host(key), Some(&expected), "{case}");
    }
}

/// Any order of events: what is picked is linked, not leaving, not tried and
/// has what is needed, and calls in flight are counted right.
#[test]
fn whatever_happens_a_pick_is_sound() {
    for seed in 0..60 {
        let mut draw = Rng::new(seed);
        let mut table = Table::new("r1-a".into(), "r1".into());
        let mut linked: HashMap<host::Name, u64> = HashMap::new();
        let mut newest: HashMap<host::Name, u64> = HashMap::new();
        let mut left: HashSet<(host::Name, u64)> = HashSet::new();
        let mut flying: Vec<Key> = Vec::new();
        let mut now = SECOND;
        for step in 0..600 {
            now += MS * draw.below(500) as u32;
            let zone = ["r1-a", "r1-b", "r2-a"][draw.below(3)];
            let name = format!("{zone}-{}", draw.below(3));
            let host = host::Name::from(name.as_str());
            match draw.below(8) {
                0 | 1 => {
                    let newest = newest.entry(host.clone()).or_insert(1);
                    *newest += draw.below(2) as u64;
                    let incarnation = *newest;
                    table.handle(
                        now,
                        Event::Up {
                            peer: &identity(&name, zone, incarnation),
                        },
                    );
                    linked.insert(host, incarnation);
                }
                2 if draw.below(3) == 0 => {
                    table.handle(now, Event::Down { host: &host });
                    linked.remove(&host);
                }
                3 => {
                    let leaving = draw.below(5) == 0;
                    report(&mut table, now, &name, |summary| {
                        summary.leaving = leaving;
                        summary.running = 3;
                    });
                    if let (true, Some(&incarnation)) = (leaving, linked.get(&host)) {
                        left.insert((host, incarnation));
                    }
                }
                4 if !flying.is_empty() => {
                    let key = flying.swap_remove(draw.below(flying.len()));
                    let status =
                        [Status::Success, Status::Failure, Status::Cancelled][draw.below(3)];
                    table.end(now, key, &Outcome::without_answer(status, MS));
                }
                _ => {
                    let tried: Vec<Key> = flying.iter().copied().take(draw.below(3)).collect();
                    let request = Request {
                        tried: &tried,
                        ..Request::new(SERVICE, draw.next())
                    };
                    let Ok(key) = table.pick(now, &request) else {
                        continue;
                    };
                    let host = table.host(key).unwrap().clone();
                    let case = format!("seed {seed}, step {step}: {host}");
                    let incarnation = linked.get(&host).copied();
                    assert!(incarnation.is_some(), "{case} is not linked");
                    assert!(
                        !left.contains(&(host, incarnation.unwrap())),
                        "{case} has left"
                    );
                    assert!(!tried.contains(&key), "{case} was tried");
                    table.start(now, key, &[]);
                    flying.push(key);
                }
            }
            let counted: usize = table
                .hosts
                .values()
                .map(|state| state.inflight as usize)
                .sum();
            assert_eq!(counted, flying.len(), "seed {seed}, step {step}");
        }
    }
}
