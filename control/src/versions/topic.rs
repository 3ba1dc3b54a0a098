//! Topics, their versions, and the contents of versions, which are opaque here.

use super::{Index, NodeIdentity};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum length of a version's content, bytes. Control members keep two contents per topic in memory.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// Maximum length of the reason of a nack, bytes. Longer reasons are truncated.
pub const MAX_REASON_BYTES: usize = 200;

/// Truncates the reason of a nack to at most [`MAX_REASON_BYTES`], at a character boundary.
pub(super) fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}

/// A part of the fleet's configuration that has its own sequence of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The operator's file. The content of its versions is a digest of the file.
    Operator,
    /// The placement of tenants in cells.
    Placement,
    /// The valid statements, and the schema that they need.
    Catalog,
    /// The format that the gateways of the fleet write.
    Program,
}

impl Topic {
    /// All topics. Their order never changes: log entries and messages name a topic by its position.
    pub const ALL: [Topic; 4] = [
        Topic::Operator,
        Topic::Placement,
        Topic::Catalog,
        Topic::Program,
    ];

    /// The position in [`Topic::ALL`], which stands for the topic in log entries and messages.
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
    /// The oldest supported format.
    pub oldest: u32,
    /// The newest supported format, inclusive.
    pub newest: u32,
}

impl Formats {
    /// Whether the build can validate contents of this format.
    pub fn supports(self, format: u32) -> bool {
        (self.oldest..=self.newest).contains(&format)
    }
}

/// The content of a version, which only the caller interprets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content {
    /// The format that a build must support to validate it.
    pub format: u32,
    /// The encoded content, up to [`MAX_CONTENT_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

/// A version of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The index of the entry that proposed it: unique, and higher than the numbers of all earlier versions.
    pub number: u64,
    /// What gateways validate, and act on once the version is active.
    pub content: Content,
}

/// A version that is proposed and not active yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The version that the gateways validate before it becomes active.
    pub version: Version,
    /// The gateway that proposed it.
    pub by: NodeIdentity,
    /// The numbers of the gateways that have acked it.
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
    /// The index of the entry that last changed any of these fields.
    #[serde(rename = "changed")]
    pub last_changed: Index,
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
