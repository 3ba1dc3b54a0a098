//! The states of the topics as last received from the leader. Older states, and states after a gap, are ignored.

use crate::lease::Index;
use crate::versions::Topic;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct CachedTopic {
    active: u64,
    /// The number of the last version whose rejection was reported; 0 is none.
    last_rejected: u64,
}

/// The states of all topics that a gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct CachedTopics {
    /// The index of the entry up to which this is complete.
    known_index: Index,
    by_topic: BTreeMap<Topic, CachedTopic>,
}

impl CachedTopics {
    /// The index of the entry up to which the topics are known.
    pub(super) fn known_index(&self) -> Index {
        self.known_index
    }

    /// Returns whether the states of the topics that changed between two entries are new and follow the known ones without a
    /// gap; they then count as known.
    pub(super) fn advance(&mut self, since: Index, state_index: Index) -> bool {
        let applies = since <= self.known_index && self.known_index < state_index;
        if applies {
            self.known_index = state_index;
        }
        applies
    }

    /// The number of the active version; 0 is none.
    pub(super) fn active(&self, topic: Topic) -> u64 {
        self.by_topic.get(&topic).map_or(0, |cached| cached.active)
    }

    /// The numbers of the active versions, for the topics that have one.
    pub(super) fn active_versions(&self) -> impl Iterator<Item = (Topic, u64)> + '_ {
        let active = self
            .by_topic
            .iter()
            .map(|(topic, cached)| (*topic, cached.active));
        active.filter(|(_, number)| *number > 0)
    }

    /// Sets the active version of a topic. Returns whether it differs from the former one.
    pub(super) fn set_active(&mut self, topic: Topic, number: u64) -> bool {
        let cached = self.by_topic.entry(topic).or_default();
        std::mem::replace(&mut cached.active, number) != number
    }

    /// Records the rejection of a version. Returns whether it is a new one.
    pub(super) fn record_rejection(&mut self, topic: Topic, number: u64) -> bool {
        let cached = self.by_topic.entry(topic).or_default();
        let new = number > cached.last_rejected;
        if new {
            cached.last_rejected = number;
        }
        new
    }
}
