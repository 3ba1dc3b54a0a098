//! The validation of proposed versions: each is validated once, and its result is sent until the proposal is closed.

use super::is_send_due;
use crate::lease::{NodeIdentity, Token};
use crate::versions::{Content, Formats, ToControl, Topic};
use crate::Micros;
use std::collections::BTreeMap;

/// The validation of one proposed version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Validation {
    number: u64,
    /// Set once the caller, or the check of the format, has decided.
    result: Option<Result<(), String>>,
    last_sent_at: Option<Micros>,
}

/// The latest validation of each topic with a proposal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Validations {
    by_topic: BTreeMap<Topic, Validation>,
}

impl Validations {
    /// Begins the validation of a proposed version. Returns whether the caller has to validate its content; a version whose
    /// format is not supported is rejected here.
    pub(super) fn begin(
        &mut self,
        topic: Topic,
        number: u64,
        content: &Content,
        formats: Formats,
    ) -> bool {
        let known = self.by_topic.get(&topic);
        if known.is_some_and(|validation| validation.number == number) {
            return false;
        }
        let result = check_format(content.format, formats).err().map(Err);
        let undecided = result.is_none();
        let validation = Validation {
            number,
            result,
            last_sent_at: None,
        };
        self.by_topic.insert(topic, validation);
        undecided
    }

    /// Whether a version was proposed to this gateway, and its content was found to be valid.
    pub(super) fn is_valid(&self, topic: Topic, number: u64) -> bool {
        self.by_topic.get(&topic).is_some_and(|validation| {
            validation.number == number && validation.result == Some(Ok(()))
        })
    }

    /// Ends the validation for a topic that no longer has a proposal.
    pub(super) fn close(&mut self, topic: Topic) {
        self.by_topic.remove(&topic);
    }

    /// Records the caller's result. A second result, or one for another version, changes nothing.
    pub(super) fn record(&mut self, topic: Topic, number: u64, result: Result<(), String>) {
        let validation = self
            .by_topic
            .get_mut(&topic)
            .filter(|validation| validation.number == number);
        if let Some(validation) = validation.filter(|validation| validation.result.is_none()) {
            validation.result = Some(result);
        }
    }

    /// Makes all results due again, as messages on a former link may be lost.
    pub(super) fn mark_unsent(&mut self) {
        for validation in self.by_topic.values_mut() {
            validation.last_sent_at = None;
        }
    }

    /// The results to send now. Each is repeated, as the leader may have changed.
    pub(super) fn take_due(
        &mut self,
        now: Micros,
        renew_us: Micros,
        identity: NodeIdentity,
        token: Token,
    ) -> Vec<ToControl> {
        let due = self.by_topic.iter_mut().filter_map(|(topic, validation)| {
            let result = validation.result.clone()?;
            if !is_send_due(validation.last_sent_at, now, renew_us) {
                return None;
            }
            validation.last_sent_at = Some(now);
            Some(ToControl::ValidationResult {
                identity,
                token,
                topic: *topic,
                number: validation.number,
                result,
            })
        });
        due.collect()
    }

    /// When each result was last sent.
    pub(super) fn last_sent_at(&self) -> impl Iterator<Item = Micros> + '_ {
        let validations = self.by_topic.values();
        validations.filter_map(|validation| validation.last_sent_at)
    }
}

/// Whether this build supports a content's format.
pub(super) fn check_format(needed: u32, formats: Formats) -> Result<(), String> {
    if formats.supports(needed) {
        return Ok(());
    }
    let Formats { oldest, newest } = formats;
    Err(format!(
        "format {needed} is not understood, only {oldest} to {newest}"
    ))
}
