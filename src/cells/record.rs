//! A published placement as bytes: versioned, checksummed, and never taken back to an older epoch.

use super::placement::{Placement, Published};
use super::{stable_hash, Epoch};

/// The first line of a file; its version changes when an older program could misread what follows.
const MAGIC: &str = "asterreel-placement";
const VERSION: u32 = 1;
/// The longest file that is taken in: 100,000 tenants take about 10 MiB.
pub const MAX_LENGTH_BYTES: usize = 64 << 20;

/// Why a file was not taken. The placement in force stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// Cut short, or not such a file at all.
    Truncated,
    /// Of another version.
    Version(u32),
    /// What it holds is not what was written.
    Checksum,
    /// Its epoch is older than the one in force.
    GoesBack(Epoch, Epoch),
    /// It contradicts itself: the key, and how.
    Faulty(String, String),
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RecordError::Truncated => write!(f, "it is cut short, or no placement"),
            RecordError::Version(found) => {
                write!(
                    f,
                    "it is of version {found}, and this program reads {VERSION}"
                )
            }
            RecordError::Checksum => write!(f, "its checksum does not match"),
            RecordError::GoesBack(found, held) => {
                write!(f, "its epoch {} is older than {}", found.0, held.0)
            }
            RecordError::Faulty(key, fault) => write!(f, "{key}: {fault}"),
        }
    }
}

impl std::error::Error for RecordError {}

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
/// [`Unusable`], where the bytes are damaged, or older than what is held.
pub fn decode(bytes: &[u8], held: Epoch) -> Result<Placement, RecordError> {
    let end = bytes
        .iter()
        .take(128)
        .position(|byte| *byte == b'\n')
        .ok_or(RecordError::Truncated)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| RecordError::Truncated)?;
    let words: Vec<&str> = head.split(' ').collect();
    let [MAGIC, version, length, sum] = words[..] else {
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
    let published: Published = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        RecordError::Faulty(error.path().to_string(), error.inner().to_string())
    })?;
    if published.epoch < held {
        return Err(RecordError::GoesBack(published.epoch, held));
    }
    Placement::new(published).map_err(|(key, fault)| RecordError::Faulty(key, fault))
}
