//! What this gateway does with what its fleet agrees on: judges versions, puts them in force, says what it did under them.

use crate::front::Gateway;
use asterreel::operator::{Evaluated, Operator};
use asterreel::versions::{Content, Topic};
use asterreel_control::service::{ControlEvent, ControlRequest, Handle};
use std::sync::mpsc::Receiver;
use xxhash_rust::xxh3::xxh3_64;

/// The format of what is offered of the operator's file: a digest of what it sets.
const FORMAT: u32 = 1;

pub(crate) struct Fleetwide {
    pub peers: Handle,
    pub notices: Receiver<ControlEvent>,
    /// Judged good, to be put in force when the fleet agrees.
    candidate: Option<(u64, Evaluated)>,
    /// Requests that were counted already.
    counted: u64,
    /// How many there are by the operator's file or the platform's settings.
    gateways: u32,
    /// Whether it had no registration when it was looked at last.
    shut_out: Option<bool>,
}

/// What files of a fleet have in common: all but what names this gateway and its part, where it listens and keeps its log.
fn digest(operator: &Operator) -> Content {
    let mut shared = operator.clone();
    if let Some(lease) = &mut shared.lease {
        (lease.me, lease.client, lease.listen) = (0, false, None);
        lease.store.clear();
        lease.duties.clear();
        // A gateway that is served need not be listed, and each may reach the control members at addresses of its own.
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
        format: FORMAT,
        bytes: xxh3_64(&text).to_le_bytes().to_vec(),
    }
}

impl Fleetwide {
    pub(crate) fn new(peers: Handle, notices: Receiver<ControlEvent>, gateways: u32) -> Fleetwide {
        Fleetwide {
            peers,
            notices,
            candidate: None,
            counted: 0,
            gateways,
            shut_out: None,
        }
    }

    /// Offers the operator's file as it is here.
    pub(crate) fn offer(&self, operator: &Operator) {
        self.peers.request(ControlRequest::ProposeVersion(
            Topic::Operator,
            digest(operator),
        ));
    }

    /// Whether this gateway could act on a version. `evaluated` reads the operator's file as it is here.
    pub(crate) fn judge(
        &mut self,
        topic: Topic,
        number: u64,
        content: &Content,
        evaluated: impl FnOnce() -> Result<Evaluated, String>,
    ) -> Result<(), String> {
        if topic != Topic::Operator {
            return Err(format!("this build puts no version of {topic:?} in force"));
        }
        let evaluated = evaluated()?;
        if digest(&evaluated.operator) != *content {
            let file = &evaluated.file;
            return Err(format!(
                "{file} sets something else here; copy the same file to all gateways, then SIGHUP one"
            ));
        }
        self.candidate = Some((number, evaluated));
        Ok(())
    }

    /// The file that was judged good as this version.
    pub(crate) fn take(&mut self, topic: Topic, number: u64) -> Option<Evaluated> {
        let judged =
            |candidate: &mut (u64, Evaluated)| topic == Topic::Operator && candidate.0 == number;
        self.candidate
            .take_if(judged)
            .map(|(_, evaluated)| evaluated)
    }

    /// Divides what the fleet may admit among those who have a registration; among all that there are where this gateway can't
    /// tell, so that one that is cut off takes its own part and no more. Says whether it is shut out, where that is news.
    pub(crate) fn share(&mut self, gateway: &Gateway) -> Option<bool> {
        let view = self.peers.view();
        let sure = view.permission(gateway.core.clock.now()).is_some();
        gateway.set_fleet_size(if sure {
            view.registrations
        } else {
            self.gateways
        });
        (self.shut_out.replace(!sure) != Some(!sure)).then_some(!sure)
    }

    /// Tells the fleet how many requests were taken under the operator's file in force.
    pub(crate) fn count(&mut self, gateway: &Gateway) {
        let taken = gateway.requests();
        let count = taken - std::mem::replace(&mut self.counted, taken);
        let acting = self
            .peers
            .view()
            .acting(Topic::Operator, gateway.core.clock.now());
        if let Some((number, _)) = acting.filter(|_| count > 0) {
            self.peers
                .request(ControlRequest::Acted(Topic::Operator, number, count));
        }
    }
}
