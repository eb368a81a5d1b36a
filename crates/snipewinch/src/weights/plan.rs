//! Who exchanges chunks with whom, and who brings them into a region.
//!
//! Every agent works the plan out by itself from the hosts that it sees, by
//! rendezvous hashing (Thaler and Ravishankar 1998), so that a host that comes
//! or goes moves only what it is concerned in. Agents whose views differ plan
//! differently for a while; that costs bytes and never correctness.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::Digest;
use crate::host;
use crate::host::Region;
use crate::host::Role;
use crate::membership::Member;
use crate::membership::View;

/// Stripes into which chunks are dealt; each has one gateway in each region.
pub const STRIPES: u32 = 4;
/// Gateways in reserve behind the first, for each stripe.
pub const RESERVES: usize = 2;
/// The fewest peers that an agent dials in its region, if there are as many.
const DIALS_MIN: usize = 4;

/// The purpose of [`rank`] among other uses of the hash.
const RANK_PURPOSE: &[u8] = b"rank";

/// Hosts that take from one host in a tree.
const FANOUT: usize = 2;

/// A host as plans see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The host's name.
    pub host: host::Name,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// By which scheme chunks spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Gateways bring chunks into a region and neighbours pass them on.
    #[default]
    Swarm,
    /// Every host takes every chunk from its parent in a tree; a baseline.
    Tree,
    /// Every host takes every chunk from the origin; a baseline.
    Origin,
}

impl FromStr for Policy {
    type Err = ();

    fn from_str(text: &str) -> Result<Policy, ()> {
        match text {
            "origin" => Ok(Policy::Origin),
            "swarm" => Ok(Policy::Swarm),
            "tree" => Ok(Policy::Tree),
            _ => Err(()),
        }
    }
}

/// What one agent does for one manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The scheme.
    pub policy: Policy,
    /// Whom to dial in the own region.
    pub neighbours: Vec<Candidate>,
    /// This agent's rank for each stripe, where it has one: 0 brings the
    /// chunks, the others stand by.
    pub ranks: [Option<usize>; STRIPES as usize],
    /// The gateways of each region and stripe, first rank first.
    pub gateways: BTreeMap<Region, [Vec<Candidate>; STRIPES as usize]>,
    /// The region of the origin.
    pub home: Option<Region>,
    /// The other regions, in order.
    pub remote: Vec<Region>,
}

/// The stripe of a chunk.
pub fn stripe(chunk: u32) -> u32 {
    chunk % STRIPES
}

impl Plan {
    /// The plan of `me` among `members`, all of which want the manifest.
    pub fn of(
        policy: Policy,
        manifest: &Digest,
        me: &host::Name,
        region: &Region,
        home: Option<&Region>,
        members: &[&Member],
    ) -> Plan {
        let mut regions: BTreeMap<&Region, Vec<&Member>> = BTreeMap::new();
        for member in members {
            regions.entry(&member.region).or_default().push(member);
        }
        let home = home.or(regions.keys().next().copied()).cloned();
        let gateways: BTreeMap<Region, _> = regions
            .iter()
            .map(|(region, members)| {
                let gateways = match policy {
                    Policy::Swarm | Policy::Origin => gateways(manifest, members),
                    Policy::Tree => roots(manifest, members),
                };
                ((*region).clone(), gateways)
            })
            .collect();
        let ranks = match gateways.get(region) {
            _ if policy == Policy::Origin => [Some(0); STRIPES as usize],
            Some(stripes) => {
                std::array::from_fn(|stripe| stripes[stripe].iter().position(|one| one.host == *me))
            }
            None => [None; STRIPES as usize],
        };
        let local = regions.get(region).map_or(&[][..], |members| members);
        Plan {
            policy,
            neighbours: match policy {
                Policy::Swarm => neighbours(manifest, me, local),
                Policy::Tree => parent(manifest, me, local),
                Policy::Origin => Vec::new(),
            },
            ranks,
            remote: gateways
                .keys()
                .filter(|region| Some(*region) != home.as_ref())
                .cloned()
                .collect(),
            gateways,
            home,
        }
    }

    /// Whether this agent has a part in bringing chunks into its region.
    pub fn is_gateway(&self) -> bool {
        self.ranks.iter().any(Option::is_some)
    }

    /// The region from which `region` takes a chunk; none means the origin.
    ///
    /// A chunk passes through the remote regions in a chain, and chains start
    /// at each of them in turn, so that every link between regions carries an
    /// equal part.
    pub fn upstream(&self, region: &Region, chunk: u32) -> Option<&Region> {
        if Some(region) == self.home.as_ref() || self.policy == Policy::Origin {
            return None;
        }
        if self.policy == Policy::Tree {
            return self.home.as_ref();
        }
        let own = self.remote.iter().position(|remote| remote == region)?;
        let count = self.remote.len();
        let first = (chunk / STRIPES) as usize % count;
        if own == first {
            return self.home.as_ref();
        }
        Some(&self.remote[(own + count - 1) % count])
    }

    /// The gateways in reserve order for a chunk in a region.
    pub fn gateways(&self, region: &Region, chunk: u32) -> &[Candidate] {
        self.gateways
            .get(region)
            .map_or(&[], |stripes| &stripes[stripe(chunk) as usize])
    }
}

/// How many agents of a region come before `me` in the order that a name gives:
/// the order in which they stand by to do what one of them has to do.
pub fn rank(view: &View, me: &host::Name, region: &Region, name: &Digest) -> usize {
    let own = weight(name, RANK_PURPOSE, me);
    let local = view.members.iter().filter(|one| one.region == *region);
    let agents = local.filter(|one| one.role == Role::Agent && one.host != *me);
    agents
        .filter(|one| weight(name, RANK_PURPOSE, &one.host) > own)
        .count()
}

/// The highest random weight of a host for a purpose.
pub(crate) fn weight(manifest: &Digest, purpose: &[u8], host: &host::Name) -> u64 {
    let mut hasher = blake3::Hasher::new_keyed(manifest.as_bytes());
    hasher.update(purpose);
    hasher.update(host.as_str().as_bytes());
    let hash = hasher.finalize();
    let first = hash.as_bytes().first_chunk().expect("a digest is longer");
    u64::from_le_bytes(*first)
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        host: member.host.clone(),
        address: member.address,
    }
}

fn gateways(manifest: &Digest, members: &[&Member]) -> [Vec<Candidate>; STRIPES as usize] {
    let mut taken: Vec<&host::Name> = Vec::new();
    let mut orders: [Vec<&Member>; STRIPES as usize] = Default::default();
    for (stripe, chosen) in orders.iter_mut().enumerate() {
        let mut order = members.to_vec();
        let purpose = [stripe as u8];
        order.sort_by_cached_key(|member| {
            std::cmp::Reverse(weight(manifest, &purpose, &member.host))
        });
        // No host is the first for two stripes while others are for none.
        let free = order
            .iter()
            .position(|member| !taken.contains(&&member.host));
        let first = order.remove(free.unwrap_or(0));
        taken.push(&first.host);
        chosen.push(first);
        chosen.extend(order.into_iter().take(RESERVES));
    }
    orders.map(|order| order.into_iter().map(candidate).collect())
}

/// All hosts of a region in the order of its tree, the root first.
fn tree<'a>(manifest: &Digest, members: &[&'a Member]) -> Vec<&'a Member> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|one| std::cmp::Reverse(weight(manifest, b"tree", &one.host)));
    order
}

fn roots(manifest: &Digest, members: &[&Member]) -> [Vec<Candidate>; STRIPES as usize] {
    let order = tree(manifest, members);
    let roots: Vec<Candidate> = order.into_iter().take(1).map(candidate).collect();
    std::array::from_fn(|_| roots.clone())
}

fn parent(manifest: &Digest, me: &host::Name, members: &[&Member]) -> Vec<Candidate> {
    let order = tree(manifest, members);
    let own = order.iter().position(|one| one.host == *me);
    let parent = own.and_then(|own| own.checked_sub(1));
    let parent = parent.map(|before| candidate(order[before / FANOUT]));
    parent.into_iter().collect()
}

fn neighbours(manifest: &Digest, me: &host::Name, members: &[&Member]) -> Vec<Candidate> {
    let mut others: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|member| member.host != *me)
        .collect();
    let count = DIALS_MIN.max(members.len().next_power_of_two().ilog2() as usize);
    others.sort_by_cached_key(|member| {
        std::cmp::Reverse(weight(manifest, me.as_str().as_bytes(), &member.host))
    });
    others.into_iter().take(count).map(candidate).collect()
}
