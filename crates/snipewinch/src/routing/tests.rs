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

/// A table in the zone `r1-a` with links to `count` hosts of each given zone.
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

/// Starts `count` calls that do not end; returns the number of calls by host.
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

fn complete_call(table: &mut Table, now: Duration, host: &str, outcome: Outcome) {
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
    let leaving = view(membership::State::Leaving);
    let leaving_summary = Summary {
        leaving: true,
        ..Summary::default()
    };
    let live_summary = Summary::default();
    let summary = |summary| Event::Summary {
        host: &peer.host,
        summary,
    };
    let cases: [(&str, Vec<Event<'_>>); 6] = [
        ("announced", vec![summary(&leaving_summary)]),
        (
            "announced, then a report without it",
            vec![summary(&leaving_summary), summary(&live_summary)],
        ),
        (
            "announced, then a list that says live",
            vec![summary(&leaving_summary), Event::View(&live)],
        ),
        ("listed", vec![Event::View(&leaving)]),
        (
            "listed, then an older list",
            vec![Event::View(&leaving), Event::View(&live)],
        ),
        (
            "announced, then linked again",
            vec![
                summary(&leaving_summary),
                Event::Down { host: &peer.host },
                Event::Up { peer: &peer },
            ],
        ),
    ];
    for (case, events) in cases {
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
            "{case}: a later incarnation gets no calls"
        );
    }
}

#[test]
fn a_refusal_because_of_leaving_stops_new_calls() {
    let mut table = table(&[("r1-a", 2)]);
    complete_call(
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
fn refusals_say_what_is_missing() {
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
fn calls_spill_over_only_when_the_zone_is_full() {
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
fn at_most_half_of_a_zone_is_ejected() {
    for hosts in [1, 2, 3, 4, 9] {
        let mut table = table(&[("r1-a", hosts), ("r1-b", hosts)]);
        let mut now = SECOND;
        for _ in 0..200 {
            now += 100 * MS;
            for n in 0..hosts {
                complete_call(&mut table, now, &format!("r1-a-{n}"), failure());
            }
            let ejected = table.ejected(now);
            assert!(ejected * 2 <= hosts, "{ejected} of {hosts}");
            assert!(table.pick(now, &Request::new(SERVICE, 1)).is_ok());
        }
        assert!(table.counts().ejections_skipped > 0);
    }
}

#[test]
fn ejections_grow_and_decay() {
    let mut table = table(&[("r1-a", 4)]);
    let mut now = SECOND;
    let mut durations_s = Vec::new();
    for round in 0..7 {
        // Five failures cause the first ejection, one each further ejection.
        let failures = if round == 0 { 5 } else { 1 };
        (0..failures).for_each(|_| complete_call(&mut table, now, "r1-a-0", failure()));
        let from = now;
        while table.ejected(now) > 0 {
            now += 100 * MS;
        }
        durations_s.push((now - from).as_secs());
    }
    assert_eq!(durations_s, [3, 6, 12, 24, 48, 60, 60]);
    for _ in 0..200 {
        now += 100 * MS;
        complete_call(&mut table, now, "r1-a-0", Outcome::success(MS));
    }
    (0..4).for_each(|_| complete_call(&mut table, now, "r1-a-0", failure()));
    assert_eq!(
        table.ejected(now),
        0,
        "four failures eject a host whose ejection count has decayed"
    );
}

#[test]
fn only_a_host_far_slower_than_the_others_is_ejected() {
    for (slow, ejected) in [(50, 0), (150, 0), (400, 1)] {
        let mut table = table(&[("r1-a", 5)]);
        for n in 0..100 {
            let now = SECOND + n * 10 * MS;
            for host in 0..5 {
                let time = if host == 0 { slow } else { 50 + host };
                complete_call(
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
fn calls_with_a_prefix_share_a_host_within_the_load_bound() {
    let mut table = table(&[("r1-a", 8)]);
    let now = 60 * SECOND;
    (0..8).for_each(|n| report(&mut table, now, &format!("r1-a-{n}"), |_| {}));
    let prefix = [Digest::of(b"a hot prefix")];
    let request = |seed| Request {
        prefixes: &prefix,
        ..Request::new(SERVICE, seed)
    };
    let first_key = table.pick(now, &request(1)).unwrap();
    for seed in 0..50 {
        let key = table.pick(now, &request(seed)).unwrap();
        assert_eq!(
            key, first_key,
            "idle hosts, but the prefix changed its host"
        );
    }
    // All calls have the same prefix: no host gets far more than the average.
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
    for (case, events, uses_hint) in cases {
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
        let expected = if uses_hint { host.clone() } else { hashed };
        assert_eq!(table.host(key), Some(&expected), "{case}");
    }
}

/// After any sequence of events a picked host is linked, not leaving and not
/// yet tried, and the table counts the calls in flight correctly.
#[test]
fn every_pick_is_valid_under_random_events() {
    for seed in 0..60 {
        let mut rng = Rng::new(seed);
        let mut table = Table::new("r1-a".into(), "r1".into());
        let mut linked: HashMap<host::Name, u64> = HashMap::new();
        let mut newest_incarnations: HashMap<host::Name, u64> = HashMap::new();
        let mut leaving_incarnations: HashSet<(host::Name, u64)> = HashSet::new();
        let mut in_flight: Vec<Key> = Vec::new();
        let mut now = SECOND;
        for step in 0..600 {
            now += MS * rng.below(500) as u32;
            let zone = ["r1-a", "r1-b", "r2-a"][rng.below(3)];
            let name = format!("{zone}-{}", rng.below(3));
            let host = host::Name::from(name.as_str());
            match rng.below(8) {
                0 | 1 => {
                    let newest = newest_incarnations.entry(host.clone()).or_insert(1);
                    *newest += rng.below(2) as u64;
                    let incarnation = *newest;
                    table.handle(
                        now,
                        Event::Up {
                            peer: &identity(&name, zone, incarnation),
                        },
                    );
                    linked.insert(host, incarnation);
                }
                2 if rng.below(3) == 0 => {
                    table.handle(now, Event::Down { host: &host });
                    linked.remove(&host);
                }
                3 => {
                    let leaving = rng.below(5) == 0;
                    report(&mut table, now, &name, |summary| {
                        summary.leaving = leaving;
                        summary.running = 3;
                    });
                    if let (true, Some(&incarnation)) = (leaving, linked.get(&host)) {
                        leaving_incarnations.insert((host, incarnation));
                    }
                }
                4 if !in_flight.is_empty() => {
                    let key = in_flight.swap_remove(rng.below(in_flight.len()));
                    let status =
                        [Status::Success, Status::Failure, Status::Cancelled][rng.below(3)];
                    table.end(now, key, &Outcome::without_answer(status, MS));
                }
                _ => {
                    let tried: Vec<Key> = in_flight.iter().copied().take(rng.below(3)).collect();
                    let request = Request {
                        tried: &tried,
                        ..Request::new(SERVICE, rng.next())
                    };
                    let Ok(key) = table.pick(now, &request) else {
                        continue;
                    };
                    let host = table.host(key).unwrap().clone();
                    let case = format!("seed {seed}, step {step}: {host}");
                    let incarnation = linked.get(&host).copied();
                    assert!(incarnation.is_some(), "{case} is not linked");
                    assert!(
                        !leaving_incarnations.contains(&(host, incarnation.unwrap())),
                        "{case} is leaving"
                    );
                    assert!(!tried.contains(&key), "{case} was already tried");
                    table.start(now, key, &[]);
                    in_flight.push(key);
                }
            }
            let inflight_total: usize = table
                .hosts
                .values()
                .map(|state| state.inflight as usize)
                .sum();
            assert_eq!(inflight_total, in_flight.len(), "seed {seed}, step {step}");
        }
    }
}
