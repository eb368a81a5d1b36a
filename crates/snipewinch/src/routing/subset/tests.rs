use std::collections::HashMap;
use std::collections::HashSet;

use super::*;

const ZONES: usize = 9;
const ZONES_IN_REGION: usize = 3;

fn member(role: host::Role, n: usize, service: Option<&str>) -> Member {
    let zone = n % ZONES;
    let letter = if role == host::Role::Entry { "e" } else { "a" };
    Member {
        host: host::Name(format!("{letter}-{n:05}").into()),
        role,
        zone: host::Zone(format!("zone-{zone}").into()),
        region: host::Region(format!("region-{}", zone / ZONES_IN_REGION).into()),
        service: service.map(SmolStr::new),
        address: ([127, 0, 0, 1], 7000).into(),
        state: State::Live,
        incarnation: 1,
    }
}

fn fleet(entries: usize, agents: usize) -> Vec<Member> {
    let entries = (0..entries).map(|n| member(host::Role::Entry, n, None));
    // One service has most hosts, one a tenth, one a few.
    let agents = (0..agents).map(|n| match n / ZONES % 100 {
        0 => member(host::Role::Agent, n, Some("trailhead")),
        1..=10 => member(host::Role::Agent, n, Some("logbook")),
        _ => member(host::Role::Agent, n, Some("scribe")),
    });
    entries.chain(agents).collect()
}

fn identity(member: &Member) -> host::Identity {
    host::Identity {
        host: member.host.clone(),
        incarnation: member.incarnation,
        role: member.role,
        zone: member.zone.clone(),
        region: member.region.clone(),
        service: member.service.clone(),
        address: member.address,
    }
}

type Links = HashSet<(host::Name, host::Name)>;

fn links(members: &[Member], of: fn(&host::Identity, &[Member]) -> Vec<host::Name>) -> Links {
    members
        .iter()
        .filter(|member| member.role == host::Role::Entry)
        .flat_map(|member| {
            let linked = of(&identity(member), members);
            linked.into_iter().map(|other| (member.host.clone(), other))
        })
        .collect()
}

fn degrees<'a>(names: impl Iterator<Item = &'a host::Name>) -> (usize, usize, usize) {
    let mut counts: HashMap<&host::Name, usize> = HashMap::new();
    names.for_each(|name| *counts.entry(name).or_default() += 1);
    let least = counts.values().copied().min().unwrap_or_default();
    let most = counts.values().copied().max().unwrap_or_default();
    (counts.len(), least, most)
}

#[test]
fn links_are_bounded_and_balanced_at_the_target() {
    for agents in [2_800, 5_600] {
        let members = fleet(360, agents);
        let links = links(&members, super::agents);
        let (entries, least, most) = degrees(links.iter().map(|(entry, _)| entry));
        println!(
            "{agents} agents: {} links, an entry {least} to {most}",
            links.len()
        );
        assert_eq!(entries, 360);
        assert!(most <= 2 * (ZONE_LINKS + CROSS_ZONE_LINKS), "{most}");
        assert!(most as f64 / least as f64 <= 1.5, "{least} to {most}");
        let zones: HashMap<&host::Name, &host::Zone> = members
            .iter()
            .map(|member| (&member.host, &member.zone))
            .collect();
        let at_home = links
            .iter()
            .filter(|(entry, agent)| zones[entry] == zones[agent]);
        let (linked, least, most) = degrees(at_home.map(|(_, agent)| agent));
        println!("{agents} agents: an agent {least} to {most} from its zone");
        assert_eq!(linked, agents, "an agent is linked to no entry host");
        assert!(least >= AGENT_LINKS_MIN);
    }
}

#[test]
fn every_entry_host_reaches_every_service_at_home_and_away() {
    let members = fleet(360, 2_800);
    let services: HashMap<&host::Name, &SmolStr> = members
        .iter()
        .filter_map(|member| Some((&member.host, member.service.as_ref()?)))
        .collect();
    for entry in members.iter().take(360) {
        let linked = super::agents(&identity(entry), &members);
        for service in ["scribe", "logbook", "trailhead"] {
            let count = linked
                .iter()
                .filter(|agent| *services[agent] == service)
                .count();
            assert!(
                count >= SERVICE_LINKS_MIN,
                "{}: {count} of {service}",
                entry.host
            );
        }
    }
}

#[test]
fn one_host_that_comes_or_goes_moves_few_links() {
    let members = fleet(360, 2_800);
    let before = links(&members, super::agents);
    let mut agent_moves = 0;
    let mut entry_moves = 0;
    let samples = 2;
    for n in 0..samples {
        let without = |index: usize| {
            let mut fewer = members.clone();
            fewer.remove(index);
            fewer
        };
        let after = links(&without(1_360 + 500 * n), super::agents);
        agent_moves += before.symmetric_difference(&after).count();
        let after = links(&without(70 * n), super::agents);
        entry_moves += before.symmetric_difference(&after).count();
    }
    let (agent_moves, entry_moves) = (agent_moves / samples, entry_moves / samples);
    println!(
        "of {} links an agent moves {agent_moves}, an entry {entry_moves}",
        before.len()
    );
    assert!(
        agent_moves * 100 <= before.len(),
        "{agent_moves} of {}",
        before.len()
    );
    assert!(
        entry_moves * 20 <= before.len(),
        "{entry_moves} of {}",
        before.len()
    );
}

#[test]
fn a_small_fleet_is_linked_from_each_to_each() {
    let members = fleet(15, 16);
    let links = links(&members, super::agents);
    assert_eq!(links.len(), 15 * 16);
}

#[test]
fn a_leaving_agent_is_not_linked_anew() {
    for agents in [16, 2_800] {
        let mut members = fleet(15, agents);
        members[20].state = State::Leaving;
        let leaving = members[20].host.clone();
        let links = links(&members, super::agents);
        assert!(links.iter().all(|(_, agent)| *agent != leaving));
    }
}

#[test]
fn neighbours_are_mutual_bounded_and_connected() {
    for entries in [2, 3, 15, 360] {
        let members = fleet(entries, 0);
        let links = links(&members, super::entries);
        let (linked, _, most) = degrees(links.iter().map(|(entry, _)| entry));
        assert_eq!(linked, entries);
        assert!(most <= 2 * RING_SALTS.len());
        for (a, b) in &links {
            assert!(links.contains(&(b.clone(), a.clone())), "{a} and {b}");
            assert_ne!(dials(a, b), dials(b, a));
        }
        assert_eq!(reached(&links, &members[0].host), entries);
    }
}

#[test]
fn a_zone_that_is_cut_off_stays_connected() {
    let members = fleet(360, 0);
    let mut links = links(&members, super::entries);
    let zone: HashSet<&host::Name> = members
        .iter()
        .filter(|member| member.zone.as_str() == "zone-4")
        .map(|member| &member.host)
        .collect();
    links.retain(|(a, b)| zone.contains(a) == zone.contains(b));
    let inside = members.iter().find(|member| zone.contains(&member.host));
    let outside = members.iter().find(|member| !zone.contains(&member.host));
    assert_eq!(reached(&links, &inside.unwrap().host), 40);
    assert_eq!(reached(&links, &outside.unwrap().host), 320);
}

fn reached(links: &Links, from: &host::Name) -> usize {
    let mut seen = HashSet::from([from.clone()]);
    let mut next = vec![from.clone()];
    while let Some(at) = next.pop() {
        for (a, b) in links {
            if *a == at && seen.insert(b.clone()) {
                next.push(b.clone());
            }
        }
    }
    seen.len()
}
