//! Which part of the fleet a tenant may reach, and how tenants migrate between parts.
//!
//! A *cell* is a set of database groups with bounds on what it may hold of this gateway. [`tenants`] resolves who asks,
//! [`placement`] where that tenant's requests may go, [`bulkhead`] whether its cell has capacity, [`quarantine`] whether
//! what it asks kills members, and [`migration`] takes a tenant from one cell to another so that no two gateways write it to
//! two cells. The router still selects the member; nothing here sends, waits or reads a clock.
//! `docs/design/cells.md` says why it decides as it does.

mod admission;
pub mod bulkhead;
pub mod migration;
pub mod placement;
pub mod quarantine;
pub mod record;
pub mod tenants;

pub use admission::{AdmissionRules, Admitted, CellAdmission, Rejection, LOST_CELL_RETRY_AFTER_US};

use serde::{Deserialize, Serialize};

/// A cell, by its place in the operator's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u16);

/// The number of a placement: it only grows, and who holds a smaller one than another's is behind.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The one after.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// The hash of names, keys and shapes: XXH3 with 64 bits and no seed, whose definition is fixed, so that gateways of
/// all versions agree on who lives where.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Mixes a hash with the salt of a candidate, for rendezvous hashing (Thaler and Ravishankar, 1998): the finalizer of
/// SplitMix64 (Steele, Lea and Flood, 2014).
pub(crate) fn mixed(hash: u64, salt: u64) -> u64 {
    let mut mixed = hash ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
