//! A control member's part of the loop: the log with the other members, and the gateways that it serves.

use super::gateway::loopback;
use super::{digest, PeerError};
use crate::clock::Clock;
use crate::frame::{self, Hello, Payload};
use crate::lease::{self, NodeIdentity, Timing};
use crate::link::accept::{self, Acceptor, GatewayLink, LinkEvent};
use crate::link::{self, member::Link, SharedHello};
use crate::node::{self, Node, NodeError, RaftStatus};
use crate::settings::Lease;
use crate::state_machine::{Action, Event, StateMachine};
use crate::store::Store;
use crate::traffic::MemberTraffic;
use crate::versions::ToGateway;
use crate::Micros;
use bytes::Bytes;
use ipnet::IpNet;
use raft::eraftpb::ConfState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, Interval, MissedTickBehavior};
use tracing::{info, warn};

/// Ticks of an election timeout, of which the consensus draws one to two: two members that draw the same number split the
/// votes, and the election costs twice the time.
const ELECTION_TICKS: usize = 20;
/// Parts of the time that a gateway has left after a renewal was due, one of which is an election timeout: an election and
/// one more after a split take four of them at most.
const ELECTION_PARTS: u64 = 6;
/// The shortest election timeout: below it a busy disk costs the leader its place.
const ELECTION_LEAST: Micros = 200_000;
/// How long a gateway may be silent at least until its link is closed, whatever the leases: it has no right any more long
/// before, and a process that stood still is spared a new link.
const SILENCE_LEAST: Duration = Duration::from_secs(10);
/// Waits of a lease after which a silent gateway's link is closed.
const SILENCE_WAITS: u64 = 2;

/// Ticks of the consensus, so that rights outlast the loss of a leader.
pub(super) fn ticks(timing: &Timing) -> Interval {
    let spare = timing
        .lease_us
        .saturating_sub(timing.renew_us + timing.margin_us);
    let election = (spare / ELECTION_PARTS).max(ELECTION_LEAST);
    let mut ticks = interval(Duration::from_micros(election / ELECTION_TICKS as u64));
    // A process that stood still has not lived through the ticks that it missed.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Whether this member has a log.
enum Stage {
    /// None; it waits until it is known that no member has one, or that there is one to learn.
    Waits(Store),
    Runs(Box<Node>),
    /// Between the two.
    Starts,
}

/// A control member.
pub(super) struct Member {
    asked: Lease,
    clock: Clock,
    me: NodeIdentity,
    /// See [`digest`].
    digest: u64,
    stage: Stage,
    voters: BTreeSet<u64>,
    links: BTreeMap<u64, Link>,
    /// What each other member said last.
    hellos: BTreeMap<u64, Hello>,
    own_hello: SharedHello,
    /// The newest link of each incarnation of a gateway that is served.
    gateways: BTreeMap<NodeIdentity, GatewayLink>,
    /// What was logged last.
    logged_status: RaftStatus,
    /// Ticks since this process began to drain.
    drains: Option<usize>,
    /// To be carried out once all that is ready is stored and applied.
    out: Vec<Action>,
    traffic: MemberTraffic,
    /// When it logs its traffic next.
    logs_traffic_at: Micros,
}

/// Sends a gateway a frame; false where its link is to be closed.
fn try_send(gateway: &GatewayLink, frame: Bytes) -> bool {
    let sent = gateway.send(frame);
    if !sent {
        warn!(
            gateway = gateway.who.gateway,
            "control: link closed: the gateway takes nothing in"
        );
    }
    sent
}

/// This member's part in the consensus, in its incarnation `me`, on a store that has a number.
fn node(
    id: u64,
    store: Store,
    me: NodeIdentity,
    asked: &Lease,
    now: Micros,
) -> Result<Box<Node>, NodeError> {
    let state_machine = StateMachine::new(me, asked.timing());
    Ok(Box::new(Node::new(
        id,
        store,
        state_machine,
        ELECTION_TICKS,
        now,
    )?))
}

impl Member {
    /// Opens this member's store.
    pub(super) fn open(asked: &Lease, clock: Clock, me: NodeIdentity) -> Result<Member, PeerError> {
        let store = Store::open(&asked.store, asked.me.into())?;
        let stage = match store.id() {
            Some(id) => Stage::Runs(node(id, store, me, asked, clock.now())?),
            None => Stage::Waits(store),
        };
        Ok(Member {
            digest: digest(asked),
            voters: asked.voters().map(|peer| peer.id.into()).collect(),
            asked: asked.clone(),
            clock,
            me,
            stage,
            links: BTreeMap::new(),
            hellos: BTreeMap::new(),
            own_hello: SharedHello::default(),
            gateways: BTreeMap::new(),
            logged_status: RaftStatus::default(),
            drains: None,
            out: Vec::new(),
            traffic: MemberTraffic::default(),
            logs_traffic_at: 0,
        })
    }

    /// Dials the other members and takes links; what comes in on all of them.
    pub(super) fn link_up(
        &mut self,
        listener: std::net::TcpListener,
    ) -> Result<mpsc::Receiver<LinkEvent>, PeerError> {
        let listen = listener.local_addr().map_err(|_| PeerError::NoListener)?;
        let listener = tokio::net::TcpListener::from_std(listener);
        let listener = listener.map_err(|fault| PeerError::Listen(listen, fault))?;
        let (events, received) = mpsc::channel(link::EVENT_QUEUE_LENGTH);
        self.own_hello.set(self.hello());
        // Its own gateway comes from here.
        let mut allow = self.asked.allow.clone();
        allow.push(IpNet::from(loopback(listen).ip()));
        let silence =
            Duration::from_micros(SILENCE_WAITS * self.asked.timing().wait_us()).max(SILENCE_LEAST);
        let acceptor = Acceptor {
            allow,
            voters: self.voters.clone(),
            own: self.own_hello.clone(),
            idle_timeout: silence,
            events: events.clone(),
            traffic: self.traffic.clone(),
        };
        accept::listen(listener, acceptor);
        for peer in self
            .asked
            .voters()
            .filter(|peer| peer.id != self.me.gateway)
        {
            let (own, events, traffic) = (
                self.own_hello.clone(),
                events.clone(),
                self.traffic.members.clone(),
            );
            self.links.insert(
                peer.id.into(),
                Link::dial(peer.id.into(), peer.address, own, events, traffic),
            );
        }
        self.request_duties()?;
        Ok(received)
    }

    /// Whether it leads the log.
    pub(super) fn leads(&self) -> bool {
        matches!(&self.stage, Stage::Runs(node) if node.status().is_leader)
    }

    fn hello(&self) -> Hello {
        let (id, fresh) = match &self.stage {
            Stage::Runs(node) => (node.id(), node.status().applied == 0),
            Stage::Waits(_) | Stage::Starts => (0, true),
        };
        let (oldest, newest, fleet) = (frame::OLDEST_FORMAT, frame::NEWEST_FORMAT, self.digest);
        let (gateway, incarnation) = (self.me.gateway.into(), self.me.incarnation);
        Hello {
            oldest,
            newest,
            fleet,
            gateway,
            id,
            fresh,
            client: false,
            incarnation,
        }
    }

    /// Says hello again where what it says has changed.
    fn update_hello(&self) {
        let hello = self.hello();
        if self.own_hello.set(hello.clone()) {
            self.links
                .values()
                .for_each(|link| link.send(Payload::Hello(hello.clone())));
        }
    }

    /// Feeds what is agreed with an event, where there is a log.
    fn event(&mut self, event: Event) -> Result<(), PeerError> {
        let Stage::Runs(node) = &mut self.stage else {
            return Ok(());
        };
        Ok(node.handle(self.clock.now(), event, &mut self.out)?)
    }

    /// Says which duties this member wants.
    fn request_duties(&mut self) -> Result<(), PeerError> {
        self.asked
            .duties()
            .into_iter()
            .try_for_each(|duty| self.event(Event::Want(duty)))
    }

    /// Begins or learns the log, once it is clear whether there is one. A member that lost its log may have voted for what
    /// is no longer there, so it takes part under a new number; and a log is begun only where every voter is there and
    /// says that it has none, so that two that lost theirs never begin another beside the third's.
    fn begin_log(&mut self) -> Result<(), PeerError> {
        if !matches!(self.stage, Stage::Waits(_)) {
            return Ok(());
        }
        let me = u64::from(self.me.gateway);
        let fresh = |id: &u64| *id == me || self.hellos.get(id).is_some_and(|hello| hello.fresh);
        let (learn, begin) = (
            self.hellos.values().any(|hello| !hello.fresh),
            self.voters.iter().all(fresh),
        );
        if !(learn || begin) {
            return Ok(());
        }
        let Stage::Waits(mut store) = std::mem::replace(&mut self.stage, Stage::Starts) else {
            return Ok(());
        };
        let id = if learn {
            node::raft_id(me, self.me.incarnation)
        } else {
            me
        };
        let members = ConfState {
            voters: self.voters.iter().copied().collect(),
            ..Default::default()
        };
        store.initialize(id, &members)?;
        let now = self.clock.now();
        info!(at = now, gateway = me, id, learn, "log: begun");
        self.stage = Stage::Runs(node(id, store, self.me, &self.asked, now)?);
        self.request_duties()
    }

    /// A tick of the consensus has passed; they come often enough for all that is due here.
    pub(super) fn tick(&mut self) -> Result<(), PeerError> {
        let known = self
            .hellos
            .iter()
            .filter(|(_, hello)| hello.id != 0)
            .map(|(gateway, hello)| (*gateway, hello.id));
        let known: BTreeMap<u64, u64> = known.collect();
        if let Stage::Runs(node) = &mut self.stage {
            node.tick();
            node.reconcile_membership(&known, &self.voters);
            if let Some(ticks) = &mut self.drains {
                *ticks += 1;
                // What it gave back is in the log by then.
                if *ticks % ELECTION_TICKS == ELECTION_TICKS / 2 {
                    node.transfer_leadership();
                }
            }
        }
        self.log_traffic();
        self.event(Event::Tick)
    }

    /// Logs what it has sent and received since its start, once each renewal.
    fn log_traffic(&mut self) {
        let (at, gateway) = (self.clock.now(), self.me.gateway);
        if at < self.logs_traffic_at {
            return;
        }
        self.logs_traffic_at = at + self.asked.timing().renew_us;
        let (members, gateways) = (
            self.traffic.members.totals(),
            self.traffic.gateways.totals(),
        );
        info!(
            at,
            gateway,
            members.frames_in = members.frames_in,
            members.frames_out = members.frames_out,
            members.bytes_in = members.bytes_in,
            members.bytes_out = members.bytes_out,
            gateways.frames_in = gateways.frames_in,
            gateways.frames_out = gateways.frames_out,
            gateways.bytes_in = gateways.bytes_in,
            gateways.bytes_out = gateways.bytes_out,
            "control: traffic"
        );
    }

    /// Gives its duties back, and soon the leadership as well.
    pub(super) fn drain(&mut self) -> Result<(), PeerError> {
        self.drains = Some(0);
        self.event(Event::Drain)
    }

    /// Handles what a link of a member or of a gateway brings.
    pub(super) fn on_link_event(&mut self, event: LinkEvent) -> Result<(), PeerError> {
        match (event, &mut self.stage) {
            (LinkEvent::Hello(hello), _) => drop(self.hellos.insert(hello.gateway, hello)),
            (LinkEvent::Raft(message), Stage::Runs(node)) => node.step(*message),
            (LinkEvent::PeerLost(peer), Stage::Runs(node)) => node.report_unreachable(peer),
            (LinkEvent::SnapshotSent { peer, complete }, Stage::Runs(node)) => {
                node.report_snapshot(peer, complete)
            }
            (LinkEvent::GatewayConnected(gateway), _) => {
                let who = gateway.who;
                // The newest link counts; dropped, the former one is closed.
                self.gateways.insert(who, gateway);
                self.event(Event::Connected(who))?;
            }
            (LinkEvent::GatewayDisconnected { who, link }, _) => {
                if self
                    .gateways
                    .get(&who)
                    .is_some_and(|gateway| gateway.link == link)
                {
                    self.gateways.remove(&who);
                }
            }
            (LinkEvent::GatewayMessage(message), Stage::Runs(_)) => {
                self.event(Event::Received(message))?
            }
            // No log here yet: another member may know who leads.
            (LinkEvent::GatewayMessage(message), _) => {
                self.send(message.who(), &ToGateway::NotLeader { leader: None })
            }
            (
                LinkEvent::Raft(_) | LinkEvent::PeerLost(_) | LinkEvent::SnapshotSent { .. },
                Stage::Waits(_) | Stage::Starts,
            ) => {}
        }
        Ok(())
    }

    /// Has all that is ready stored, sent and applied, carries out what follows, and says what has changed.
    pub(super) fn settle(&mut self) -> Result<(), PeerError> {
        self.begin_log()?;
        let Stage::Runs(node) = &mut self.stage else {
            self.update_hello();
            return Ok(());
        };
        let links = &self.links;
        let mut send = |message: raft::eraftpb::Message| {
            if let Some(link) = links.get(&node::gateway_id_of(message.to)) {
                link.send(Payload::Raft(Box::new(message)));
            }
        };
        node.process_ready(self.clock.now(), &mut self.out, &mut send)?;
        let (now, status) = (self.clock.now(), node.status());
        for action in std::mem::take(&mut self.out) {
            self.carry_out(action, status.is_leader);
        }
        if (status.leader, status.term) != (self.logged_status.leader, self.logged_status.term) {
            info!(
                at = now,
                leader = status.leader,
                term = status.term,
                applied = status.applied,
                "log: leader"
            );
        }
        self.logged_status = status;
        self.update_hello();
        Ok(())
    }

    /// Sends a gateway something on its newest link; nothing where it has another incarnation or no link.
    fn send(&mut self, who: NodeIdentity, message: &ToGateway) {
        let Some(gateway) = self.gateways.get(&who) else {
            return;
        };
        match frame::encode_to_gateway(message) {
            Ok(frame) => {
                if !try_send(gateway, frame) {
                    self.gateways.remove(&who);
                }
            }
            Err(fault) => warn!(gateway = who.gateway, "control: not sent: {fault}"),
        }
    }

    /// Sends all gateways the same.
    fn broadcast(&mut self, message: &ToGateway) {
        match frame::encode_to_gateway(message) {
            Ok(frame) => self
                .gateways
                .retain(|_, gateway| try_send(gateway, frame.clone())),
            Err(fault) => warn!("control: not sent: {fault}"),
        }
    }

    fn carry_out(&mut self, action: Action, leads: bool) {
        let (at, gateway) = (self.clock.now(), self.me.gateway);
        match action {
            Action::Lease(lease::Action::Act { duty, token, until }) => {
                info!(
                    at,
                    gateway,
                    duty = duty.name(),
                    token = token.0,
                    until,
                    "duty: acting"
                );
            }
            Action::Lease(lease::Action::Stop { duty, token }) => {
                info!(
                    at,
                    gateway,
                    duty = duty.name(),
                    token = token.0,
                    "duty: stopped"
                );
            }
            Action::Send(who, message) => self.send(who, &message),
            Action::Broadcast(message) => self.broadcast(&message),
            // One line for the fleet: its leader's.
            Action::Counted { who, spans } if leads => {
                for span in spans {
                    let (topic, number, count) = (span.topic, span.number, span.count);
                    let (from, until) = (span.from, span.until);
                    let (gateway, incarnation) = (who.gateway, who.incarnation);
                    info!(
                        at,
                        gateway,
                        incarnation,
                        ?topic,
                        number,
                        from,
                        until,
                        count,
                        "audit"
                    );
                }
            }
            Action::Counted { .. } => {}
            // The node has taken these; ticks come often enough.
            Action::Propose(_) | Action::Confirm(_) | Action::Wake(_) | Action::Lease(_) => {}
        }
    }
}
