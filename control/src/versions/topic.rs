//! Topics, their versions, and the contents of versions, which are opaque here.

use super::{Index, NodeIdentity};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The longest content of a version, bytes: control members keep two contents of each topic in memory.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// The longest reason of a nack that is kept, bytes.
pub const MAX_REASON_BYTES: usize = 200;

/// The reason of a nack, cut at a character boundary where it is longer than [`MAX_REASON_BYTES`].
pub(super) fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}

/// What a fleet has versions of. Each topic has its own sequence of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The operator's file; its content here is a digest.
    Operator,
    /// The placement of tenants in cells.
    Placement,
    /// The valid statements, and the schema that they need.
    Catalog,
    /// The format that gateways write.
    Program,
}

impl Topic {
    /// All topics; their order is the same in every version of the program.
    pub const ALL: [Topic; 4] = [
        Topic::Operator,
        Topic::Placement,
        Topic::Catalog,
        Topic::Program,
    ];

    /// Its place in [`Topic::ALL`], as written in log entries and messages.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// The topic with a number, if there is one.
    pub fn from_number(number: u32) -> Option<Topic> {
        usize::try_from(number)
            .ok()
            .and_then(|index| Topic::ALL.get(index))
            .copied()
    }
}

/// The range of content formats that a build supports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Formats {
    /// The oldest.
    pub oldest: u32,
    /// The newest.
    pub newest: u32,
}

impl Formats {
    /// Whether a content of this format can be validated.
    pub fn supports(self, format: u32) -> bool {
        (self.oldest..=self.newest).contains(&format)
    }
}

/// The content of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content {
    /// The format that a build must support to validate it.
    pub format: u32,
    /// Up to [`MAX_CONTENT_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

/// A version of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The index of the entry that proposed it: unique, and higher than those before it.
    pub number: u64,
    /// Its content.
    pub content: Content,
}

/// A version that is proposed and not active yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The version.
    pub version: Version,
    /// The gateway that proposed it.
    pub by: NodeIdentity,
    /// The gateways that have acked it.
    #[serde(rename = "accepted")]
    pub acked_by: BTreeSet<u32>,
}

/// The versions of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicStatus {
    /// The active version, once there is one.
    #[serde(rename = "in_force")]
    pub active: Option<Version>,
    /// The number of the version that was active before it; 0 is none.
    #[serde(rename = "before")]
    pub previous: u64,
    /// The proposed version, if there is one.
    #[serde(rename = "open")]
    pub proposal: Option<Proposal>,
    /// The entry that last changed any of these.
    pub changed: Index,
}

impl TopicStatus {
    /// The number of the active version; 0 is none.
    pub fn active_number(&self) -> u64 {
        self.active.as_ref().map_or(0, |version| version.number)
    }

    /// Whether the version of this number is proposed.
    pub fn is_proposed(&self, number: u64) -> bool {
        self.proposal
            .as_ref()
            .is_some_and(|proposal| proposal.version.number == number)
    }
}
