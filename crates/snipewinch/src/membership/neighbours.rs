//! Which other entries an entry keeps links to.
//!
//! Every entry ranks the others by a hash of both names (rendezvous hashing,
//! Thaler and Ravishankar 1998) and takes the first few of each distance. The
//! graph is random but stable: a host that comes or goes moves few links, and
//! links run from every region to every other.

use std::collections::BTreeMap;

use super::Member;
use super::View;
use crate::host;
use crate::host::Identity;
use crate::host::Role;

/// Entries of the same availability zone.
const ZONE_LINKS: usize = 3;
/// Entries of the same region, other zones.
const REGION_LINKS: usize = 2;
/// Entries of each other region.
const OTHER_REGION_LINKS: usize = 1;

/// The entries that `own` keeps links to.
pub fn choose<'a>(own: &Identity, view: &'a View) -> Vec<&'a Member> {
    let mut groups: BTreeMap<(usize, &host::Region), Vec<&Member>> = BTreeMap::new();
    for member in &view.members {
        if member.role != Role::Entry || member.host == own.host {
            continue;
        }
        let limit = match member {
            member if member.zone == own.zone && member.region == own.region => ZONE_LINKS,
            member if member.region == own.region => REGION_LINKS,
            _ => OTHER_REGION_LINKS,
        };
        groups
            .entry((limit, &member.region))
            .or_default()
            .push(member);
    }
    let mut chosen = Vec::new();
    for ((limit, _), mut members) in groups {
        members.sort_by_cached_key(|member| weight(&own.host, &member.host));
        members.truncate(limit);
        chosen.extend(members);
    }
    chosen
}

fn weight(ours: &host::Name, theirs: &host::Name) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(ours.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(theirs.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
