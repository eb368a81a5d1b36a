//! Tests of how load is spread over hosts.

use super::*;

#[test]
fn a_new_host_is_ramped_up_slowly() {
    let mut table = table(&[("r1-a", 3)]);
    let start = 100 * SECOND;
    let peer = identity("r1-a-9", "r1-a", 1);
    table.handle(start, Event::Up { peer: &peer });
    let mut fractions = Vec::new();
    for second in 0..15 {
        let now = start + second * SECOND;
        let mut calls = 0;
        for seed in 0..400u64 {
            // Each second, the first twelve calls stay in flight; each later
            // one ends another call.
            let request = Request::new(SERVICE, u64::from(second) * 1000 + seed);
            let key = table.pick(now, &request).unwrap();
            table.start(now, key, &[]);
            calls += u64::from(table.host(key).unwrap().as_str() == "r1-a-9");
            if seed >= 12 {
                let hosts =
                    (0..).map(|n| format!("r1-a-{}", [0, 1, 2, 9][(seed + n) as usize % 4]));
                let busy = hosts
                    .map(|host| table.key(&host.as_str().into()).unwrap())
                    .find(|&key| table.inflight(key) > 0);
                table.end(now, busy.unwrap(), &Outcome::success(MS));
            }
        }
        fractions.push(calls as f64 / 400.0);
    }
    assert!(fractions[0] < 0.2, "{fractions:?}");
    assert!(fractions[14] > 0.2, "{fractions:?}");
    assert!(
        fractions[0] < fractions[5] + 0.05 && fractions[5] < fractions[14] + 0.05,
        "{fractions:?}"
    );
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    /// The host that the table picks.
    Table,
    /// A random host.
    Random,
    /// The host with the lowest load in its last report.
    Reported,
}

/// Simulates `count` tables that send calls of `work_ms` to ten hosts, each of
/// which reports its load every `report_interval_ms`. Returns the ratio of the
/// calls on the busiest host to the mean, averaged over time.
fn peak_to_mean(
    seed: u64,
    count: usize,
    report_interval_ms: u32,
    work_ms: u32,
    policy: Policy,
) -> f64 {
    const HOSTS: usize = 10;
    /// The average number of running calls.
    const RUNNING: u32 = 50;
    let name = |host: usize| host::Name(format!("r1-a-{host}").into());
    let mut tables: Vec<Table> = (0..count).map(|_| table(&[("r1-a", HOSTS)])).collect();
    let mut reported = [0u32; HOSTS];
    let mut running = [0u32; HOSTS];
    let mut ends: Vec<(u32, usize, Key, usize)> = Vec::new();
    let mut rng = Rng::new(seed);
    let (mut peak_sum, mut running_sum) = (0u32, 0u32);
    for ms in 0..20_000 {
        let now = SECOND + ms * MS;
        if ms % report_interval_ms == 0 {
            reported = running;
            for table in &mut tables {
                for (host, &calls) in running.iter().enumerate() {
                    report(table, now, name(host).as_str(), |summary| {
                        summary.running = calls
                    });
                }
            }
        }
        let done: Vec<_> = ends.extract_if(.., |end| end.0 == ms).collect();
        for (_, at, key, host) in done {
            running[host] -= 1;
            tables[at].end(now, key, &Outcome::success(work_ms * MS));
        }
        if rng.below(work_ms as usize) < RUNNING as usize {
            let at = rng.below(count);
            let request = Request::new(SERVICE, rng.next());
            let key_of = |host: usize| tables[at].key(&name(host)).unwrap();
            let key = match policy {
                Policy::Random => key_of(rng.below(HOSTS)),
                Policy::Reported => key_of((0..HOSTS).min_by_key(|&host| reported[host]).unwrap()),
                Policy::Table => tables[at].pick(now, &request).unwrap(),
            };
            tables[at].start(now, key, &[]);
            let host = (0..HOSTS)
                .find(|&host| *tables[at].host(key).unwrap() == name(host))
                .unwrap();
            running[host] += 1;
            ends.push((ms + work_ms, at, key, host));
        }
        if ms >= 5_000 {
            peak_sum += running.iter().copied().max().unwrap();
            running_sum += running.iter().sum::<u32>();
        }
    }
    f64::from(peak_sum) * HOSTS as f64 / f64::from(running_sum)
}

#[test]
fn stale_reports_do_not_cause_herding() {
    // (tables, interval of the hosts' reports in ms, duration of calls in ms)
    let cases = [
        (3, 750, 100),
        (3, 750, 200),
        (3, 750, 2000),
        (3, 3000, 400),
        (10, 750, 100),
        (10, 750, 2000),
    ];
    for (tables, report_interval_ms, work_ms) in cases {
        for seed in [1, 2] {
            let ratio = |policy| peak_to_mean(seed, tables, report_interval_ms, work_ms, policy);
            let (mixed, random) = (ratio(Policy::Table), ratio(Policy::Random));
            let reported = ratio(Policy::Reported);
            let case = format!(
                "{tables} tables, reports each {report_interval_ms} ms, calls of {work_ms} ms"
            );
            println!(
                "{case}, seed {seed}: {mixed:.2}; random {random:.2}; by report {reported:.2}"
            );
            // With ten tables a table's own calls are a tenth of all, which
            // says little about the load of a host: a ratio close to that of
            // random picks is enough.
            let ratio_max = if tables <= 3 { 0.9 } else { 1.05 };
            assert!(mixed <= ratio_max * random, "{case}, seed {seed}");
            assert!(
                reported > random,
                "{case}, seed {seed}: the simulation shows no herding by reports"
            );
        }
    }
}
