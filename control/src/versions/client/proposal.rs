//! The proposal of a version by this gateway, sent until it is known to be in the log or rejected.

use super::is_send_due;
use crate::lease::{NodeIdentity, Token};
use crate::versions::{Content, ToControl, Topic};
use crate::Micros;

/// A version that this gateway proposes, and that is not known to be in the log yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingProposal {
    topic: Topic,
    /// The active version that it is to replace; 0 is none.
    replaces: u64,
    content: Content,
    last_sent_at: Option<Micros>,
}

impl PendingProposal {
    pub(super) fn new(topic: Topic, replaces: u64, content: Content) -> PendingProposal {
        PendingProposal {
            topic,
            replaces,
            content,
            last_sent_at: None,
        }
    }

    /// Whether a topic's new state ends the need to send it: a version of the topic is proposed, or another one is active.
    pub(super) fn is_resolved_by(&self, topic: Topic, active: u64, proposed: bool) -> bool {
        self.topic == topic && (proposed || self.replaces != active)
    }

    /// Makes the proposal due again, as messages on a former link may be lost.
    pub(super) fn mark_unsent(&mut self) {
        self.last_sent_at = None;
    }

    /// When the proposal was last sent; `None` if it has not been sent on the current link.
    pub(super) fn last_sent_at(&self) -> Option<Micros> {
        self.last_sent_at
    }

    /// The message, if it is to be sent now. It is repeated, as the leader may have changed.
    pub(super) fn take_due(
        &mut self,
        now: Micros,
        renew_us: Micros,
        identity: NodeIdentity,
        token: Token,
    ) -> Option<ToControl> {
        if !is_send_due(self.last_sent_at, now, renew_us) {
            return None;
        }
        self.last_sent_at = Some(now);
        Some(ToControl::ProposeVersion {
            identity,
            token,
            topic: self.topic,
            replaces: self.replaces,
            content: self.content.clone(),
        })
    }
}
