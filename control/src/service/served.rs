//! The gateways that a control member serves, and their links.

use crate::frame;
use crate::lease::NodeIdentity;
use crate::link::accept::GatewayLink;
use crate::versions::ToGateway;
use bytes::Bytes;
use std::collections::BTreeMap;
use tracing::warn;

/// The log target for served gateways: that of the control member, by which operators may filter.
const LOG_TARGET: &str = "asterreel_control::service::member";

/// The newest link of each incarnation of a gateway. Dropping a handle closes its link.
#[derive(Default)]
pub(super) struct ServedGateways {
    links: BTreeMap<NodeIdentity, GatewayLink>,
}

impl ServedGateways {
    /// Adds the link of a gateway; the former one of the same incarnation is closed.
    pub(super) fn connect(&mut self, link: GatewayLink) {
        self.links.insert(link.identity, link);
    }

    /// Removes a link that has ended, unless a newer one has replaced it.
    pub(super) fn disconnect(&mut self, identity: NodeIdentity, link_number: u64) {
        let current = self.links.get(&identity);
        if current.is_some_and(|current| current.link_number == link_number) {
            self.links.remove(&identity);
        }
    }

    /// Sends a gateway a message on its newest link, if this incarnation has one.
    pub(super) fn send(&mut self, identity: NodeIdentity, message: &ToGateway) {
        let Some(link) = self.links.get(&identity) else {
            return;
        };
        match frame::encode_to_gateway(message) {
            Ok(frame) => {
                if !try_send(link, frame) {
                    self.links.remove(&identity);
                }
            }
            Err(error) => {
                warn!(target: LOG_TARGET, gateway = identity.gateway, "control: message to the gateway not sent: {error}")
            }
        }
    }

    /// Sends all connected gateways a message.
    pub(super) fn broadcast(&mut self, message: &ToGateway) {
        match frame::encode_to_gateway(message) {
            Ok(frame) => self.links.retain(|_, link| try_send(link, frame.clone())),
            Err(error) => {
                warn!(target: LOG_TARGET, "control: message to all gateways not sent: {error}")
            }
        }
    }
}

/// Queues a frame for a gateway; false if its link is to be closed.
fn try_send(link: &GatewayLink, frame: Bytes) -> bool {
    let sent = link.send(frame);
    if !sent {
        warn!(
            target: LOG_TARGET,
            gateway = link.identity.gateway,
            "control: link closed: the gateway reads no messages, or the connection has ended"
        );
    }
    sent
}
