//! Which keys are blocked because servers end under work that has them.

use std::time::Duration;

use snipewinch::quarantine;
use snipewinch::quarantine::End;
use snipewinch::quarantine::Evidence;
use snipewinch::quarantine::Key;
use snipewinch::quarantine::Ledger;
use snipewinch::quarantine::Server;
use snipewinch::quarantine::Verdict;

mod outbreak;

use outbreak::Outbreak;
use outbreak::Outcome;
use outbreak::Remedy;
use outbreak::Setup;
use outbreak::Store;
use outbreak::Work;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(id: &str) -> Key {
    Key::of("service", id)
}

/// Ends servers one after the other, `gap` apart, under work with `keys`.
fn end_servers(ledger: &mut Ledger, from: Duration, gap: Duration, count: u32, keys: &[Key]) {
    for number in 0..count {
        let now = from + gap * number;
        let server = Server::of(&format!("server-{number}"), None);
        ledger.record_end(now, ms(0), server, keys);
        ledger.settle(now + ms(15));
    }
}

#[test]
fn a_key_under_which_three_servers_ended_is_blocked() {
    let mut ledger = Ledger::open(1);
    let keys = [key("bad")];
    for (count, expected) in [
        (0, Verdict::Clear),
        (1, Verdict::Clear),
        (2, Verdict::Suspect(keys[0])),
        (3, Verdict::Blocked(keys[0])),
    ] {
        end_servers(&mut ledger, ms(100), ms(200), count, &keys);
        assert_eq!(ledger.verdict(ms(1_000), &keys), expected, "{count} ends");
    }
    assert_eq!(ledger.verdict(ms(1_000), &[key("other")]), Verdict::Clear);
    assert_eq!(ledger.blocked(ms(1_000))[0].ends, 3);
}

#[test]
fn a_shared_key_is_cleared_by_work_that_came_through_before_or_after() {
    let (shared, bad) = (key("shared"), key("bad"));
    for progress_at in [ms(50), ms(900)] {
        let mut ledger = Ledger::open(1);
        if progress_at < ms(100) {
            ledger.record_progress(progress_at, &[shared]);
        }
        end_servers(&mut ledger, ms(100), ms(200), 4, &[shared, bad]);
        ledger.record_progress(progress_at.max(ms(900)), &[shared]);
        assert_eq!(ledger.verdict(ms(1_000), &[shared]), Verdict::Clear);
        assert_eq!(
            ledger.verdict(ms(1_000), &[shared, bad]),
            Verdict::Blocked(bad)
        );
    }
}

#[test]
fn ends_before_a_key_came_through_do_not_block_it_after_a_quiet_minute() {
    let shared = [key("shared")];
    let mut ledger = Ledger::open(1);
    end_servers(&mut ledger, ms(100), ms(200), 3, &shared);
    ledger.record_progress(ms(900), &shared);
    let quiet = Duration::from_secs(62);
    ledger.settle(quiet);
    assert_eq!(ledger.verdict(quiet, &shared), Verdict::Clear);
    ledger.record_end(quiet, ms(0), Server::of("another", None), &shared);
    ledger.settle(quiet + ms(15));
    assert_eq!(ledger.verdict(quiet + ms(15), &shared), Verdict::Clear);
}

#[test]
fn ends_elsewhere_while_a_key_comes_through_do_not_block_it_after_a_quiet_minute() {
    let shared = [key("shared")];
    let (mut first, mut second) = (Ledger::open(1), Ledger::open(2));
    second.record_progress(ms(50), &shared);
    end_servers(&mut first, ms(100), ms(200), 3, &shared);
    second.merge(ms(900), "first", first.take_evidence().expect("news"));
    first.merge(ms(950), "second", second.take_evidence().expect("news"));
    let quiet = Duration::from_secs(62);
    for ledger in [&mut first, &mut second] {
        ledger.settle(quiet);
        assert_eq!(ledger.verdict(quiet, &shared), Verdict::Clear);
    }
}

#[test]
fn an_entry_that_knows_better_clears_a_key_for_all() {
    let (mut first, mut second) = (Ledger::open(1), Ledger::open(2));
    let shared = key("shared");
    second.record_progress(ms(10), &[shared]);
    end_servers(&mut first, ms(100), ms(200), 3, &[shared]);
    assert_eq!(
        first.verdict(ms(1_000), &[shared]),
        Verdict::Blocked(shared)
    );
    second.merge(ms(1_000), "first", first.take_evidence().expect("news"));
    assert_eq!(second.verdict(ms(1_000), &[shared]), Verdict::Clear);
    first.merge(ms(1_100), "second", second.take_evidence().expect("news"));
    assert_eq!(first.verdict(ms(1_100), &[shared]), Verdict::Clear);
}

#[test]
fn a_key_that_is_cleared_before_an_end_is_settled_is_not_held_against_it_elsewhere() {
    let (shared, bad) = (key("shared"), key("bad"));
    let mut second = Ledger::open(9);
    for number in 0..3_u32 {
        let mut first = Ledger::open(number.into());
        let now = ms(100) + ms(200) * number;
        let server = Server::of(&format!("server-{number}"), None);
        first.record_end(now, ms(0), server, &[shared, bad]);
        first.record_progress(now + ms(5), &[shared]);
        first.settle(now + ms(15));
        let evidence = first.take_evidence().expect("news");
        second.merge(now + ms(20), &format!("entry-{number}"), evidence);
    }
    assert_eq!(second.verdict(ms(1_000), &[shared]), Verdict::Clear);
    assert_eq!(second.verdict(ms(1_000), &[bad]), Verdict::Blocked(bad));
}

#[test]
fn a_late_report_of_an_end_reaches_the_others_with_its_keys() {
    let (first_key, bad) = (key("first"), key("bad"));
    let (mut first, mut second) = (Ledger::open(1), Ledger::open(2));
    for number in 0..3_u32 {
        let now = ms(100) + ms(200) * number;
        let server = Server::of(&format!("server-{number}"), None);
        for (delay, key) in [(ms(0), first_key), (ms(20), bad)] {
            first.record_end(now + delay, ms(0), server, &[key]);
            first.settle(now + delay + ms(15));
        }
    }
    let evidence = first.take_evidence().expect("news");
    for end in &evidence.ends {
        assert!(end.keys.contains(&first_key) && end.keys.contains(&bad));
    }
    second.merge(ms(900), "first", evidence);
    let both = [bad, first_key];
    assert_eq!(second.verdict(ms(1_000), &both), Verdict::Blocked(bad));
}

#[test]
fn a_key_that_only_came_with_a_bad_one_is_not_blocked_without_it() {
    let (shared, bad, other) = (key("shared"), key("bad"), key("other"));
    let mut ledger = Ledger::open(1);
    end_servers(&mut ledger, ms(100), ms(200), 3, &[shared, bad]);
    let now = ms(1_000);
    assert_eq!(ledger.verdict(now, &[shared]), Verdict::Clear);
    assert_ne!(ledger.verdict(now, &[shared, bad]), Verdict::Clear);
    ledger.record_end(now, ms(0), Server::of("another", None), &[other, bad]);
    ledger.settle(now + ms(15));
    let now = ms(1_100);
    assert_eq!(ledger.verdict(now, &[shared]), Verdict::Clear);
    assert_eq!(ledger.verdict(now, &[other, bad]), Verdict::Blocked(bad));
    assert_eq!(ledger.blocked(now).len(), 1);
    for (server, at, verdict) in [
        ("fifth", 1_200, Verdict::Clear),
        ("sixth", 1_400, Verdict::Blocked(shared)),
    ] {
        ledger.record_end(ms(at), ms(0), Server::of(server, None), &[shared]);
        ledger.settle(ms(at + 15));
        assert_eq!(ledger.verdict(ms(at + 20), &[shared]), verdict);
    }
}

#[test]
fn one_end_counts_once_whoever_reports_it_and_however_often() {
    let mut ledger = Ledger::open(1);
    let bad = key("bad");
    let evidence = Evidence {
        ends: vec![End {
            server: Server::of("server-0", None),
            keys: vec![bad],
            renewals: 0,
        }],
        cleared: vec![],
    };
    for publisher in ["a", "b", "c", "a"] {
        ledger.merge(ms(100), publisher, evidence.clone());
    }
    end_servers(&mut ledger, ms(200), ms(200), 1, &[bad]);
    assert_eq!(ledger.verdict(ms(1_000), &[bad]), Verdict::Clear);
}

#[test]
fn servers_that_end_at_the_same_moment_block_no_key() {
    let mut ledger = Ledger::open(1);
    let new = key("new");
    for number in 0..8_u32 {
        let server = Server::of(&format!("server-{number}"), None);
        ledger.record_end(ms(100) + ms(4) * number, ms(0), server, &[new]);
        ledger.settle(ms(101) + ms(4) * number);
    }
    ledger.settle(ms(500));
    assert_eq!(ledger.verdict(ms(1_000), &[new]), Verdict::Clear);
}

#[test]
fn a_request_that_ends_two_servers_at_once_one_after_the_other_is_known() {
    let keys = request_keys(b"bad");
    let mut ledger = Ledger::open(1);
    for copy in 0..2_u32 {
        let sent = ms(100) + ms(200) * copy;
        for attempt in 0..2_u32 {
            let sent = sent + ms(2) * attempt;
            let server = Server::of(&format!("server-{copy}-{attempt}"), None);
            ledger.record_end(sent + ms(1), sent, server, &keys);
        }
        ledger.settle(sent + ms(30));
    }
    assert!(matches!(
        ledger.verdict(ms(1_000), &keys),
        Verdict::Blocked(_)
    ));
}

#[test]
fn a_restarted_entry_knows_what_it_published() {
    let mut ledger = Ledger::open(1);
    let bad = key("bad");
    end_servers(&mut ledger, ms(100), ms(200), 3, &[bad]);
    let evidence = ledger.take_evidence().expect("news");
    let text = serde_json::to_string(&evidence).expect("it is serializable");
    let read: Evidence = serde_json::from_str(&text).expect("it is valid");
    let mut restarted = Ledger::open(2);
    restarted.restore(ms(5), read);
    assert_eq!(restarted.verdict(ms(10), &[bad]), Verdict::Blocked(bad));
}

#[test]
fn evidence_that_the_store_lost_is_published_again() {
    let mut ledger = Ledger::open(1);
    end_servers(&mut ledger, ms(100), ms(200), 3, &[key("bad")]);
    let evidence = ledger.take_evidence().expect("news");
    assert_eq!(ledger.take_evidence(), None);
    ledger.republish(Some(&evidence));
    assert_eq!(ledger.take_evidence(), None);
    ledger.republish(None);
    assert_eq!(ledger.take_evidence(), Some(evidence));
}

#[test]
fn a_blocked_key_is_tried_again_and_one_end_blocks_it_again() {
    let mut ledger = Ledger::open(1);
    let bad = [key("bad")];
    end_servers(&mut ledger, ms(100), ms(200), 3, &bad);
    let later = Duration::from_secs(21 * 60);
    ledger.settle(Duration::from_secs(9 * 60));
    assert_eq!(
        ledger.verdict(Duration::from_secs(9 * 60), &bad),
        Verdict::Blocked(bad[0])
    );
    ledger.settle(later);
    assert_eq!(ledger.verdict(later, &bad), Verdict::Clear);
    ledger.record_end(later, ms(0), Server::of("another", None), &bad);
    ledger.settle(later + ms(20));
    assert_eq!(
        ledger.verdict(later + ms(20), &bad),
        Verdict::Blocked(bad[0])
    );
}

#[test]
fn a_request_that_has_ended_two_servers_is_tried_once_after_a_while() {
    let keys = request_keys(b"");
    let mut ledger = Ledger::open(1);
    end_servers(&mut ledger, ms(100), ms(200), 2, &keys);
    assert!(matches!(
        ledger.verdict(ms(29_000), &keys),
        Verdict::Blocked(_)
    ));
    let trial = ms(61_000);
    assert!(matches!(ledger.verdict(trial, &keys), Verdict::Suspect(_)));
    let mut other = ledger.clone();
    ledger.record_end(trial, ms(0), Server::of("another", None), &keys);
    ledger.settle(trial + ms(15));
    let later = Duration::from_secs(600);
    assert!(matches!(ledger.verdict(later, &keys), Verdict::Blocked(_)));
    other.record_progress(trial, &keys);
    assert_eq!(other.verdict(trial + ms(1), &keys), Verdict::Clear);
}

#[test]
fn a_blocked_request_is_not_tried_again_while_it_comes() {
    let keys = request_keys(b"");
    let (mut first, mut second) = (Ledger::open(1), Ledger::open(2));
    end_servers(&mut first, ms(100), ms(200), 3, &keys);
    second.merge(ms(900), "first", first.take_evidence().expect("news"));
    for minute in 1..180 {
        let now = Duration::from_secs(60 * minute);
        let Verdict::Blocked(key) = first.verdict(now, &keys) else {
            panic!("not blocked after {minute} minutes");
        };
        first.record_refusal(now, key);
        first.settle(now);
        if let Some(evidence) = first.take_evidence() {
            second.merge(now, "first", evidence);
        }
        second.settle(now);
        assert!(matches!(second.verdict(now, &keys), Verdict::Blocked(_)));
    }
    let forgotten = Duration::from_secs(60 * 215);
    first.settle(forgotten);
    assert_eq!(first.verdict(forgotten, &keys), Verdict::Clear);
}

#[test]
fn a_request_is_recognized_whatever_its_query_method_and_host_name() {
    let request = quarantine::Request {
        host: "songs.example",
        method: "GET",
        path: "/read/1",
        query: "page=1",
        customer: Some("archive"),
        body: b"title=1",
    };
    let [key, specific] = request.keys();
    let same = quarantine::Request {
        host: "Songs.Example:8080",
        ..request
    };
    assert_eq!(same.keys(), [key, specific]);
    let other_query = quarantine::Request {
        query: "page=2",
        ..request
    };
    assert_eq!(other_query.keys()[0], key);
    assert_ne!(other_query.keys()[1], specific);
    let others = [
        quarantine::Request {
            path: "/read/1/",
            ..request
        },
        quarantine::Request {
            customer: None,
            ..request
        },
        quarantine::Request {
            customer: Some("archivetitle=1"),
            body: b"",
            ..request
        },
        quarantine::Request {
            body: b"title=2",
            ..request
        },
    ];
    for other in others {
        assert_ne!(other.keys()[0], key, "{other:?}");
    }
    assert!(key.is_request() && !Key::of("service", "part").is_request());
}

#[test]
fn a_request_that_shares_all_ends_with_a_bad_one_is_sent_and_clears_itself() {
    let (sound, bad) = (request_keys(b"sound"), request_keys(b"bad"));
    let mut ledger = Ledger::open(1);
    let both: Vec<Key> = sound.iter().chain(&bad).copied().collect();
    end_servers(&mut ledger, ms(100), ms(200), 3, &both);
    let now = ms(1_000);
    assert_eq!(ledger.verdict(now, &sound), Verdict::Clear);
    ledger.record_progress(now, &sound);
    assert!(matches!(ledger.verdict(now, &bad), Verdict::Blocked(_)));
    assert_eq!(ledger.blocked(now).len(), 1);
}

fn request_keys(content: &[u8]) -> [Key; 2] {
    let request = quarantine::Request {
        host: "songs.example",
        method: "GET",
        path: "/read/1",
        query: "",
        customer: None,
        body: content,
    };
    request.keys()
}

#[test]
fn entries_try_a_blocked_key_again_at_different_times() {
    let bad = [key("bad")];
    let is_blocked_after = |seed: u64, time: Duration| {
        let mut ledger = Ledger::open(seed);
        end_servers(&mut ledger, ms(100), ms(200), 3, &bad);
        ledger.verdict(time, &bad) != Verdict::Clear
    };
    let middle = Duration::from_secs(15 * 60);
    let blocked = (0..100)
        .filter(|seed| is_blocked_after(*seed, middle))
        .count();
    assert!((20..=80).contains(&blocked), "{blocked} of 100");
}

#[test]
fn keys_that_change_each_time_fill_no_memory_and_displace_no_verdict() {
    let mut ledger = Ledger::open(1);
    let bad = [key("bad")];
    end_servers(&mut ledger, ms(100), ms(200), 3, &bad);
    for number in 0..20_000_u32 {
        let now = Duration::from_secs(1) + ms(20) * number;
        let keys: Vec<Key> = (0..100)
            .map(|part| key(&format!("{number}-{part}")))
            .collect();
        ledger.record_progress(now, &keys[..10]);
        if number % 10 == 0 {
            ledger.record_end(
                now,
                ms(0),
                Server::of(&format!("other-{number}"), None),
                &keys[10..],
            );
            ledger.settle(now + ms(15));
        }
    }
    let now = Duration::from_secs(420);
    assert_eq!(ledger.verdict(now, &bad), Verdict::Blocked(bad[0]));
    assert_eq!(ledger.blocked(now).len(), 1);
    let evidence = ledger.take_evidence().expect("news");
    let bytes = serde_json::to_vec(&evidence).expect("it is serializable");
    assert!(bytes.len() < 8 << 10, "{} bytes", bytes.len());
}

#[test]
fn a_key_does_not_hide_among_many_that_change_each_time() {
    for id in 0..20_u32 {
        let bad = key(&format!("bad-{id}"));
        let mut ledger = Ledger::open(1);
        for number in 0..4_u32 {
            let mut keys: Vec<Key> = (0..200)
                .map(|part| key(&format!("{id}-{number}-{part}")))
                .collect();
            keys.push(bad);
            let now = ms(100) + ms(200) * number;
            ledger.record_end(
                now,
                ms(0),
                Server::of(&format!("server-{number}"), None),
                &keys,
            );
            ledger.settle(now + ms(15));
        }
        assert_eq!(ledger.verdict(ms(1_000), &[bad]), Verdict::Blocked(bad));
        let evidence = ledger.take_evidence().expect("news");
        let published = evidence.ends.iter().filter(|end| end.keys.contains(&bad));
        assert!(published.count() >= 2, "{id}");
    }
}

#[test]
fn a_verdict_goes_before_others_among_many_keys() {
    let mut ledger = Ledger::open(1);
    let bad = key("bad");
    end_servers(&mut ledger, ms(100), ms(200), 3, &[bad]);
    let mut keys: Vec<Key> = (0..5_000).map(|part| key(&part.to_string())).collect();
    keys.push(bad);
    assert_eq!(ledger.verdict(ms(1_000), &keys), Verdict::Blocked(bad));
}

/// The setups of an outbreak of a part with `entries` entries, for `seeds` seeds.
fn part_setups(entries: usize, seeds: u64, remedy: Remedy) -> impl Iterator<Item = Setup> {
    (0..seeds).map(move |seed| Setup {
        seed,
        entries,
        servers: entries,
        requests_per_s: 8.0 * entries as f64,
        work: Work::Prompts,
        outbreak: Outbreak::Part {
            share: [0.001, 0.01, 0.03, 0.1][seed as usize % 4],
        },
        store: Store::Well,
        other_ends_per_s: [0.0, 0.5][seed as usize / 4 % 2],
        remedy,
    })
}

/// The setups of a request that comes again, at plain services and engines.
fn request_setups(entries: usize, seeds: u64, remedy: Remedy) -> impl Iterator<Item = Setup> {
    (0..seeds).map(move |seed| {
        let work = [Work::Plain, Work::Prompts][seed as usize % 2];
        Setup {
            seed,
            entries,
            servers: match work {
                Work::Plain => entries / 6,
                Work::Prompts => entries,
            },
            requests_per_s: match work {
                Work::Plain => 1.5 * entries as f64,
                Work::Prompts => 8.0 * entries as f64,
            },
            work,
            outbreak: Outbreak::Request {
                copies_per_s: [0.5, 4.0, 30.0, 200.0][seed as usize / 2 % 4],
            },
            store: Store::Well,
            other_ends_per_s: [0.0, 0.5][seed as usize / 8 % 2],
            remedy,
        }
    })
}

/// Plays setups and checks the target for each.
fn assert_contained(setups: impl Iterator<Item = Setup>) {
    for setup in setups {
        let outcome = outbreak::play(setup);
        assert!(outcome.sent_late <= 3, "{setup:?} {outcome:?}");
        let refused = f64::from(outcome.sound_refused) / f64::from(outcome.sound.max(1));
        assert!(refused < 0.01, "{setup:?} {outcome:?}");
    }
}

/// Plays setups of a request that comes again: none may be sent late, and no
/// sound one in a thousand refused.
fn assert_request_contained(entries: usize, seeds: u64) {
    let mut sound = 0;
    let mut refused = 0;
    for setup in request_setups(entries, seeds, Remedy::Quarantine) {
        let outcome = outbreak::play(setup);
        assert_eq!(outcome.sent_late, 0, "{setup:?} {outcome:?}");
        sound += outcome.sound;
        refused += outcome.sound_refused;
    }
    assert!(refused * 1_000 < sound, "{refused} of {sound} refused");
}

/// How many seeds to play, as a multiple of the few that are played by default.
fn seeds(default: u64) -> u64 {
    let factor = std::env::var("OUTBREAK_FACTOR").ok();
    default * factor.map_or(1, |text| text.parse().expect("a number"))
}

#[test]
fn a_key_that_ends_servers_is_contained_by_18_entries() {
    assert_contained(part_setups(18, seeds(40), Remedy::Quarantine));
}

#[test]
fn a_key_that_ends_servers_is_contained_by_55_entries() {
    assert_contained(part_setups(55, seeds(8), Remedy::Quarantine));
}

#[test]
fn a_key_that_ends_servers_is_contained_by_360_entries() {
    assert_contained(part_setups(360, seeds(2), Remedy::Quarantine));
}

#[test]
fn a_request_that_comes_again_is_contained_by_18_entries() {
    assert_request_contained(18, seeds(40));
}

#[test]
fn a_request_that_comes_again_is_contained_by_55_entries() {
    assert_request_contained(55, seeds(8));
}

#[test]
fn a_request_that_comes_again_is_contained_by_360_entries() {
    assert_request_contained(360, seeds(2));
}

/// Prints figures of a request that comes again, of docs/design/quarantine.md.
#[test]
fn other_remedies_do_not_contain_a_request_that_comes_again() {
    let mut fleets = vec![(18, seeds(4))];
    if seeds(1) > 1 {
        fleets.extend([(55, seeds(2)), (360, seeds(1))]);
    }
    for (entries, seeds) in fleets {
        let late = [
            Remedy::Nothing,
            Remedy::NoRetry,
            Remedy::Parts,
            Remedy::Alone,
            Remedy::QuarantineNoRetry,
            Remedy::Quarantine,
        ]
        .map(|remedy| {
            let played: Vec<Outcome> = request_setups(entries, seeds, remedy)
                .map(outbreak::play)
                .collect();
            print_figures(&format!("{entries} entries, {remedy:?}"), &played);
            played.iter().map(|one| one.sent_late).max()
        });
        let [nothing, no_retry, parts, alone, _, quarantine] = late;
        let others = [nothing, no_retry, parts, alone];
        assert!(others.iter().all(|sent_late| *sent_late > quarantine));
    }
}

/// Prints the same for a store that is slow, or silent at first.
#[test]
fn a_request_that_comes_again_is_contained_while_the_store_is_slow_or_silent() {
    for store in [Store::Slow, Store::Silent] {
        let setups = request_setups(18, seeds(4), Remedy::Quarantine);
        let played: Vec<Outcome> = setups
            .map(|setup| outbreak::play(Setup { store, ..setup }))
            .collect();
        print_figures(&format!("18 entries, {store:?}"), &played);
        let latest = played.iter().flat_map(|one| &one.news_ms).max();
        let bound = match store {
            Store::Well | Store::Slow => 10_000,
            Store::Silent => 15_000,
        };
        assert!(latest.is_some_and(|news| *news < bound), "{latest:?} ms");
    }
}

fn print_figures(name: &str, played: &[Outcome]) {
    let mean = |of: fn(&Outcome) -> u32| {
        played.iter().map(of).map(f64::from).sum::<f64>() / played.len() as f64
    };
    let most = |of: fn(&Outcome) -> u32| played.iter().map(of).max().unwrap_or(0);
    let mut news: Vec<u64> = played.iter().flat_map(|one| one.news_ms.clone()).collect();
    news.sort_unstable();
    println!(
        "{name}: ends {:.1}, {}; sent after the third {:.1}, {}, late {:.2}, {}; sound {:.0}, refused {:.2}, given up {:.1}; news p50 {:?} ms, p100 {:?} ms",
        mean(|one| one.ends),
        most(|one| one.ends),
        mean(|one| one.sent_after),
        most(|one| one.sent_after),
        mean(|one| one.sent_late),
        most(|one| one.sent_late),
        mean(|one| one.sound),
        mean(|one| one.sound_refused),
        mean(|one| one.sound_given_up),
        news.get(news.len() / 2),
        news.last()
    );
}

/// Prints the table of docs/design/quarantine.md.
#[test]
fn other_remedies_do_not_contain_a_key_that_ends_servers() {
    for (entries, seeds) in [(18, seeds(16)), (55, seeds(4))] {
        let means = [
            Remedy::Nothing,
            Remedy::NoRetry,
            Remedy::WholeRequest,
            Remedy::Quarantine,
        ]
        .map(|remedy| {
            let played: Vec<_> = part_setups(entries, seeds, remedy).map(outbreak::play).collect();
            let mean = |of: fn(&Outcome) -> u32| {
                played.iter().map(of).map(f64::from).sum::<f64>() / played.len() as f64
            };
            println!(
                "{entries} entries, {remedy:?}: ends {:.1}, sent late {:.2} (most {}), sound refused {:.3} of {:.0}",
                mean(|one| one.ends),
                mean(|one| one.sent_late),
                played.iter().map(|one| one.sent_late).max().unwrap_or(0),
                mean(|one| one.sound_refused),
                mean(|one| one.sound),
            );
            mean(|one| one.sent_late)
        });
        let [others @ .., quarantine] = means;
        assert!(
            others
                .iter()
                .all(|sent_late| *sent_late > 3.0 && *sent_late > quarantine)
        );
    }
}
