//! The file format of a published placement: versioned, checksummed, and rejected when its epoch is older than the one in
//! force.

use super::placement::{Placement, Published};
use super::{stable_hash, Epoch};
use asterreel_control::settings::SettingError;

/// The first word of the head line. `VERSION` changes when an older program could misread the rest of the file.
const MAGIC: &str = "asterreel-placement";
const VERSION: u32 = 1;
/// The longest placement that is decoded; one with 100,000 explicitly placed tenants takes about 10 MiB.
pub const MAX_LENGTH_BYTES: usize = 64 << 20;

/// Why a file was rejected. The placement in force stays.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Cut short, or not a placement.
    #[error("the file is cut short or is not a placement; publish the placement again")]
    Truncated,
    /// The file has another version.
    #[error("the file has version {0}, but this program reads version {VERSION}; publish it with the gateways' version")]
    Version(u32),
    /// The content does not match its checksum.
    #[error("the content does not match its checksum; publish the placement again")]
    Checksum,
    /// The epoch of the file, the first, is older than the second, which is in force.
    #[error("its epoch {} is older than {}, which is in force; publish a newer epoch", .0.0, .1.0)]
    Outdated(Epoch, Epoch),
    /// The content is not a valid placement.
    #[error(transparent)]
    Contradictory(#[from] SettingError),
}

/// Encodes a placement: a head line with version, length and checksum, then JSON.
///
/// # Errors
///
/// The placement can't be written as JSON.
pub fn encode(published: &Published) -> Result<Vec<u8>, serde_json::Error> {
    let body = serde_json::to_vec(published)?;
    let head = format!(
        "{MAGIC} {VERSION} {} {:016x}\n",
        body.len(),
        stable_hash(&body)
    );
    Ok([head.as_bytes(), &body].concat())
}

/// Decodes and checks a placement whose epoch must be at least `in_force`.
///
/// # Errors
///
/// [`RecordError`], if the bytes are damaged, the placement is invalid, or its epoch is older than `in_force`.
pub fn decode(bytes: &[u8], in_force: Epoch) -> Result<Placement, RecordError> {
    let end = bytes
        .iter()
        .take(128)
        .position(|byte| *byte == b'\n')
        .ok_or(RecordError::Truncated)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| RecordError::Truncated)?;
    let fields: Vec<&str> = head.split(' ').collect();
    let [MAGIC, version, length, sum] = fields[..] else {
        return Err(RecordError::Truncated);
    };
    let version: u32 = version.parse().map_err(|_| RecordError::Truncated)?;
    if version != VERSION {
        return Err(RecordError::Version(version));
    }
    let body = &bytes[end + 1..];
    if length.parse() != Ok(body.len()) || body.len() > MAX_LENGTH_BYTES {
        return Err(RecordError::Truncated);
    }
    if u64::from_str_radix(sum, 16) != Ok(stable_hash(body)) {
        return Err(RecordError::Checksum);
    }
    let mut json = serde_json::Deserializer::from_slice(body);
    let published: Published = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| SettingError::new(error.path().to_string(), error.inner().to_string()))?;
    if published.epoch < in_force {
        return Err(RecordError::Outdated(published.epoch, in_force));
    }
    Ok(Placement::new(published)?)
}
