//! The placement of a tenant: its cell, and within the cell the groups that its requests may reach.
//!
//! The range of the request's key decides first, then explicit placement of the tenant, else rendezvous hashing over the
//! cells. Shuffle sharding selects a set number of groups within the cell. Nothing is stored for a tenant that is not placed
//! explicitly, and adding a cell moves only the tenants for which the new cell has the highest score.

use super::{mix, stable_hash, CellId, Epoch};
use crate::interface::GroupId;
use asterreel_control::settings::{check_within, SettingError};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A cell's name and the groups it consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The cell's name. Tenants are hashed to cells by name, so that a renamed cell counts as a new one.
    pub name: String,
    /// The numbers of its groups; a group belongs to one cell only.
    pub groups: Vec<u64>,
}

/// What the bounds of ranges are compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// The bytes of the key.
    Bytes,
    /// [`stable_hash`] of the key, as 16 hex digits.
    Hash,
}

/// A range of keys that are placed in a cell, whichever tenant they belong to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The name of the range, for error messages.
    pub name: String,
    /// The first key of the range.
    pub from: String,
    /// The first key after the range; without it the range has no end.
    pub to: Option<String>,
    /// The cell of the keys.
    pub cell: CellId,
}

impl Range {
    fn contains(&self, key: &[u8]) -> bool {
        key >= self.from.as_bytes() && self.to.as_ref().is_none_or(|to| key < to.as_bytes())
    }

    fn overlaps(&self, other: &Range) -> bool {
        let ends_before =
            |one: &Range, two: &Range| one.to.as_ref().is_some_and(|to| *to <= two.from);
        !ends_before(self, other) && !ends_before(other, self)
    }
}

/// The cell of a tenant or key, and the state of the tenant's migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Home {
    /// The cell whose groups serve the tenant or key.
    pub cell: CellId,
    /// The epoch at which this home was published.
    pub epoch: Epoch,
    /// Whether writes are held, because the tenant is being migrated.
    #[serde(default)]
    pub held: bool,
    /// Whether the tenant was migrated recently, so that a session's reads of its own writes go to the primary.
    #[serde(default)]
    pub settling: bool,
}

/// Where the requests of a tenant go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The cell and its epoch, and the state of the tenant's migration.
    pub home: Home,
    /// How many elements of `groups` are in use.
    count: u8,
    groups: [u64; MAX_GROUPS],
}

/// The most groups over which one tenant can be spread.
pub const MAX_GROUPS: usize = 8;

impl Place {
    /// The groups that the tenant's requests may reach, by descending score.
    pub fn groups(&self) -> &[u64] {
        &self.groups[..usize::from(self.count)]
    }

    /// The group that serves a cluster number of a client. Clients number clusters from 0 and do not know cells.
    pub fn group(&self, cluster: u64) -> GroupId {
        let groups = self.groups();
        GroupId(
            groups
                .get((cluster % groups.len().max(1) as u64) as usize)
                .copied()
                .unwrap_or_default(),
        )
    }
}

/// A checked placement, which resolves tenants and keys; see the module.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The version of the placement, which grows with every change of the fields below.
    pub epoch: Epoch,
    cells: Vec<Cell>,
    /// By cell, the hash of its name.
    salts: Vec<u64>,
    spread: usize,
    order: Order,
    ranges: Vec<Range>,
    homes: HashMap<Box<str>, Home>,
}

/// A placement as it is published and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// See [`Placement::epoch`].
    pub epoch: Epoch,
    /// The cells; a [`CellId`] is an index into them.
    pub cells: Vec<Cell>,
    /// The number of groups of each tenant, 1 to 8.
    pub spread: usize,
    /// What the bounds of `ranges` are compared with.
    pub order: Order,
    /// Ranges of keys with a cell of their own.
    pub ranges: Vec<Range>,
    /// The homes of tenants that are placed explicitly, by the operator or a migration.
    pub homes: Vec<(String, Home)>,
}

impl Placement {
    /// Checks a published placement.
    ///
    /// # Errors
    ///
    /// [`SettingError`]: the key at fault and what is wrong with it.
    pub fn new(published: Published) -> Result<Placement, SettingError> {
        let Published {
            epoch,
            cells,
            spread,
            order,
            mut ranges,
            homes,
        } = published;
        check_sizes(&cells, spread)?;
        for index in 0..cells.len() {
            check_cell(&cells, index, spread)?;
        }
        for index in 0..ranges.len() {
            check_range(&ranges, index, cells.len())?;
        }
        ranges.sort_by(|one, other| one.from.cmp(&other.from));
        let homes = homes_by_tenant(homes, cells.len(), epoch)?;
        let salts = cells
            .iter()
            .map(|cell| stable_hash(cell.name.as_bytes()))
            .collect();
        Ok(Placement {
            epoch,
            cells,
            salts,
            spread,
            order,
            ranges,
            homes,
        })
    }

    /// The cells, in the order of [`CellId`].
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Where a tenant's request goes; a key that is in a range decides over the tenant's home.
    pub fn place(&self, tenant: &str, key: &[u8]) -> Place {
        let hash = stable_hash(tenant.as_bytes());
        let home = self
            .home_by_range(key)
            .or_else(|| self.homes.get(tenant).copied());
        let home = home.unwrap_or_else(|| self.home_by_hash(hash));
        let mut place = Place {
            home,
            count: 0,
            groups: [0; MAX_GROUPS],
        };
        let mut scores = [0; MAX_GROUPS];
        let Some(cell) = self.cells.get(usize::from(home.cell.0)) else {
            return place;
        };
        // Insertion into an array of at most 8 scores: for so few it is faster than sorting all groups.
        for group in &cell.groups {
            let score = mix(hash, group.wrapping_add(1));
            let at = scores[..usize::from(place.count)]
                .iter()
                .position(|other| score > *other);
            let at = at.unwrap_or(usize::from(place.count));
            if at >= self.spread {
                continue;
            }
            place.count = (place.count + 1).min(self.spread as u8);
            let end = usize::from(place.count);
            place.groups.copy_within(at..end - 1, at + 1);
            scores.copy_within(at..end - 1, at + 1);
            (place.groups[at], scores[at]) = (*group, score);
        }
        place
    }

    fn home_by_range(&self, key: &[u8]) -> Option<Home> {
        if self.ranges.is_empty() || key.is_empty() {
            return None;
        }
        let hashed = format!("{:016x}", stable_hash(key));
        let key = if self.order == Order::Hash {
            hashed.as_bytes()
        } else {
            key
        };
        let next = self
            .ranges
            .partition_point(|range| range.from.as_bytes() <= key);
        let range = next
            .checked_sub(1)
            .map(|at| &self.ranges[at])
            .filter(|range| range.contains(key))?;
        Some(Home {
            cell: range.cell,
            epoch: self.epoch,
            held: false,
            settling: false,
        })
    }

    fn home_by_hash(&self, hash: u64) -> Home {
        let scores = self.salts.iter().map(|salt| mix(hash, *salt)).enumerate();
        let best = scores
            .max_by_key(|(_, score)| *score)
            .map_or(0, |(cell, _)| cell);
        Home {
            cell: CellId(best as u16),
            epoch: self.epoch,
            held: false,
            settling: false,
        }
    }

    /// How many groups pairs of these tenants share: how far a tenant whose statements crash members affects others
    /// despite shuffle sharding. Tenants of different cells share none by construction.
    pub fn overlap<'a>(&self, tenants: impl Iterator<Item = &'a str>) -> Overlap {
        let places: Vec<Place> = tenants.map(|tenant| self.place(tenant, b"")).collect();
        let mut overlap = Overlap::default();
        for (at, one) in places.iter().enumerate() {
            for other in &places[..at] {
                let shared = one
                    .groups()
                    .iter()
                    .filter(|group| other.groups().contains(group))
                    .count();
                overlap.max_shared = overlap.max_shared.max(shared);
                overlap.pairs += 1;
                overlap.shared += shared as u64;
                overlap.full += u64::from(shared == self.spread);
            }
        }
        overlap
    }
}

/// How many groups pairs of tenants share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overlap {
    /// The most groups that two tenants share.
    pub max_shared: usize,
    /// The number of pairs of tenants.
    pub pairs: u64,
    /// The number of shared groups, summed over all pairs.
    pub shared: u64,
    /// The number of pairs that share all of their groups.
    pub full: u64,
}

/// Checks that there are cells, no more than a [`CellId`] can number, and that `spread` is possible.
fn check_sizes(cells: &[Cell], spread: usize) -> Result<(), SettingError> {
    if cells.is_empty() || cells.len() > usize::from(u16::MAX) {
        let fault = format!("{} cells; list 1 to {}", cells.len(), u16::MAX);
        return Err(SettingError::new("cells", fault));
    }
    check_within("spread", spread as u64, 1, MAX_GROUPS as u64)
}

/// Checks that the cell at `index` has a name of its own and enough groups, which no earlier cell has.
fn check_cell(cells: &[Cell], index: usize, spread: usize) -> Result<(), SettingError> {
    let (cell, earlier) = (&cells[index], &cells[..index]);
    let error = |fault: String| Err(SettingError::new(format!("cells[{index}]"), fault));
    if earlier.iter().any(|other| other.name == cell.name) {
        return error(format!(
            "{:?} is already the name of another cell; rename one of them",
            cell.name
        ));
    }
    if cell.groups.len() < spread {
        return error(format!(
            "{:?} has {} groups, but spread is {spread}; add groups or lower spread",
            cell.name,
            cell.groups.len()
        ));
    }
    for group in &cell.groups {
        // A group in two cells would let the load and crashes of one cell affect the other.
        let same_group = |other: &&Cell| other.groups.contains(group);
        if let Some(other) = earlier.iter().find(same_group) {
            return error(format!(
                "group {group} is in {:?} and in {:?}; remove it from one of them",
                other.name, cell.name
            ));
        }
        if cell.groups.iter().filter(|other| *other == group).count() > 1 {
            return error(format!(
                "group {group} is listed twice in {:?}; remove one of them",
                cell.name
            ));
        }
    }
    Ok(())
}

/// Checks that the range at `index` has one of the `cell_count` cells, is not empty, and overlaps no earlier one.
fn check_range(ranges: &[Range], index: usize, cell_count: usize) -> Result<(), SettingError> {
    let (range, earlier) = (&ranges[index], &ranges[..index]);
    let error = |fault: String| Err(SettingError::new(format!("ranges[{index}]"), fault));
    if usize::from(range.cell.0) >= cell_count {
        return error(format!(
            "{:?} has cell {}, but there are only {cell_count} cells, counted from 0",
            range.name, range.cell.0
        ));
    }
    if range.to.as_ref().is_some_and(|to| *to <= range.from) {
        return error(format!(
            "{:?} is empty; set its end above its beginning, {:?}",
            range.name, range.from
        ));
    }
    if let Some(other) = earlier.iter().find(|other| other.overlaps(range)) {
        return error(format!(
            "{:?} and {:?} overlap; each key must be in one range at most",
            other.name, range.name
        ));
    }
    Ok(())
}

/// Indexes the homes of explicitly placed tenants, and checks that each has one of the `cell_count` cells and is no newer
/// than `epoch`, the placement's.
fn homes_by_tenant(
    homes: Vec<(String, Home)>,
    cell_count: usize,
    epoch: Epoch,
) -> Result<HashMap<Box<str>, Home>, SettingError> {
    let mut by_tenant = HashMap::with_capacity(homes.len());
    for (index, (tenant, home)) in homes.into_iter().enumerate() {
        let error = |fault: String| Err(SettingError::new(format!("homes[{index}]"), fault));
        if usize::from(home.cell.0) >= cell_count || home.epoch > epoch {
            return error(format!(
                "tenant {tenant:?} has cell {} at epoch {}; use a cell below {cell_count} and an epoch up to {}",
                home.cell.0, home.epoch.0, epoch.0
            ));
        }
        if by_tenant
            .insert(tenant.clone().into_boxed_str(), home)
            .is_some()
        {
            return error(format!(
                "tenant {tenant:?} is listed twice; keep one of its homes"
            ));
        }
    }
    by_tenant.shrink_to_fit();
    Ok(by_tenant)
}
