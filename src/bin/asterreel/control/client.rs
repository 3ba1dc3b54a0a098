//! The control client of a gateway: proposes and validates versions of the operator's file, returns those that the control
//! members activated, and reports how many requests were served under each.
//!
//! A version is applied only after this gateway found it to be valid: its own file has the same settings.

use crate::front::Gateway;
use asterreel::operator::{Evaluated, Operator, OperatorFileError};
use asterreel::versions::{Content, Topic};
use asterreel_control::service::{ControlEvent, ControlRequest, Handle};
use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The format of a proposed version of the operator's file: a digest of its settings.
const CONTENT_FORMAT: u32 = 1;

/// Why this gateway rejects a proposed version; its text goes to the control members.
#[derive(Debug, Error)]
pub(crate) enum ValidationError {
    /// This build applies no versions of this topic.
    #[error("this build puts no version of {0:?} in force")]
    UnsupportedTopic(Topic),
    /// This gateway's operator's file cannot be read or is invalid.
    #[error(transparent)]
    InvalidFile(#[from] OperatorFileError),
    /// The settings of this gateway's operator's file are not those of the version.
    #[error(
        "{file} sets something else here; copy the same file to all gateways, then SIGHUP one"
    )]
    DifferentContent {
        /// The path of the operator's file.
        file: String,
    },
}

/// How many candidates are kept: one to be activated, and one that is proposed after it.
const MAX_CANDIDATES: usize = 2;

/// A version that this gateway found to be valid, to be applied once it is active here.
struct Candidate {
    version: u64,
    evaluated: Evaluated,
}

/// The control client of this gateway.
pub(crate) struct ControlClient {
    handle: Handle,
    events: Receiver<ControlEvent>,
    candidates: VecDeque<Candidate>,
    /// The version of the operator's file that this process has applied; 0 is none.
    applied_version: u64,
    /// The number of requests reported so far.
    reported_requests: u64,
    /// The number of gateways according to the operator's file or the platform's settings.
    configured_gateways: u32,
    /// Whether this gateway had no valid registration at the last [`ControlClient::update_fleet_size`]; `None` before the first.
    was_unregistered: Option<bool>,
}

/// A digest of the settings that are the same in all operator's files of a fleet. Left out are this gateway's number, role,
/// listeners, log folder and duties, which differ from file to file.
fn digest(operator: &Operator) -> Content {
    let mut shared = operator.clone();
    if let Some(lease) = &mut shared.lease {
        (lease.me, lease.client, lease.listen) = (0, false, None);
        lease.store.clear();
        lease.duties.clear();
        // Files need not list gateways that are no control members, and may give control members different addresses.
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
    /// A client of the control plane's loop to which `handle` and `events` belong.
    pub(crate) fn new(
        handle: Handle,
        events: Receiver<ControlEvent>,
        configured_gateways: u32,
    ) -> ControlClient {
        ControlClient {
            handle,
            events,
            candidates: VecDeque::new(),
            applied_version: 0,
            reported_requests: 0,
            configured_gateways,
            was_unregistered: None,
        }
    }

    /// The next event of the control plane; `None` if there is none at present.
    pub(crate) fn next_event(&self) -> Option<ControlEvent> {
        self.events.try_recv().ok()
    }

    /// Begins the graceful shutdown of the control plane: the leases and the registration are given up.
    pub(crate) fn drain(&self) {
        self.handle.request(ControlRequest::Drain);
    }

    /// Proposes this gateway's operator's file as a new version.
    pub(crate) fn propose(&self, operator: &Operator) {
        let content = digest(operator);
        self.handle
            .request(ControlRequest::ProposeVersion(Topic::Operator, content));
    }

    /// Answers whether a version, proposed or already active, is valid here. `evaluate` reads this gateway's operator's file.
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
        self.candidates
            .retain(|candidate| candidate.version != version);
        self.candidates.push_back(Candidate { version, evaluated });
        if self.candidates.len() > MAX_CANDIDATES {
            self.candidates.pop_front();
        }
        Ok(())
    }

    /// Removes and returns the file that was found to be valid as this version, which counts as applied from now on; `None`
    /// for any other version.
    pub(crate) fn take_candidate(&mut self, topic: Topic, version: u64) -> Option<Evaluated> {
        let is_activated =
            |candidate: &Candidate| topic == Topic::Operator && candidate.version == version;
        let position = self.candidates.iter().position(is_activated)?;
        let candidate = self.candidates.remove(position)?;
        self.applied_version = version;
        Some(candidate.evaluated)
    }

    /// Divides what the fleet may admit among the registered gateways. While this gateway has no valid registration, the
    /// configured number of gateways counts instead, so that a gateway without a link to the control members admits no more
    /// than its quota. Returns whether this gateway is unregistered if that has changed.
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

    /// Reports how many requests were served under the version of the operator's file that this process has applied.
    pub(crate) fn report_requests(&mut self, gateway: &Gateway) {
        let requests = gateway.request_count();
        let count = requests - std::mem::replace(&mut self.reported_requests, requests);
        let now = gateway.core.clock.now();
        let acting = self.handle.view().usable_version(Topic::Operator, now);
        if acting.is_some() && self.applied_version > 0 && count > 0 {
            let version = self.applied_version;
            self.handle
                .request(ControlRequest::Acted(Topic::Operator, version, count));
        }
    }
}
