//! How load spreads over hosts.

use super::*;

#[test]
fn a_new_host_is_loaded_slowly() {
    let mut table = table(&[("r1-a", 3)]);
    let start = 100 * SECOND;
    let peer = identity("r1-a-9", "r1-a", 1);
    table.handle(start, Event::Up { peer: &peer });
    let mut parts = Vec::new();
    for second in 0..15 {
        let now = start + second * SECOND;
        let mut calls = 0;
        for seed in 0..400u64 {
            // Twelve calls are in flight at any time.
            let request = Request::new(SERVICE, u64::from(second) * 1000 + seed);
            let key = table.pick(now, &request).unwrap();
            table.start(now, key, &[]);
            calls += u64::from(table.host(key).unwrap().as_str() == "r1-a-9");
            if seed >= 12 {
                let oldest =
                    (0..).map(|n| format!("r1-a-{}", [0, 1, 2, 9][(seed + n) as usize % 4]));
                let busy = oldest
                    .map(|host| table.key(&host.as_str().into()).unwrap())
                    .find(|&key| table.inflight(key) > 0);
                table.end(now, busy.unwrap(), &Outcome::success(MS));
            }
        }
        parts.push(calls as f64 / 400.0);
    }
    assert!(parts[0] < 0.2, "{parts:?}");
    assert!(parts[14] > 0.2, "{parts:?}");
    assert!(
        parts[0] < parts[5] + 0.05 && parts[5] < parts[14] + 0.05,
        "{parts:?}"
    );
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    /// The table's.
    Table,
    /// Any host.
    Random,
    /// The host that last reported the least.
    Reported,
}

/// Tables before ten hosts that report once in `lag` ms; calls last `work`
/// ms. Answers how many calls the busiest host has against the mean, averaged
/// over time.
fn busiest(seed: u64, count: usize, lag: u32, work: u32, policy: Policy) -> f64 {
    const HOSTS: usize = 10;
    /// Calls that run at any time, on average.
    const RUNNING: u32 = 50;
    let name = |host: usize| host::Name(format!("r1-a-{host}").into());
    let mut tables: Vec<Table> = (0..count).map(|_| table(&[("r1-a", HOSTS)])).collect();
    let mut reported = [0u32; HOSTS];
    let mut running = [0u32; HOSTS];
    let mut ends: Vec<(u32, usize, Key, usize)> = Vec::new();
    let mut draw = Rng::new(seed);
    let (mut busiest, mut all) = (0u32, 0u32);
    for ms in 0..20_000 {
        let now = SECOND + ms * MS;
        if ms % lag == 0 {
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
            tables[at].end(now, key, &Outcome::success(work * MS));
        }
        if draw.below(work as usize) < RUNNING as usize {
            let at = draw.below(count);
            let request = Request::new(SERVICE, draw.next());
            let of = |host: usize| tables[at].key(&name(host)).unwrap();
            let key = match policy {
                Policy::Random => of(draw.below(HOSTS)),
                Policy::Reported => of((0..HOSTS).min_by_key(|&host| reported[host]).unwrap()),
                Policy::Table => tables[at].pick(now, &request).unwrap(),
            };
            tables[at].start(now, key, &[]);
            let host = (0..HOSTS)
                .find(|&host| *tables[at].host(key).unwrap() == name(host))
                .unwrap();
            running[host] += 1;
            ends.push((ms + work, at, key, host));
        }
        if ms >= 5_000 {
            busiest += running.iter().copied().max().unwrap();
            all += running.iter().sum::<u32>();
        }
    }
    f64::from(busiest) * HOSTS as f64 / f64::from(all)
}

#[test]
fn stale_reports_do_not_herd() {
    // (tables, how often hosts report, how long calls last, in ms)
    let cases = [
        (3, 750, 100),
        (3, 750, 200),
        (3, 750, 2000),
        (3, 3000, 400),
        (10, 750, 100),
        (10, 750, 2000),
    ];
    for (tables, lag, work) in cases {
        for seed in [1, 2] {
            let of = |policy| busiest(seed, tables, lag, work, policy);
            let (mixed, random) = (of(Policy::Table), of(Policy::Random));
            let reported = of(Policy::Reported);
            let case = format!("{tables} tables, reports each {lag} ms, calls of {work} ms");
            println!(
                "{case}, seed {seed}: {mixed:.2}; random {random:.2}; by report {reported:.2}"
            );
            // Where own calls are a tenth of all, they tell next to nothing.
            let most = if tables <= 3 { 0.9 } else { 1.05 };
            assert!(mixed <= most * random, "{case}, seed {seed}");
            assert!(
                reported > random,
                "{case}, seed {seed}: the model does not herd"
            );
        }
    }
}
