//! Chooses the hosts that an entry host has links to.
//!
//! With 360 entry hosts and thousands of agents, links between all of them
//! would cost more heartbeats than a host may spend, so each entry host links
//! to a subset of the agents. The subset depends on the membership list alone:
//! hosts with the same list agree on it without exchanging messages.
//!
//! - Within a zone each agent is assigned the same number of entry hosts by
//!   rendezvous hashing, and no entry host is assigned more agents than the
//!   average rounded up while others have fewer (the bound of Mirrokni, Thorup
//!   and Zadimoghaddam, "Consistent hashing with bounded loads", 2018). So
//!   every agent is linked, entry hosts have about the same number of links,
//!   and a host that joins or leaves changes few links.
//! - Outside its zone an entry host chooses a few agents by rendezvous hashing,
//!   half of them in its region, to be used when the zone lacks capacity.
//! - Entry hosts are neighbours on three rings: two orders of the hosts of a
//!   zone and one of all hosts. A union of random rings has short paths between
//!   any two hosts, and a zone that is partitioned off stays connected within.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::host;
use crate::membership::Member;
use crate::membership::State;
use crate::mix;
use crate::mix::Rng;

/// The target number of links of an entry host to agents of its own zone.
pub const ZONE_LINKS: usize = 24;
/// The target number of links of an entry host to agents of other zones.
pub const CROSS_ZONE_LINKS: usize = 8;
/// The smallest number of links of an entry host to agents of each service, if
/// the service has that many.
pub const SERVICE_LINKS_MIN: usize = 3;
/// The smallest number of entry hosts linked to each agent, if its zone has
/// that many.
pub const AGENT_LINKS_MIN: usize = 2;
/// Makes the order of each ring independent of the others.
const RING_SALTS: [u64; 3] = [1, 2, 3];
/// Makes the order in which agents are assigned independent of other uses of
/// the hashes of their names.
const AGENT_ORDER_SALT: u64 = 4;
/// Makes the rounding of link counts independent of other uses of the hashes.
const ROUNDING_SALT: u64 = 5;

/// A member with the hash of its host's name.
#[derive(Clone, Copy, Debug)]
struct HashedMember<'a> {
    hash: u64,
    member: &'a Member,
}

/// The agents that the entry host `me` has links to.
pub fn agents(me: &host::Identity, members: &[Member]) -> Vec<host::Name> {
    let all: Vec<&Member> = members
        .iter()
        .filter(|member| member.role == host::Role::Agent && member.state != State::Leaving)
        .collect();
    if all.len() <= ZONE_LINKS + CROSS_ZONE_LINKS {
        return all.iter().map(|member| member.host.clone()).collect();
    }
    let mut services: BTreeMap<&SmolStr, Vec<HashedMember<'_>>> = BTreeMap::new();
    for member in &all {
        if let Some(service) = &member.service {
            services.entry(service).or_default().push(hashed(member));
        }
    }
    let entries = entry_hashes(me, members);
    let zone_agents = all.iter().filter(|member| member.zone == me.zone).count();
    let mut chosen = BTreeSet::new();
    for agents in services.values() {
        chosen.extend(nearest_agents(me, &entries, agents, zone_agents));
        chosen.extend(cross_zone_agents(me, agents, all.len()));
    }
    chosen.into_iter().cloned().collect()
}

/// The neighbours of the entry host `me`, with which it exchanges gossip. The
/// relation is symmetric between hosts with the same list.
pub fn entries(me: &host::Identity, members: &[Member]) -> Vec<host::Name> {
    let others = members.iter().filter(|member| {
        member.role == host::Role::Entry && member.host != me.host && member.state != State::Leaving
    });
    let others: Vec<HashedMember<'_>> = others.map(hashed).collect();
    let mut neighbours = BTreeSet::new();
    for salt in RING_SALTS {
        let all_zones = salt == RING_SALTS[RING_SALTS.len() - 1];
        let ring = others
            .iter()
            .filter(|other| all_zones || other.member.zone == me.zone);
        let ring: Vec<HashedMember<'_>> = ring.copied().collect();
        neighbours.extend(ring_neighbours(mix::hash(me.host.as_str()), &ring, salt));
    }
    neighbours.into_iter().cloned().collect()
}

/// Whether `me` opens the link to its neighbour `other`, rather than `other` to
/// `me`.
pub fn dials(me: &host::Name, other: &host::Name) -> bool {
    me < other
}

fn hashed(member: &Member) -> HashedMember<'_> {
    HashedMember {
        hash: mix::hash(member.host.as_str()),
        member,
    }
}

/// The hashes of the entry hosts of the zone, this one first.
fn entry_hashes(me: &host::Identity, members: &[Member]) -> Vec<u64> {
    let others = members.iter().filter(|member| {
        member.role == host::Role::Entry
            && member.zone == me.zone
            && member.host != me.host
            && member.state != State::Leaving
    });
    let own = mix::hash(me.host.as_str());
    std::iter::once(own)
        .chain(others.map(|member| mix::hash(member.host.as_str())))
        .collect()
}

/// The agents of a service that are assigned to this entry host, from those of
/// its zone, else of its region, else from all.
fn nearest_agents<'a>(
    me: &host::Identity,
    entries: &[u64],
    agents: &[HashedMember<'a>],
    zone_agents: usize,
) -> Vec<&'a host::Name> {
    let zone = |agent: &&HashedMember<'a>| agent.member.zone == me.zone;
    let region = |agent: &&HashedMember<'a>| agent.member.region == me.region;
    let mut pool: Vec<HashedMember<'a>> = agents.iter().filter(zone).copied().collect();
    if pool.is_empty() {
        pool = agents.iter().filter(region).copied().collect();
    }
    if pool.is_empty() {
        pool = agents.to_vec();
    }
    let target = ZONE_LINKS as f64 * pool.len() as f64 / zone_agents.max(pool.len()) as f64;
    let links = target.max(SERVICE_LINKS_MIN as f64).min(pool.len() as f64);
    let degree = entries.len() as f64 * links / pool.len() as f64;
    let degree = degree.max(AGENT_LINKS_MIN as f64).min(entries.len() as f64);
    let mut chosen = matched_agents(entries, &mut pool, degree);
    let links_min = SERVICE_LINKS_MIN.min(pool.len());
    if chosen.len() < links_min {
        pool.sort_by_cached_key(|agent| mix::combine(entries[0], agent.hash));
        let more = pool.iter().map(|agent| &agent.member.host);
        let more: Vec<&host::Name> = more.filter(|host| !chosen.contains(host)).collect();
        chosen.extend(more.into_iter().take(links_min - chosen.len()));
    }
    chosen
}

/// The agents assigned to the first entry host if each agent is assigned
/// `degree` entry hosts on average.
fn matched_agents<'a>(
    entries: &[u64],
    agents: &mut [HashedMember<'a>],
    degree: f64,
) -> Vec<&'a host::Name> {
    agents.sort_by_cached_key(|agent| mix::combine(agent.hash, AGENT_ORDER_SALT));
    let average = agents.len() as f64 * degree / entries.len() as f64;
    let links_max = average.ceil() as usize;
    let mut links = vec![0usize; entries.len()];
    let mut ranked = Vec::with_capacity(entries.len());
    let mut chosen = Vec::new();
    for agent in agents.iter() {
        let degree = round_by_hash(degree, agent.hash);
        ranked.clear();
        // Full entry hosts come last, in order of how far they exceed the
        // bound.
        ranked.extend(entries.iter().enumerate().map(|(entry, &hash)| {
            let excess = (links[entry] + 1).saturating_sub(links_max);
            (excess, mix::combine(hash, agent.hash), entry)
        }));
        ranked.select_nth_unstable(degree - 1);
        for &(_, _, entry) in &ranked[..degree] {
            links[entry] += 1;
            if entry == 0 {
                chosen.push(&agent.member.host);
            }
        }
    }
    chosen
}

/// Rounds `value` up or down depending on `hash`, so that the average over all
/// hosts is `value`, and a small change of `value` changes the result for few
/// of them.
fn round_by_hash(value: f64, hash: u64) -> usize {
    let offset = Rng::new(mix::combine(hash, ROUNDING_SALT)).unit();
    (value + offset) as usize
}

/// Agents outside the zone, half of them in the region if it has other zones.
fn cross_zone_agents<'a>(
    me: &host::Identity,
    agents: &[HashedMember<'a>],
    all: usize,
) -> Vec<&'a host::Name> {
    let own = mix::hash(me.host.as_str());
    let mut pool: Vec<HashedMember<'a>> = agents
        .iter()
        .filter(|agent| agent.member.zone != me.zone)
        .copied()
        .collect();
    let target = CROSS_ZONE_LINKS as f64 * agents.len() as f64 / all as f64;
    let links = round_by_hash(target.max(1.0), own).min(pool.len());
    pool.sort_by_cached_key(|agent| mix::combine(own, agent.hash));
    let in_region = |agent: &&HashedMember<'a>| agent.member.region == me.region;
    let first = pool.iter().filter(in_region).take(links.div_ceil(2));
    let mut chosen: Vec<&host::Name> = first.map(|agent| &agent.member.host).collect();
    for agent in pool.iter().filter(|agent| !in_region(agent)).chain(&pool) {
        if chosen.len() == links {
            break;
        }
        if !chosen.contains(&&agent.member.host) {
            chosen.push(&agent.member.host);
        }
    }
    chosen
}

/// The predecessor and the successor of `own` on a ring.
fn ring_neighbours<'a>(
    own: u64,
    others: &[HashedMember<'a>],
    salt: u64,
) -> BTreeSet<&'a host::Name> {
    let own = mix::combine(own, salt);
    // The distance from this host to `other` in the direction of the ring.
    let distance = |other: &&HashedMember<'a>| mix::combine(other.hash, salt).wrapping_sub(own);
    let successor = others.iter().min_by_key(distance);
    let predecessor = others.iter().max_by_key(distance);
    successor
        .into_iter()
        .chain(predecessor)
        .map(|other| &other.member.host)
        .collect()
}

#[cfg(test)]
mod tests;
