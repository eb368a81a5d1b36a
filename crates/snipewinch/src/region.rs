//! In which regions requests may be served and kept.

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
