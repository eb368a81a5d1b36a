//! Which agents exchange chunks, and which bring them into each region.
//!
//! Every agent computes the plan on its own from the hosts in its membership
//! view, by rendezvous hashing (Thaler and Ravishankar 1998), so that a host
//! that joins or leaves changes only the assignments that involve it. Agents
//! with different views compute different plans until the views converge; that
//! costs extra transfers but never correctness.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::Digest;
use crate::host;
use crate::host::Region;
use crate::host::Role;
use crate::membership::Member;
use crate::membership::View;

/// Stripes among which chunks are divided; each has one first gateway in each
/// region.
pub const STRIPES: u32 = 4;
/// Standby gateways behind the first, for each stripe of a region.
pub const STANDBYS: usize = 2;
/// The fewest neighbours that an agent dials in its region, if it has that many
/// other agents.
const NEIGHBOURS_MIN: usize = 4;

/// Separates the weights of [`rank`] from those of other purposes.
const RANK_PURPOSE: &[u8] = b"rank";

/// Children of each host in the tree of [`Policy::Tree`].
const TREE_FANOUT: usize = 2;

/// Host with the address at which to dial it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The host's name.
    pub host: host::Name,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
}

/// How chunks are distributed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Gateways fetch chunks into their region; neighbours exchange them there.
    #[default]
    Swarm,
    /// Every host fetches every chunk from its parent in a tree; a baseline for
    /// comparison.
    Tree,
    /// Every host fetches every chunk from the origin; a baseline for
    /// comparison.
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

/// One agent's part in the distribution of one manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// How chunks are distributed.
    pub policy: Policy,
    /// The hosts to dial in the region of this agent.
    pub neighbours: Vec<Candidate>,
    /// The rank of this agent among the gateways of each stripe, if it is one:
    /// rank 0 fetches the chunks into the region, the others stand by.
    pub ranks: [Option<usize>; STRIPES as usize],
    /// The gateways of each region and stripe, in the order of their ranks.
    pub gateways: BTreeMap<Region, [Vec<Candidate>; STRIPES as usize]>,
    /// The region of the origin.
    pub origin_region: Option<Region>,
    /// The other regions, in the order of their names.
    pub remote_regions: Vec<Region>,
}

/// Returns the stripe of a chunk.
pub fn stripe(chunk: u32) -> u32 {
    chunk % STRIPES
}

impl Plan {
    /// Computes the plan of `me`, a host of `region`, among `members`, all of
    /// which want the manifest.
    ///
    /// Without an `origin_region`, the first region by name counts as the region
    /// of the origin.
    pub fn new(
        policy: Policy,
        manifest: &Digest,
        me: &host::Name,
        region: &Region,
        origin_region: Option<&Region>,
        members: &[&Member],
    ) -> Plan {
        let mut regions: BTreeMap<&Region, Vec<&Member>> = BTreeMap::new();
        for member in members {
            regions.entry(&member.region).or_default().push(member);
        }
        let origin_region = origin_region.or(regions.keys().next().copied()).cloned();
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
            remote_regions: gateways
                .keys()
                .filter(|region| Some(*region) != origin_region.as_ref())
                .cloned()
                .collect(),
            gateways,
            origin_region,
        }
    }

    /// Returns whether this agent is a gateway, first or standby, of any stripe.
    pub fn is_gateway(&self) -> bool {
        self.ranks.iter().any(Option::is_some)
    }

    /// Returns the region from which `region` fetches a chunk, or `None` if it
    /// fetches it from the origin.
    ///
    /// A chunk passes through the remote regions in a chain. The chains of
    /// successive chunks start at different regions, so that all links between
    /// regions carry the same load.
    pub fn source_region(&self, region: &Region, chunk: u32) -> Option<&Region> {
        if Some(region) == self.origin_region.as_ref() || self.policy == Policy::Origin {
            return None;
        }
        if self.policy == Policy::Tree {
            return self.origin_region.as_ref();
        }
        let own = self
            .remote_regions
            .iter()
            .position(|remote| remote == region)?;
        let count = self.remote_regions.len();
        let first = (chunk / STRIPES) as usize % count;
        if own == first {
            return self.origin_region.as_ref();
        }
        Some(&self.remote_regions[(own + count - 1) % count])
    }

    /// Returns the gateways of a chunk in a region, in the order of their ranks.
    pub fn gateways(&self, region: &Region, chunk: u32) -> &[Candidate] {
        self.gateways
            .get(region)
            .map_or(&[], |stripes| &stripes[stripe(chunk) as usize])
    }
}

/// Returns how many agents of a region precede `me` in the rendezvous order of
/// `name`: the order in which they stand by for a task that one of them has to
/// do.
pub fn rank(view: &View, me: &host::Name, region: &Region, name: &Digest) -> usize {
    let own = weight(name, RANK_PURPOSE, me);
    let local = view.members.iter().filter(|one| one.region == *region);
    let agents = local.filter(|one| one.role == Role::Agent && one.host != *me);
    agents
        .filter(|one| weight(name, RANK_PURPOSE, &one.host) > own)
        .count()
}

/// Computes the rendezvous weight of a host for a purpose; the host with the
/// highest weight comes first.
pub(crate) fn weight(manifest: &Digest, purpose: &[u8], host: &host::Name) -> u64 {
    let mut hasher = blake3::Hasher::new_keyed(manifest.as_bytes());
    hasher.update(purpose);
    hasher.update(host.as_str().as_bytes());
    let hash = hasher.finalize();
    let first = hash
        .as_bytes()
        .first_chunk()
        .expect("a BLAKE3 digest has more than 8 bytes");
    u64::from_le_bytes(*first)
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        host: member.host.clone(),
        address: member.address,
    }
}

fn gateways(manifest: &Digest, members: &[&Member]) -> [Vec<Candidate>; STRIPES as usize] {
    let mut first_hosts: Vec<&host::Name> = Vec::new();
    let mut orders: [Vec<&Member>; STRIPES as usize] = Default::default();
    for (stripe, gateways) in orders.iter_mut().enumerate() {
        let mut order = members.to_vec();
        let purpose = [stripe as u8];
        order.sort_by_cached_key(|member| {
            std::cmp::Reverse(weight(manifest, &purpose, &member.host))
        });
        // No host is the first gateway of two stripes while another host is the
        // first of none.
        let unused = order
            .iter()
            .position(|member| !first_hosts.contains(&&member.host));
        let first = order.remove(unused.unwrap_or(0));
        first_hosts.push(&first.host);
        gateways.push(first);
        gateways.extend(order.into_iter().take(STANDBYS));
    }
    orders.map(|order| order.into_iter().map(candidate).collect())
}

/// Returns all hosts of a region in the breadth-first order of its tree.
fn tree_order<'a>(manifest: &Digest, members: &[&'a Member]) -> Vec<&'a Member> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|one| std::cmp::Reverse(weight(manifest, b"tree", &one.host)));
    order
}

fn roots(manifest: &Digest, members: &[&Member]) -> [Vec<Candidate>; STRIPES as usize] {
    let order = tree_order(manifest, members);
    let roots: Vec<Candidate> = order.into_iter().take(1).map(candidate).collect();
    std::array::from_fn(|_| roots.clone())
}

fn parent(manifest: &Digest, me: &host::Name, members: &[&Member]) -> Vec<Candidate> {
    let order = tree_order(manifest, members);
    let own = order.iter().position(|one| one.host == *me);
    let parent = own.and_then(|own| own.checked_sub(1));
    let parent = parent.map(|before| candidate(order[before / TREE_FANOUT]));
    parent.into_iter().collect()
}

fn neighbours(manifest: &Digest, me: &host::Name, members: &[&Member]) -> Vec<Candidate> {
    let mut others: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|member| member.host != *me)
        .collect();
    let count = NEIGHBOURS_MIN.max(members.len().next_power_of_two().ilog2() as usize);
    others.sort_by_cached_key(|member| {
        std::cmp::Reverse(weight(manifest, me.as_str().as_bytes(), &member.host))
    });
    others.into_iter().take(count).map(candidate).collect()
}
