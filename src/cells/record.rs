//! A published placement as bytes: versioned, checksummed, and never taken back to an older epoch.

use super::placement::{Placement, Published};
use super::{stable_hash, Epoch};
use asterreel_control::settings::SettingError;

/// The first line of a file; its version changes when an older program could misread what follows.
const MAGIC: &str = "asterreel-placement";
const VERSION: u32 = 1;
/// The longest file that is taken in: 100,000 tenants take about 10 MiB.
pub const MAX_LENGTH_BYTES: usize = 64 << 20;

/// Why a file was not taken. The placement in force stays.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Cut short, or not such a file at all.
    #[error("it is cut short, or no placement")]
    Truncated,
    /// Of another version.
    #[error("it is of version {0}, and this program reads {VERSION}")]
    Version(u32),
    /// What it holds is not what was written.
    #[error("its checksum does not match")]
    Checksum,
    /// Its epoch, the first, is older than the second, which is in force.
    #[error("its epoch {} is older than {}", .0.0, .1.0)]
    Outdated(Epoch, Epoch),
    /// It contradicts itself.
    #[error(transparent)]
    Contradictory(#[from] SettingError),
}

/// The bytes of a placement: a head line with version, length and checksum, then JSON.
///
/// # Errors
///
/// The placement cannot be written as JSON.
pub fn encode(published: &Published) -> Result<Vec<u8>, serde_json::Error> {
    let body = serde_json::to_vec(published)?;
    let head = format!(
        "{MAGIC} {VERSION} {} {:016x}\n",
        body.len(),
        stable_hash(&body)
    );
    Ok([head.as_bytes(), &body].concat())
}

/// Reads a placement that is to follow one of epoch `held`; a newer or equal one is taken.
///
/// # Errors
///
/// [`RecordError`], where the bytes are damaged, or older than what is held.
pub fn decode(bytes: &[u8], held: Epoch) -> Result<Placement, RecordError> {
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
    if published.epoch < held {
        return Err(RecordError::Outdated(published.epoch, held));
    }
    Ok(Placement::new(published)?)
}
