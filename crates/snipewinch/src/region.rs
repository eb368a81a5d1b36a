//! In which regions requests may be served and kept.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// A set of regions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Set {
    /// All regions.
    #[default]
    All,
    /// Only these, in ascending order; none at all if it is empty.
    Only(Vec<SmolStr>),
}

impl Set {
    /// The set of some regions; all regions if `regions` is empty.
    pub fn of(mut regions: Vec<SmolStr>) -> Set {
        regions.sort_unstable();
        regions.dedup();
        match regions.is_empty() {
            true => Set::All,
            false => Set::Only(regions),
        }
    }

    /// Whether a region belongs to the set.
    pub fn contains(&self, region: &str) -> bool {
        match self {
            Set::All => true,
            Set::Only(regions) => regions.iter().any(|one| one == region),
        }
    }

    /// The regions that belong to both sets.
    pub fn intersection(&self, other: &Set) -> Set {
        match (self, other) {
            (Set::All, set) | (set, Set::All) => set.clone(),
            (Set::Only(regions), other) => {
                let common = regions.iter().filter(|one| other.contains(one));
                Set::Only(common.cloned().collect())
            }
        }
    }
}

/// The most regions that are told apart.
const REGIONS_MAX: usize = 127;

/// The regions of a deployment and their availability zones.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// The regions, in ascending order.
    names: Vec<SmolStr>,
    zones: BTreeMap<SmolStr, Region>,
}

/// The region of a backend server: its index, or none if it is not known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Region(Option<u8>);

/// The regions of an [`Index`] that belong to a [`Set`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Mask(u128);

impl Index {
    /// The index of the regions of some zones.
    pub fn new<'a>(regions: impl Iterator<Item = (&'a SmolStr, &'a SmolStr)> + Clone) -> Index {
        let mut names: Vec<SmolStr> = regions.clone().map(|(_, region)| region.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names.truncate(REGIONS_MAX);
        let position = |region| Region(names.binary_search(region).ok().map(|at| at as u8));
        let zones = regions.map(|(zone, region)| (zone.clone(), position(region)));
        Index {
            zones: zones.collect(),
            names,
        }
    }

    /// The region of a zone.
    pub fn region(&self, zone: &str) -> Region {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Whether a zone is known.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// The regions of a set. Those that are not known are left out.
    pub fn mask(&self, set: &Set) -> Mask {
        match set {
            Set::All => Mask::ALL,
            Set::Only(_) => {
                let allowed = self.names.iter().enumerate();
                let allowed = allowed.filter(|(_, name)| set.contains(name));
                Mask(allowed.fold(0, |bits, (at, _)| bits | 1 << at))
            }
        }
    }
}

impl Mask {
    /// All regions, and servers whose region is not known.
    pub const ALL: Mask = Mask(u128::MAX);

    /// Whether a server of a region is in it.
    pub fn contains(self, region: Region) -> bool {
        match region.0 {
            Some(at) => self.0 & 1 << at != 0,
            None => self == Mask::ALL,
        }
    }

    /// The regions in both.
    pub fn intersection(self, other: Mask) -> Mask {
        Mask(self.0 & other.0)
    }

    /// Whether no region is in it.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}
