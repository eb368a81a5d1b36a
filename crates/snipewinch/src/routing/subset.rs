//! Which hosts an entry host has links to.
//!
//! At 360 entry hosts and thousands of agents a link from each to each costs
//! more heartbeats than a host may spend, so each entry host links to a part of
//! the agents. Every host works its part out from the membership list alone, so
//! hosts with the same list agree without a word between them:
//!
//! - Within a zone each agent chooses its entry hosts, all the same number, by
//!   rendezvous hashing, and no entry host is chosen by more agents than the
//!   average rounded up, while others have room (the bound of Mirrokni, Thorup and Zadimoghaddam, "Consistent
//!   hashing with bounded loads", 2018). So no agent is left out, entry hosts
//!   have about as many links each, and a host that comes or goes moves few
//!   links.
//! - Outside its zone an entry host chooses a few agents by rendezvous hashing,
//!   half of them in its region, for when the zone is short of capacity.
//! - Entry hosts are neighbours on three rings: two orders of the hosts of a
//!   zone, one of all hosts. A union of random rings has short ways between any
//!   two hosts, and a zone that is cut off stays connected in itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::host;
use crate::membership::Member;
use crate::membership::State;
use crate::mix;
use crate::mix::Rng;

/// Links to agents of the own zone that an entry host aims at.
pub const HOME_LINKS: usize = 24;
/// Links to agents of other zones that an entry host aims at.
pub const AWAY_LINKS: usize = 8;
/// Links that an entry host has for each service at least, if it has as many
/// agents.
pub const SERVICE_LINKS_MIN: usize = 3;
/// Entry hosts that each agent is linked to at least, if its zone has as many.
pub const AGENT_LINKS_MIN: usize = 2;
/// Sets the orders of the rings apart.
const RING_SALTS: [u64; 3] = [1, 2, 3];
/// Sets the order in which agents choose apart from other uses of their names.
const ORDER_SALT: u64 = 4;
/// Sets the rounding of link counts apart from other uses of names.
const ROUND_SALT: u64 = 5;

/// A host by its name's hash.
#[derive(Clone, Copy, Debug)]
struct Point<'a> {
    hash: u64,
    member: &'a Member,
}

/// The agents that the entry host `me` has links to.
pub fn agents(me: &host::Identity, members: &[Member]) -> Vec<host::Name> {
    let all: Vec<&Member> = members
        .iter()
        .filter(|member| member.role == host::Role::Agent && member.state != State::Leaving)
        .collect();
    if all.len() <= HOME_LINKS + AWAY_LINKS {
        return all.iter().map(|member| member.host.clone()).collect();
    }
    let mut services: BTreeMap<&SmolStr, Vec<Point<'_>>> = BTreeMap::new();
    for member in &all {
        if let Some(service) = &member.service {
            services.entry(service).or_default().push(point(member));
        }
    }
    let entries = fellows(me, members);
    let in_zone = all.iter().filter(|member| member.zone == me.zone).count();
    let mut chosen = BTreeSet::new();
    for agents in services.values() {
        chosen.extend(home(me, &entries, agents, in_zone));
        chosen.extend(away(me, agents, all.len()));
    }
    chosen.into_iter().cloned().collect()
}

/// The entry hosts that the entry host `me` exchanges news with. The relation
/// is mutual: each is also a neighbour of theirs.
pub fn entries(me: &host::Identity, members: &[Member]) -> Vec<host::Name> {
    let others = members.iter().filter(|member| {
        member.role == host::Role::Entry && member.host != me.host && member.state != State::Leaving
    });
    let others: Vec<Point<'_>> = others.map(point).collect();
    let mut neighbours = BTreeSet::new();
    for salt in RING_SALTS {
        let whole = salt == RING_SALTS[RING_SALTS.len() - 1];
        let ring = others
            .iter()
            .filter(|other| whole || other.member.zone == me.zone);
        let ring: Vec<Point<'_>> = ring.copied().collect();
        neighbours.extend(beside(mix::hash(me.host.as_str()), &ring, salt));
    }
    neighbours.into_iter().cloned().collect()
}

/// Whether `me` opens the link to its neighbour `other`, rather than it to `me`.
pub fn dials(me: &host::Name, other: &host::Name) -> bool {
    me < other
}

fn point(member: &Member) -> Point<'_> {
    Point {
        hash: mix::hash(member.host.as_str()),
        member,
    }
}

/// Hashes of the entry hosts of the zone, this one first.
fn fellows(me: &host::Identity, members: &[Member]) -> Vec<u64> {
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

/// The nearest agents of a service that this entry host is chosen by: those of
/// its zone, else of its region, else all.
fn home<'a>(
    me: &host::Identity,
    entries: &[u64],
    agents: &[Point<'a>],
    in_zone: usize,
) -> Vec<&'a host::Name> {
    let zone = |point: &&Point<'a>| point.member.zone == me.zone;
    let region = |point: &&Point<'a>| point.member.region == me.region;
    let mut pool: Vec<Point<'a>> = agents.iter().filter(zone).copied().collect();
    if pool.is_empty() {
        pool = agents.iter().filter(region).copied().collect();
    }
    if pool.is_empty() {
        pool = agents.to_vec();
    }
    let part = HOME_LINKS as f64 * pool.len() as f64 / in_zone.max(pool.len()) as f64;
    let links = part.max(SERVICE_LINKS_MIN as f64).min(pool.len() as f64);
    let degree = entries.len() as f64 * links / pool.len() as f64;
    let degree = degree.max(AGENT_LINKS_MIN as f64).min(entries.len() as f64);
    let mut chosen = matched(entries, &mut pool, degree);
    let least = SERVICE_LINKS_MIN.min(pool.len());
    if chosen.len() < least {
        pool.sort_by_cached_key(|agent| mix::combine(entries[0], agent.hash));
        let more = pool.iter().map(|agent| &agent.member.host);
        let more: Vec<&host::Name> = more.filter(|host| !chosen.contains(host)).collect();
        chosen.extend(more.into_iter().take(least - chosen.len()));
    }
    chosen
}

/// The agents that choose the first entry host when each agent chooses `degree`
/// of them on average.
fn matched<'a>(entries: &[u64], agents: &mut [Point<'a>], degree: f64) -> Vec<&'a host::Name> {
    agents.sort_by_cached_key(|agent| mix::combine(agent.hash, ORDER_SALT));
    let average = agents.len() as f64 * degree / entries.len() as f64;
    let most = average.ceil() as usize;
    let mut links = vec![0usize; entries.len()];
    let mut ranked = Vec::with_capacity(entries.len());
    let mut chosen = Vec::new();
    for agent in agents.iter() {
        let degree = whole(degree, agent.hash);
        ranked.clear();
        // Full entry hosts come last, the least full of them first.
        ranked.extend(entries.iter().enumerate().map(|(entry, &hash)| {
            let over = (links[entry] + 1).saturating_sub(most);
            (over, mix::combine(hash, agent.hash), entry)
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

/// A whole number that is `value` on average over all hosts, so that it changes
/// for few of them when `value` changes a little.
fn whole(value: f64, hash: u64) -> usize {
    let up = Rng::new(mix::combine(hash, ROUND_SALT)).unit();
    (value + up) as usize
}

/// Agents outside the zone, half of them in the region if it has other zones.
fn away<'a>(me: &host::Identity, agents: &[Point<'a>], all: usize) -> Vec<&'a host::Name> {
    let own = mix::hash(me.host.as_str());
    let mut pool: Vec<Point<'a>> = agents
        .iter()
        .filter(|agent| agent.member.zone != me.zone)
        .copied()
        .collect();
    let part = AWAY_LINKS as f64 * agents.len() as f64 / all as f64;
    let links = whole(part.max(1.0), own).min(pool.len());
    pool.sort_by_cached_key(|agent| mix::combine(own, agent.hash));
    let near = |agent: &&Point<'a>| agent.member.region == me.region;
    let first = pool.iter().filter(near).take(links.div_ceil(2));
    let mut chosen: Vec<&host::Name> = first.map(|agent| &agent.member.host).collect();
    for agent in pool.iter().filter(|agent| !near(agent)).chain(&pool) {
        if chosen.len() == links {
            break;
        }
        if !chosen.contains(&&agent.member.host) {
            chosen.push(&agent.member.host);
        }
    }
    chosen
}

/// The hosts before and after `own` on a ring.
fn beside<'a>(own: u64, others: &[Point<'a>], salt: u64) -> BTreeSet<&'a host::Name> {
    let own = mix::combine(own, salt);
    // The distance onwards from this host, around the ring.
    let onwards = |other: &&Point<'a>| mix::combine(other.hash, salt).wrapping_sub(own);
    let next = others.iter().min_by_key(onwards);
    let last = others.iter().max_by_key(onwards);
    next.into_iter()
        .chain(last)
        .map(|other| &other.member.host)
        .collect()
}

#[cfg(test)]
mod tests;
