//! Where a tenant lives: the cell, and within it the groups that its requests may reach.
//!
//! Explicit placement first, then the key's range, else rendezvous hashing over the cells, and shuffle sharding of a
//! stated number of groups within the cell. Nothing is stored for a tenant that is not placed explicitly, and adding a
//! cell moves only those whose highest score it has.

use super::{mixed, stable_hash, CellId, Epoch};
use crate::interface::GroupId;
use asterreel_control::settings::{check_within, SettingError};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A cell's name and the groups it consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Its name, which its share of tenants hangs on: a renamed cell is a new one.
    pub name: String,
    /// Its groups.
    pub groups: Vec<u64>,
}

/// How keys are told apart by ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// By the bytes of the key.
    Bytes,
    /// By [`stable_hash`] of the key, as 16 hex digits.
    Hash,
}

/// Keys from one to below another live in a cell, whoever asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Its name.
    pub name: String,
    /// The first key.
    pub from: String,
    /// The first key past it; left out, there is no end.
    pub to: Option<String>,
    /// The cell.
    pub cell: CellId,
}

impl Range {
    fn contains(&self, key: &[u8]) -> bool {
        key >= self.from.as_bytes() && self.to.as_ref().is_none_or(|to| key < to.as_bytes())
    }

    fn overlaps(&self, other: &Range) -> bool {
        let before = |one: &Range, two: &Range| one.to.as_ref().is_some_and(|to| *to <= two.from);
        !before(self, other) && !before(other, self)
    }
}

/// A tenant that lives where the operator or a migration put it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Home {
    /// Its cell.
    pub cell: CellId,
    /// The epoch of this placement.
    pub epoch: Epoch,
    /// Requests that write are not to be sent now: it is being moved.
    #[serde(default)]
    pub held: bool,
    /// It moved a moment ago: reads of what a session wrote go to the primary.
    #[serde(default)]
    pub settling: bool,
}

/// What was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The cell and its epoch, and whether it is being moved.
    pub home: Home,
    /// How many groups the tenant has, and which.
    count: u8,
    groups: [u64; MAX_GROUPS],
}

/// The most groups that one tenant is spread over.
pub const MAX_GROUPS: usize = 8;

impl Place {
    /// The groups that the tenant's requests may reach, best first.
    pub fn groups(&self) -> &[u64] {
        &self.groups[..usize::from(self.count)]
    }

    /// The group that serves what a client calls a cluster: clients count from 0 and know no cells.
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

/// All of it; see the module.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Grows with every change of anything below.
    pub epoch: Epoch,
    cells: Vec<Cell>,
    salts: Vec<u64>,
    spread: usize,
    order: Order,
    ranges: Vec<Range>,
    homes: HashMap<Box<str>, Home>,
}

/// What a placement is made of, as it is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// See [`Placement::epoch`].
    pub epoch: Epoch,
    /// The cells.
    pub cells: Vec<Cell>,
    /// Groups of each tenant, 1 to 8.
    pub spread: usize,
    /// How ranges are read.
    pub order: Order,
    /// The ranges.
    pub ranges: Vec<Range>,
    /// Tenants that are placed explicitly.
    pub homes: Vec<(String, Home)>,
}

impl Placement {
    /// Checks what was published.
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
        for place in 0..cells.len() {
            check_cell(&cells, place, spread)?;
        }
        for place in 0..ranges.len() {
            check_range(&ranges, place, cells.len())?;
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

    /// The cells.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Where a tenant's requests go, and where a key's do if it is in a range.
    pub fn place(&self, tenant: &str, key: &[u8]) -> Place {
        let hash = stable_hash(tenant.as_bytes());
        let home = self.range(key).or_else(|| self.homes.get(tenant).copied());
        let home = home.unwrap_or_else(|| self.hashed(hash));
        let mut place = Place {
            home,
            count: 0,
            groups: [0; MAX_GROUPS],
        };
        let mut scores = [0; MAX_GROUPS];
        let Some(cell) = self.cells.get(usize::from(home.cell.0)) else {
            return place;
        };
        // The best of few: an insertion into a short array beats any sort.
        for group in &cell.groups {
            let score = mixed(hash, group.wrapping_add(1));
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

    fn range(&self, key: &[u8]) -> Option<Home> {
        if self.ranges.is_empty() || key.is_empty() {
            return None;
        }
        let hashed = format!("{:016x}", stable_hash(key));
        let key = if self.order == Order::Hash {
            hashed.as_bytes()
        } else {
            key
        };
        let after = self
            .ranges
            .partition_point(|range| range.from.as_bytes() <= key);
        let range = after
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

    fn hashed(&self, hash: u64) -> Home {
        let scores = self.salts.iter().map(|salt| mixed(hash, *salt)).enumerate();
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

    /// The most groups that any two of these tenants share, the mean, and how many pairs share all: what shuffle
    /// sharding leaves of a poisoned tenant's reach. Across cells it is 0 by construction.
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

/// How much tenants share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overlap {
    /// The most groups that two share.
    pub max_shared: usize,
    /// Pairs looked at, the groups that they share in all, and the pairs that share all of theirs.
    pub pairs: u64,
    /// See `pairs`.
    pub shared: u64,
    /// See `pairs`.
    pub full: u64,
}

/// There are cells, and no more than a [`CellId`] can number; tenants are spread over a possible number of groups.
fn check_sizes(cells: &[Cell], spread: usize) -> Result<(), SettingError> {
    if cells.is_empty() || cells.len() > usize::from(u16::MAX) {
        let fault = format!("{} of them", cells.len());
        return Err(SettingError::new("cells", fault));
    }
    check_within("spread", spread as u64, 1, MAX_GROUPS as u64)
}

/// The cell at `place` has a name of its own and enough groups, which no other cell has.
fn check_cell(cells: &[Cell], place: usize, spread: usize) -> Result<(), SettingError> {
    let (cell, earlier) = (&cells[place], &cells[..place]);
    let error = |fault: String| Err(SettingError::new(format!("cells[{place}]"), fault));
    if earlier.iter().any(|other| other.name == cell.name) {
        return error(format!("{:?} is the name of two", cell.name));
    }
    if cell.groups.len() < spread {
        return error(format!(
            "{:?} has {} groups, and spread is {spread}",
            cell.name,
            cell.groups.len()
        ));
    }
    for group in &cell.groups {
        // A group in two cells would carry what harms one into the other.
        let same_group = |other: &&Cell| other.groups.contains(group);
        if let Some(other) = earlier.iter().find(same_group) {
            return error(format!(
                "group {group} is in {:?} and in {:?}",
                other.name, cell.name
            ));
        }
        if cell.groups.iter().filter(|other| *other == group).count() > 1 {
            return error(format!("group {group} is named twice in {:?}", cell.name));
        }
    }
    Ok(())
}

/// The range at `place` names one of the `cell_count` cells, is not empty, and overlaps none before it.
fn check_range(ranges: &[Range], place: usize, cell_count: usize) -> Result<(), SettingError> {
    let (range, earlier) = (&ranges[place], &ranges[..place]);
    let error = |fault: String| Err(SettingError::new(format!("ranges[{place}]"), fault));
    if usize::from(range.cell.0) >= cell_count {
        return error(format!(
            "{:?} names cell {}, which is none",
            range.name, range.cell.0
        ));
    }
    if range.to.as_ref().is_some_and(|to| *to <= range.from) {
        return error(format!("{:?} ends where it begins, or before", range.name));
    }
    if let Some(other) = earlier.iter().find(|other| other.overlaps(range)) {
        return error(format!("{:?} and {:?} overlap", other.name, range.name));
    }
    Ok(())
}

/// The homes of tenants placed explicitly, each in one of the `cell_count` cells and no newer than `epoch`.
fn homes_by_tenant(
    homes: Vec<(String, Home)>,
    cell_count: usize,
    epoch: Epoch,
) -> Result<HashMap<Box<str>, Home>, SettingError> {
    let mut by_tenant = HashMap::with_capacity(homes.len());
    for (place, (tenant, home)) in homes.into_iter().enumerate() {
        let error = |fault: String| Err(SettingError::new(format!("homes[{place}]"), fault));
        if usize::from(home.cell.0) >= cell_count || home.epoch > epoch {
            let (cell, epoch) = (home.cell.0, home.epoch.0);
            return error(format!("{tenant:?}: cell {cell} at epoch {epoch}"));
        }
        if by_tenant
            .insert(tenant.clone().into_boxed_str(), home)
            .is_some()
        {
            return error(format!("{tenant:?} lives twice"));
        }
    }
    by_tenant.shrink_to_fit();
    Ok(by_tenant)
}
