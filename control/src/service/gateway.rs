//! A gateway's part of the loop: runs its [`Client`] on the link to the leading control member.

use super::{fleet_digest, ControlEvent};
use crate::clock::Clock;
use crate::frame::Hello;
use crate::lease::NodeIdentity;
use crate::link::gateway::{LeaderSearch, Link, LinkEvent, LinkId};
use crate::settings::ControlSettings;
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

/// The formats of version contents that this build supports.
const FORMATS: Formats = Formats {
    oldest: 1,
    newest: FORMAT,
};
/// The longest time between two wakeups of a gateway.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// The address at which this process reaches its own listener: loopback if it listens on all addresses.
pub(super) fn connect_address(listen: SocketAddr) -> SocketAddr {
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

/// The control members, by number, with the addresses at which this process reaches them.
fn members(settings: &ControlSettings) -> Vec<(u64, SocketAddr)> {
    let own = settings.listen.map(connect_address);
    let address = |id: u32, address| {
        if id == settings.me {
            own.unwrap_or(address)
        } else {
            address
        }
    };
    settings
        .voters()
        .map(|peer| (u64::from(peer.id), address(peer.id, peer.address)))
        .collect()
}

/// A gateway that keeps itself registered.
pub(super) struct Gateway {
    clock: Clock,
    me: NodeIdentity,
    client: Client,
    link: Link,
    /// The link to a control member, while one is established.
    current_link: Option<LinkId>,
    /// When the client is due next, on the loop's clock.
    wake_at: Option<Micros>,
    program_events: Sender<ControlEvent>,
}

impl Gateway {
    /// Starts the search for the leader, and the registration.
    pub(super) fn start(
        settings: &ControlSettings,
        clock: Clock,
        me: NodeIdentity,
        program_events: Sender<ControlEvent>,
        link_events: mpsc::Sender<LinkEvent>,
        traffic: Traffic,
    ) -> Gateway {
        let timing = settings.timing();
        let seed = u64::from(me.gateway) << 32 | u64::from(me.incarnation);
        let own = Hello::of_client(me, fleet_digest(settings));
        let link = Link::start(LeaderSearch {
            members: members(settings),
            own,
            timing,
            seed,
            events: link_events,
            traffic,
        });
        let client = Client::new(me, timing, FORMATS, seed);
        let mut gateway = Gateway {
            clock,
            me,
            client,
            link,
            current_link: None,
            wake_at: None,
            program_events,
        };
        gateway.handle(Event::Serve);
        gateway
    }

    /// The gateway's [`Client`], from whose state the loop makes its view.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// How long the loop may sleep until the gateway's next timer is due.
    pub(super) fn time_until_wakeup(&self, now: Micros) -> Duration {
        let due = self
            .wake_at
            .map(|at| Duration::from_micros(at.saturating_sub(now)));
        due.map_or(MAX_SLEEP, |due| due.min(MAX_SLEEP))
    }

    /// Handles an event of a link; events of former links have no effect.
    pub(super) fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link) => {
                self.current_link = Some(link);
                self.handle(Event::Connected);
            }
            LinkEvent::Received(link, message) if self.current_link == Some(link) => {
                self.handle(Event::Received(message))
            }
            LinkEvent::Down(link) if self.current_link == Some(link) => self.current_link = None,
            LinkEvent::Received(..) | LinkEvent::Down(_) => {}
        }
    }

    /// Passes an event to the client and carries out the resulting actions.
    pub(super) fn handle(&mut self, event: Event) {
        if event == Event::Tick {
            self.wake_at = None;
        }
        let mut out = Vec::new();
        self.client.handle(self.clock.now(), event, &mut out);
        out.into_iter().for_each(|action| self.execute(action));
    }

    fn execute(&mut self, action: Action) {
        let (at, gateway) = (self.clock.now(), self.me.gateway);
        match action {
            Action::Send(message) => {
                if let Some(link) = self.current_link {
                    self.link.send(link, message);
                }
            }
            Action::Redirect(leader) => {
                if let Some(link) = self.current_link {
                    self.link.switch(link, leader);
                }
            }
            Action::Wake(at) => self.wake_at = Some(at),
            Action::Act(permission) => {
                info!(
                    at,
                    gateway,
                    token = permission.token.0,
                    until = permission.until,
                    "registration: acting"
                );
            }
            Action::Stop(reason) => warn!(at, gateway, "registration: stopped acting: {reason}"),
            Action::Validate {
                topic,
                number,
                content,
            } => {
                // Fails only if the program has ended.
                let _ = self
                    .program_events
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
                    "version: activated"
                );
                let _ = self
                    .program_events
                    .send(ControlEvent::Activated(topic, number));
            }
            Action::ActiveVersionInvalid {
                topic,
                number,
                reason,
            } => {
                warn!(
                    at,
                    gateway,
                    ?topic,
                    number,
                    reason,
                    "version: the active one is not valid here; not acting until it is"
                );
            }
            Action::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => {
                let by = by.gateway;
                warn!(at, gateway, ?topic, number, by, reason, "version: rejected");
            }
            Action::RequestRejected(reason) => {
                warn!(
                    at,
                    gateway, "version: registration or proposal rejected: {reason}"
                );
            }
        }
    }
}
