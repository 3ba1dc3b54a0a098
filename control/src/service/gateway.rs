//! A gateway's part of the loop: its registration at the control member that leads, and what it hears of versions.

use super::{digest, ControlEvent};
use crate::clock::Clock;
use crate::frame::Hello;
use crate::lease::NodeIdentity;
use crate::link::gateway::{LeaderSearch, Link, LinkEvent, LinkId};
use crate::settings::Lease;
use crate::state_machine::FORMAT;
use crate::traffic::Traffic;
use crate::versions::client::{Action, Event};
use crate::versions::{Client, Formats};
use crate::Micros;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::mpsc::Sender;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// The formats of contents that this build understands.
const FORMATS: Formats = Formats {
    oldest: 1,
    newest: FORMAT,
};
/// The longest sleep of a gateway for which nothing is due.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// Where this process reaches its own listener.
pub(super) fn loopback(listen: SocketAddr) -> SocketAddr {
    match listen.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => {
            SocketAddr::new(Ipv4Addr::LOCALHOST.into(), listen.port())
        }
        IpAddr::V6(ip) if ip.is_unspecified() => {
            SocketAddr::new(Ipv6Addr::LOCALHOST.into(), listen.port())
        }
        _ => listen,
    }
}

/// The control members, as this process reaches them.
fn members(asked: &Lease) -> Vec<(u64, SocketAddr)> {
    let own = asked.listen.map(loopback);
    let address = |id: u32, address| {
        if id == asked.me {
            own.unwrap_or(address)
        } else {
            address
        }
    };
    asked
        .voters()
        .map(|peer| (u64::from(peer.id), address(peer.id, peer.address)))
        .collect()
}

/// A gateway that wants a registration.
pub(super) struct Gateway {
    clock: Clock,
    me: NodeIdentity,
    client: Client,
    link: Link,
    /// The link on which it is served.
    up: Option<LinkId>,
    /// When something is due next.
    wake: Option<Micros>,
    notices: Sender<ControlEvent>,
}

impl Gateway {
    pub(super) fn start(
        asked: &Lease,
        clock: Clock,
        me: NodeIdentity,
        notices: Sender<ControlEvent>,
        events: mpsc::Sender<LinkEvent>,
        traffic: Traffic,
    ) -> Gateway {
        let timing = asked.timing();
        let seed = u64::from(me.gateway) << 32 | u64::from(me.incarnation);
        let own = Hello::of_client(me, digest(asked));
        let link = Link::start(LeaderSearch {
            members: members(asked),
            own,
            timing,
            seed,
            events,
            traffic,
        });
        let client = Client::new(me, timing, FORMATS, seed);
        let mut gateway = Gateway {
            clock,
            me,
            client,
            link,
            up: None,
            wake: None,
            notices,
        };
        gateway.handle(Event::Serve);
        gateway
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// How long nothing is due.
    pub(super) fn sleeps(&self, now: Micros) -> Duration {
        let due = self
            .wake
            .map(|wake| Duration::from_micros(wake.saturating_sub(now)));
        due.map_or(LONGEST_SLEEP, |due| due.min(LONGEST_SLEEP))
    }

    pub(super) fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link) => {
                self.up = Some(link);
                self.handle(Event::Connected);
            }
            LinkEvent::Received(link, message) if self.up == Some(link) => {
                self.handle(Event::Received(message))
            }
            LinkEvent::Down(link) if self.up == Some(link) => self.up = None,
            // Of a link that was left.
            LinkEvent::Received(..) | LinkEvent::Down(_) => {}
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        if event == Event::Tick {
            self.wake = None;
        }
        let mut out = Vec::new();
        self.client.handle(self.clock.now(), event, &mut out);
        out.into_iter().for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: Action) {
        let (at, gateway) = (self.clock.now(), self.me.gateway);
        match action {
            Action::Send(message) => {
                if let Some(link) = self.up {
                    self.link.send(link, message);
                }
            }
            Action::Redirect(leader) => {
                if let Some(link) = self.up {
                    self.link.switch(link, leader);
                }
            }
            Action::Wake(at) => self.wake = Some(at),
            Action::Act(right) => {
                info!(
                    at,
                    gateway,
                    token = right.token.0,
                    until = right.until,
                    "registration: acting"
                );
            }
            Action::Stop(why) => warn!(at, gateway, "registration: stopped: {why}"),
            Action::Validate {
                topic,
                number,
                content,
            } => {
                let _ = self
                    .notices
                    .send(ControlEvent::Validate(topic, number, content));
            }
            Action::Activate {
                topic,
                number,
                previous,
            } => {
                info!(
                    at,
                    gateway,
                    ?topic,
                    number,
                    before = previous,
                    "version: in force"
                );
                let _ = self.notices.send(ControlEvent::Activated(topic, number));
            }
            Action::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => {
                let by = by.gateway;
                warn!(at, gateway, ?topic, number, by, reason, "version: refused");
            }
            Action::RequestRejected(why) => warn!(at, gateway, "version: not taken: {why}"),
        }
    }
}
