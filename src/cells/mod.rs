//! Which cell serves a tenant, what the cell may hold of this gateway, and how tenants migrate between cells.
//!
//! A *cell* is a set of database groups with bounds on what it may hold of this gateway. [`tenants`] resolves the tenant of
//! a request, [`placement`] the groups that the tenant's requests may reach, [`bulkhead`] whether the cell has capacity, and
//! [`quarantine`] whether the statement crashes members. [`migration`] moves a tenant from one cell to another such that no
//! two gateways write its data to two cells. The router selects the member; nothing here sends, waits or reads a clock.
//! `docs/design/cells.md` gives the reasons.

mod admission;
pub mod bulkhead;
pub mod migration;
pub mod placement;
pub mod quarantine;
pub mod record;
pub mod tenants;

pub use admission::{
    AdmissionRules, Admitted, Attempt, CellAdmission, Rejection, SendRefusal,
    LOST_CELL_RETRY_AFTER_US,
};

use serde::{Deserialize, Serialize};

/// A cell, by its index in the `cells` of the placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u16);

/// The number of a placement, which grows with each change: of two gateways, the one with the smaller epoch is behind.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// The hash of names, keys and normalized statements: XXH3 with 64 bits and no seed. Its definition is fixed, so that
/// gateways of all versions place a tenant in the same cell.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// The score of a candidate for a hash, in rendezvous hashing (Thaler and Ravishankar, 1998): the hash mixed with the salt of
/// the candidate by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
pub(crate) fn mix(hash: u64, salt: u64) -> u64 {
    let mut mixed = hash ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
