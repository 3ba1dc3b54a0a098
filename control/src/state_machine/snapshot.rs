//! The snapshot of the replicated state: its format number, a checksum, and the state as JSON.
//!
//! The field names of [`State`] and of everything in it are stored and sent to other members: a renamed field keeps its
//! stored name with `#[serde(rename)]`. A snapshot is read in full or rejected; numbers are little-endian.

use super::{ApplyError, FORMAT};
use crate::{lease, versions};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The state that entries change, as a snapshot holds it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub(super) struct State {
    pub(super) leases: lease::Table,
    pub(super) versions: versions::Table,
}

/// [`State`] by reference, so that encoding copies nothing; its fields are in the same order.
#[derive(Serialize)]
struct StateRef<'a> {
    leases: &'a lease::Table,
    versions: &'a versions::Table,
}

/// Encodes the state. The same state always gives the same bytes.
pub(super) fn encode(leases: &lease::Table, versions: &versions::Table) -> Vec<u8> {
    // JSON can hold every state: its map keys are numbers and plain enums, so this never fails.
    let state = serde_json::to_vec(&StateRef { leases, versions }).unwrap_or_default();
    let mut bytes = FORMAT.to_le_bytes().to_vec();
    bytes.extend(xxh3_64(&state).to_le_bytes());
    bytes.extend(state);
    bytes
}

/// Decodes what [`encode`] wrote.
///
/// # Errors
///
/// [`ApplyError::SnapshotFormat`] if a build with another format wrote it, [`ApplyError::SnapshotDamaged`] if the bytes
/// are truncated, do not match the checksum, or do not decode to a state.
pub(super) fn decode(bytes: &[u8]) -> Result<State, ApplyError> {
    let damaged = |reason: &str| ApplyError::SnapshotDamaged(reason.to_owned());
    let too_short = || damaged("it is too short");
    let (format, rest) = bytes.split_first_chunk::<4>().ok_or_else(too_short)?;
    let found = u32::from_le_bytes(*format);
    if found != FORMAT {
        return Err(ApplyError::SnapshotFormat { found });
    }
    let (checksum, state) = rest.split_first_chunk::<8>().ok_or_else(too_short)?;
    if u64::from_le_bytes(*checksum) != xxh3_64(state) {
        return Err(damaged("its checksum does not match"));
    }
    serde_json::from_slice(state).map_err(|error| damaged(&error.to_string()))
}

#[cfg(test)]
mod tests;
