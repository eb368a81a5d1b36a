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
    // One service has most of the hosts, one a tenth, one a hundredth.
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

fn links(members: &[Member], choose: fn(&host::Identity, &[Member]) -> Vec<host::Name>) -> Links {
    members
        .iter()
        .filter(|member| member.role == host::Role::Entry)
        .flat_map(|member| {
            let linked = choose(&identity(member), members);
            linked.into_iter().map(|other| (member.host.clone(), other))
        })
        .collect()
}

fn degrees<'a>(names: impl Iterator<Item = &'a host::Name>) -> (usize, usize, usize) {
    let mut counts: HashMap<&host::Name, usize> = HashMap::new();
    names.for_each(|name| *counts.entry(name).or_default() += 1);
    let links_min = counts.values().copied().min().unwrap_or_default();
    let links_max = counts.values().copied().max().unwrap_or_default();
    (counts.len(), links_min, links_max)
}

#[test]
fn links_are_bounded_and_balanced_at_the_target() {
    for agents in [2_800, 5_600] {
        let members = fleet(360, agents);
        let links = links(&members, super::agents);
        let (entries, links_min, links_max) = degrees(links.iter().map(|(entry, _)| entry));
        println!(
            "{agents} agents: {} links, {links_min} to {links_max} for each entry",
            links.len()
        );
        assert_eq!(entries, 360);
        assert!(
            links_max <= 2 * (ZONE_LINKS + CROSS_ZONE_LINKS),
            "{links_max}"
        );
        assert!(
            links_max as f64 / links_min as f64 <= 1.5,
            "{links_min} to {links_max}"
        );
        let zones: HashMap<&host::Name, &host::Zone> = members
            .iter()
            .map(|member| (&member.host, &member.zone))
            .collect();
        let in_zone = links
            .iter()
            .filter(|(entry, agent)| zones[entry] == zones[agent]);
        let (linked, links_min, links_max) = degrees(in_zone.map(|(_, agent)| agent));
        println!("{agents} agents: {links_min} to {links_max} for each agent from its zone");
        assert_eq!(
            linked, agents,
            "some agent is linked to no entry host of its zone"
        );
        assert!(links_min >= AGENT_LINKS_MIN);
    }
}

#[test]
fn every_entry_host_is_linked_to_every_service() {
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
fn a_host_that_joins_or_leaves_changes_few_links() {
    let members = fleet(360, 2_800);
    let before = links(&members, super::agents);
    let mut agent_changes = 0;
    let mut entry_changes = 0;
    let samples = 2;
    for n in 0..samples {
        let without = |index: usize| {
            let mut fewer = members.clone();
            fewer.remove(index);
            fewer
        };
        let after = links(&without(1_360 + 500 * n), super::agents);
        agent_changes += before.symmetric_difference(&after).count();
        let after = links(&without(70 * n), super::agents);
        entry_changes += before.symmetric_difference(&after).count();
    }
    let (agent_changes, entry_changes) = (agent_changes / samples, entry_changes / samples);
    println!(
        "of {} links, removing an agent changes {agent_changes}, an entry {entry_changes}",
        before.len()
    );
    assert!(
        agent_changes * 100 <= before.len(),
        "{agent_changes} of {}",
        before.len()
    );
    assert!(
        entry_changes * 20 <= before.len(),
        "{entry_changes} of {}",
        before.len()
    );
}

#[test]
fn a_small_fleet_is_fully_linked() {
    let members = fleet(15, 16);
    let links = links(&members, super::agents);
    assert_eq!(links.len(), 15 * 16);
}

#[test]
fn a_leaving_agent_gets_no_links() {
    for agents in [16, 2_800] {
        let mut members = fleet(15, agents);
        members[20].state = State::Leaving;
        let leaving = members[20].host.clone();
        let links = links(&members, super::agents);
        assert!(links.iter().all(|(_, agent)| *agent != leaving));
    }
}

#[test]
fn neighbours_are_symmetric_bounded_and_connected() {
    for entries in [2, 3, 15, 360] {
        let members = fleet(entries, 0);
        let links = links(&members, super::entries);
        let (linked, _, links_max) = degrees(links.iter().map(|(entry, _)| entry));
        assert_eq!(linked, entries);
        assert!(links_max <= 2 * RING_SALTS.len());
        for (a, b) in &links {
            assert!(links.contains(&(b.clone(), a.clone())), "{a} and {b}");
            assert_ne!(dials(a, b), dials(b, a));
        }
        assert_eq!(reachable(&links, &members[0].host), entries);
    }
}

#[test]
fn a_partitioned_zone_stays_connected() {
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
    assert_eq!(reachable(&links, &inside.unwrap().host), 40);
    assert_eq!(reachable(&links, &outside.unwrap().host), 320);
}

fn reachable(links: &Links, from: &host::Name) -> usize {
    let mut visited = HashSet::from([from.clone()]);
    let mut pending = vec![from.clone()];
    while let Some(at) = pending.pop() {
        for (a, b) in links {
            if *a == at && visited.insert(b.clone()) {
                pending.push(b.clone());
            }
        }
    }
    visited.len()
}
