//! The control client of a gateway: validates versions of the operator's file, hands out those that the control members
//! activated, and reports what was done under them.
//!
//! A version is applied only after this gateway acknowledged it, and only where the file here sets the same as the version.

use crate::front::Gateway;
use asterreel::operator::{Evaluated, Operator, OperatorFileError};
use asterreel::versions::{Content, Topic};
use asterreel_control::service::{ControlEvent, ControlRequest, Handle};
use std::sync::mpsc::Receiver;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The format of a proposed version of the operator's file: a digest of what it sets.
const CONTENT_FORMAT: u32 = 1;

/// Why this gateway rejects a proposed version; its text goes to the control members.
#[derive(Debug, Error)]
pub(crate) enum ValidationError {
    /// A topic that this build does not know how to apply.
    #[error("this build puts no version of {0:?} in force")]
    UnsupportedTopic(Topic),
    /// The file here is bad.
    #[error(transparent)]
    OperatorFileError(#[from] OperatorFileError),
    /// The file here sets something else than the version.
    #[error(
        "{file} sets something else here; copy the same file to all gateways, then SIGHUP one"
    )]
    DifferentContent { file: String },
}

/// A version that this gateway acknowledged, to be applied once it is active.
struct Candidate {
    version: u64,
    evaluated: Evaluated,
}

/// The control client of this gateway.
pub(crate) struct ControlClient {
    handle: Handle,
    events: Receiver<ControlEvent>,
    candidate: Option<Candidate>,
    /// Requests that were reported already.
    reported_requests: u64,
    /// How many gateways there are by the operator's file or the platform's settings.
    configured_gateways: u32,
    /// Whether this gateway had no registration when that was last looked at.
    was_unregistered: Option<bool>,
}

/// A digest of what the operator's files of a fleet have in common: all but what names this gateway and its part, where
/// it listens and where it keeps its log.
fn digest(operator: &Operator) -> Content {
    let mut shared = operator.clone();
    if let Some(lease) = &mut shared.lease {
        (lease.me, lease.client, lease.listen) = (0, false, None);
        lease.store.clear();
        lease.duties.clear();
        // Gateways that are no control members need not be listed, and each may reach those at addresses of its own.
        lease.peers.retain(|peer| peer.voter);
        lease
            .peers
            .iter_mut()
            .for_each(|peer| peer.address = ([0, 0, 0, 0], 0).into());
    }
    if let Some(health) = &mut shared.health {
        health.agent = None;
        (health.http, health.postgres, health.grpc) = (None, None, None);
    }
    let text = serde_json::to_vec(&shared).unwrap_or_default();
    Content {
        format: CONTENT_FORMAT,
        bytes: xxh3_64(&text).to_le_bytes().to_vec(),
    }
}

impl ControlClient {
    /// The client over the loop that `handle` and `events` belong to.
    pub(crate) fn new(
        handle: Handle,
        events: Receiver<ControlEvent>,
        configured_gateways: u32,
    ) -> ControlClient {
        ControlClient {
            handle,
            events,
            candidate: None,
            reported_requests: 0,
            configured_gateways,
            was_unregistered: None,
        }
    }

    /// The next event of the control members; nothing where none has come.
    pub(crate) fn next_event(&self) -> Option<ControlEvent> {
        self.events.try_recv().ok()
    }

    /// Gives up what this gateway holds, as it drains.
    pub(crate) fn drain(&self) {
        self.handle.request(ControlRequest::Drain);
    }

    /// Proposes the operator's file as it is here as a new version.
    pub(crate) fn propose(&self, operator: &Operator) {
        let content = digest(operator);
        self.handle
            .request(ControlRequest::ProposeVersion(Topic::Operator, content));
    }

    /// Acknowledges a proposed version, or rejects it with a reason. `evaluate` reads the operator's file as it is here.
    pub(crate) fn answer_proposal(
        &mut self,
        topic: Topic,
        version: u64,
        content: &Content,
        evaluate: impl FnOnce() -> Result<Evaluated, OperatorFileError>,
    ) {
        let result = self
            .validate(topic, version, content, evaluate)
            .map_err(|error| error.to_string());
        self.handle
            .request(ControlRequest::Validated(topic, version, result));
    }

    fn validate(
        &mut self,
        topic: Topic,
        version: u64,
        content: &Content,
        evaluate: impl FnOnce() -> Result<Evaluated, OperatorFileError>,
    ) -> Result<(), ValidationError> {
        if topic != Topic::Operator {
            return Err(ValidationError::UnsupportedTopic(topic));
        }
        let evaluated = evaluate()?;
        if digest(&evaluated.operator) != *content {
            let file = evaluated.file;
            return Err(ValidationError::DifferentContent { file });
        }
        self.candidate = Some(Candidate { version, evaluated });
        Ok(())
    }

    /// The file that was acknowledged as this version, once.
    pub(crate) fn take_candidate(&mut self, topic: Topic, version: u64) -> Option<Evaluated> {
        let is_activated =
            |candidate: &mut Candidate| topic == Topic::Operator && candidate.version == version;
        self.candidate
            .take_if(is_activated)
            .map(|candidate| candidate.evaluated)
    }

    /// Divides what the fleet may admit among the registered gateways; among all that are configured where this gateway
    /// has no valid registration, so that one that is cut off takes its own quota and no more. Returns whether it is
    /// unregistered, where that has changed.
    pub(crate) fn update_fleet_size(&mut self, gateway: &Gateway) -> Option<bool> {
        let view = self.handle.view();
        let is_registered = view.permission(gateway.core.clock.now()).is_some();
        gateway.set_fleet_size(if is_registered {
            view.registrations
        } else {
            self.configured_gateways
        });
        let is_unregistered = !is_registered;
        let before = self.was_unregistered.replace(is_unregistered);
        (before != Some(is_unregistered)).then_some(is_unregistered)
    }

    /// Reports how many requests were served under the active version of the operator's file.
    pub(crate) fn report_requests(&mut self, gateway: &Gateway) {
        let requests = gateway.requests();
        let count = requests - std::mem::replace(&mut self.reported_requests, requests);
        let acting = self
            .handle
            .view()
            .acting(Topic::Operator, gateway.core.clock.now());
        if let Some((version, _)) = acting.filter(|_| count > 0) {
            self.handle
                .request(ControlRequest::Acted(Topic::Operator, version, count));
        }
    }
}
