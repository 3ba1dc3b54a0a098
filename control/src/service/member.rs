//! A control member's part of the loop: the replicated log with the other members, and the gateways that it serves.
//!
//! Nothing is sent to a gateway before the entries that it depends on are stored and applied.

use super::gateway::connect_address;
use super::served::ServedGateways;
use super::{fleet_digest, ControlError};
use crate::clock::Clock;
use crate::frame::{self, Hello, Payload};
use crate::lease::{self, NodeIdentity, Timing};
use crate::link::accept::{self, Acceptor, LinkEvent};
use crate::link::{self, member::Link, SharedHello};
use crate::node::{self, Node, NodeError, RaftStatus};
use crate::settings::ControlSettings;
use crate::state_machine::{Action, Event, StateMachine};
use crate::store::Store;
use crate::traffic::MemberTraffic;
use crate::versions::ToGateway;
use crate::Micros;
use ipnet::IpNet;
use raft::eraftpb::ConfState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, Interval, MissedTickBehavior};
use tracing::info;

/// Raft ticks in an election timeout. Raft draws each timeout at random, between one and two times this number of ticks: the
/// more ticks, the rarer are split votes.
const ELECTION_TICKS: usize = 20;
/// Election timeouts in the slack of a lease, which is the time from when a gateway's renewal is due to when its permission
/// ends. An election, and a second one after a split vote, take at most four election timeouts.
const ELECTION_TIMEOUTS_PER_SLACK: u64 = 6;
/// The shortest election timeout: with a shorter one, a leader that waits for a busy disk loses its leadership.
const MIN_ELECTION_TIMEOUT_US: Micros = 200_000;
/// The shortest idle timeout of a gateway's link, however short the leases are: a process that stalls for a few seconds keeps
/// its link.
const MIN_GATEWAY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The idle timeout of a gateway's link, as a multiple of [`Timing::wait_us`].
const GATEWAY_IDLE_WAITS: u64 = 2;

/// The timer of Raft's ticks, short enough for a new leader to be elected before the permissions of gateways end.
pub(super) fn tick_interval(timing: &Timing) -> Interval {
    let slack = timing
        .lease_us
        .saturating_sub(timing.renew_us + timing.margin_us);
    let election = (slack / ELECTION_TIMEOUTS_PER_SLACK).max(MIN_ELECTION_TIMEOUT_US);
    let mut ticks = interval(Duration::from_micros(election / ELECTION_TICKS as u64));
    // Ticks that were missed while the process stalled must not count towards an election timeout.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Whether this member has a log.
enum LogState {
    /// This member has no log, and waits until it knows whether another member has one.
    Waiting(Store),
    /// This member has a log, and takes part in Raft.
    Running(Box<Node>),
    /// The store is being initialized.
    Starting,
}

/// The state of a control member: its Raft node, its links, and the gateways connected to it.
pub(super) struct Member {
    settings: ControlSettings,
    clock: Clock,
    me: NodeIdentity,
    /// See [`fleet_digest`].
    fleet_digest: u64,
    log: LogState,
    voters: BTreeSet<u64>,
    links: BTreeMap<u64, Link>,
    /// The last hello of each other member.
    hellos: BTreeMap<u64, Hello>,
    own_hello: SharedHello,
    gateways: ServedGateways,
    /// The status that was logged last.
    logged_status: RaftStatus,
    /// Ticks since graceful shutdown began.
    draining_ticks: Option<usize>,
    /// Actions of the state machine. They are carried out once the entries that they depend on are stored and applied.
    actions: Vec<Action>,
    traffic: MemberTraffic,
    /// When the traffic is logged next.
    next_traffic_log_at: Micros,
}

/// The Raft node with this id, on a store that has a log.
fn open_node(
    id: u64,
    store: Store,
    me: NodeIdentity,
    settings: &ControlSettings,
    now: Micros,
) -> Result<Box<Node>, NodeError> {
    let state_machine = StateMachine::new(me, settings.timing());
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
    pub(super) fn open(
        settings: &ControlSettings,
        clock: Clock,
        me: NodeIdentity,
    ) -> Result<Member, ControlError> {
        let store = Store::open(&settings.store, settings.me.into())?;
        let log = match store.raft_id() {
            Some(id) => LogState::Running(open_node(id, store, me, settings, clock.now())?),
            None => LogState::Waiting(store),
        };
        Ok(Member {
            fleet_digest: fleet_digest(settings),
            voters: settings.voters().map(|peer| peer.id.into()).collect(),
            settings: settings.clone(),
            clock,
            me,
            log,
            links: BTreeMap::new(),
            hellos: BTreeMap::new(),
            own_hello: SharedHello::default(),
            gateways: ServedGateways::default(),
            logged_status: RaftStatus::default(),
            draining_ticks: None,
            actions: Vec::new(),
            traffic: MemberTraffic::default(),
            next_traffic_log_at: 0,
        })
    }

    /// Dials the other members and accepts links; returns the queue of the events of all links.
    pub(super) fn open_links(
        &mut self,
        listener: std::net::TcpListener,
    ) -> Result<mpsc::Receiver<LinkEvent>, ControlError> {
        let listen = listener
            .local_addr()
            .map_err(|_| ControlError::NoListener)?;
        let listener = tokio::net::TcpListener::from_std(listener);
        let listener = listener.map_err(|error| ControlError::Listen(listen, error))?;
        let (events, received) = mpsc::channel(link::EVENT_QUEUE_LENGTH);
        self.own_hello.set(self.hello());
        // The gateway of this process connects from this address.
        let mut allow = self.settings.allow.clone();
        allow.push(IpNet::from(connect_address(listen).ip()));
        let idle_timeout =
            Duration::from_micros(GATEWAY_IDLE_WAITS * self.settings.timing().wait_us())
                .max(MIN_GATEWAY_IDLE_TIMEOUT);
        let acceptor = Acceptor {
            allow,
            voters: self.voters.clone(),
            own: self.own_hello.clone(),
            idle_timeout,
            events: events.clone(),
            traffic: self.traffic.clone(),
        };
        accept::listen(listener, acceptor);
        for peer in self
            .settings
            .voters()
            .filter(|peer| peer.id != self.me.gateway)
        {
            let link = Link::dial(
                peer.id.into(),
                peer.address,
                self.own_hello.clone(),
                events.clone(),
                self.traffic.members.clone(),
            );
            self.links.insert(peer.id.into(), link);
        }
        self.request_duties()?;
        Ok(received)
    }

    /// Whether this member is the Raft leader.
    pub(super) fn leads(&self) -> bool {
        matches!(&self.log, LogState::Running(node) if node.status().is_leader)
    }

    fn hello(&self) -> Hello {
        let (raft_id, fresh) = match &self.log {
            LogState::Running(node) => (node.id(), node.status().applied == 0),
            LogState::Waiting(_) | LogState::Starting => (0, true),
        };
        let (oldest, newest, fleet_digest) = (
            frame::OLDEST_FORMAT,
            frame::NEWEST_FORMAT,
            self.fleet_digest,
        );
        let (gateway, incarnation) = (self.me.gateway.into(), self.me.incarnation);
        Hello {
            oldest,
            newest,
            fleet_digest,
            gateway,
            raft_id,
            fresh,
            client: false,
            incarnation,
        }
    }

    /// Sends the hello to all other members again if it has changed.
    fn update_hello(&self) {
        let hello = self.hello();
        if self.own_hello.set(hello.clone()) {
            self.links
                .values()
                .for_each(|link| link.send(Payload::Hello(hello.clone())));
        }
    }

    /// Passes an event to the state machine; without effect while this member has no log.
    fn handle(&mut self, event: Event) -> Result<(), ControlError> {
        let LogState::Running(node) = &mut self.log else {
            return Ok(());
        };
        Ok(node.handle(self.clock.now(), event, &mut self.actions)?)
    }

    /// Requests the duties that the settings list.
    fn request_duties(&mut self) -> Result<(), ControlError> {
        self.settings
            .duties()
            .into_iter()
            .try_for_each(|duty| self.handle(Event::HoldDuty(duty)))
    }

    /// Initializes this member's log once it is known whether the fleet has one already: it learns an existing log, or all
    /// voters start a new one. A member that lost its log may have forgotten votes that it cast, so it takes part under a new
    /// Raft id. A new log is started only if every voter is connected and has none. Otherwise two members that lost theirs
    /// could start a second log beside the third member's.
    fn initialize_log(&mut self) -> Result<(), ControlError> {
        if !matches!(self.log, LogState::Waiting(_)) {
            return Ok(());
        }
        let me = u64::from(self.me.gateway);
        let fresh = |id: &u64| *id == me || self.hellos.get(id).is_some_and(|hello| hello.fresh);
        let learn = self.hellos.values().any(|hello| !hello.fresh);
        let start_new = self.voters.iter().all(fresh);
        if !(learn || start_new) {
            return Ok(());
        }
        let LogState::Waiting(mut store) = std::mem::replace(&mut self.log, LogState::Starting)
        else {
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
        info!(at = now, gateway = me, id, learn, "log: initialized");
        self.log = LogState::Running(open_node(id, store, self.me, &self.settings, now)?);
        self.request_duties()
    }

    /// Handles a Raft tick. Ticks are frequent enough to serve as all other timers of a control member.
    pub(super) fn tick(&mut self) -> Result<(), ControlError> {
        let known = self
            .hellos
            .iter()
            .filter(|(_, hello)| hello.raft_id != 0)
            .map(|(gateway, hello)| (*gateway, hello.raft_id));
        let known: BTreeMap<u64, u64> = known.collect();
        if let LogState::Running(node) = &mut self.log {
            node.tick();
            node.reconcile_membership(&known, &self.voters);
            if let Some(ticks) = &mut self.draining_ticks {
                *ticks += 1;
                // First after half an election timeout, when the log has the releases of this member's duties; repeated once
                // per election timeout while this member still leads.
                if *ticks % ELECTION_TICKS == ELECTION_TICKS / 2 {
                    node.transfer_leadership();
                }
            }
        }
        self.log_traffic();
        self.handle(Event::Tick)
    }

    /// Logs the traffic since the start, once each renewal interval.
    fn log_traffic(&mut self) {
        let (at, gateway) = (self.clock.now(), self.me.gateway);
        if at < self.next_traffic_log_at {
            return;
        }
        self.next_traffic_log_at = at + self.settings.timing().renew_us;
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

    /// Begins a graceful shutdown: releases the duties at once, and transfers the leadership soon after.
    pub(super) fn drain(&mut self) -> Result<(), ControlError> {
        self.draining_ticks = Some(0);
        self.handle(Event::Drain)
    }

    /// Handles an event of a link to another member or to a gateway.
    pub(super) fn on_link_event(&mut self, event: LinkEvent) -> Result<(), ControlError> {
        match (event, &mut self.log) {
            (LinkEvent::Hello(hello), _) => drop(self.hellos.insert(hello.gateway, hello)),
            (LinkEvent::Raft(message), LogState::Running(node)) => node.step(*message),
            (LinkEvent::PeerLost(peer), LogState::Running(node)) => node.report_unreachable(peer),
            (LinkEvent::SnapshotSent { peer, complete }, LogState::Running(node)) => {
                node.report_snapshot(peer, complete)
            }
            (LinkEvent::GatewayConnected(gateway), _) => {
                let identity = gateway.identity;
                self.gateways.connect(gateway);
                self.handle(Event::Connected(identity))?;
            }
            (
                LinkEvent::GatewayDisconnected {
                    identity,
                    link_number,
                },
                _,
            ) => {
                self.gateways.disconnect(identity, link_number);
            }
            (LinkEvent::GatewayMessage(message), LogState::Running(_)) => {
                self.handle(Event::Received(message))?
            }
            // A member without a log does not know the leader. Another one may.
            (LinkEvent::GatewayMessage(message), _) => self
                .gateways
                .send(message.identity(), &ToGateway::NotLeader { leader: None }),
            (
                LinkEvent::Raft(_) | LinkEvent::PeerLost(_) | LinkEvent::SnapshotSent { .. },
                LogState::Waiting(_) | LogState::Starting,
            ) => {}
        }
        Ok(())
    }

    /// Stores, sends and applies what Raft has ready, carries out the resulting actions, and sends the hello if it changed.
    pub(super) fn drive(&mut self) -> Result<(), ControlError> {
        self.initialize_log()?;
        let LogState::Running(node) = &mut self.log else {
            self.update_hello();
            return Ok(());
        };
        let links = &self.links;
        let mut send = |message: raft::eraftpb::Message| {
            if let Some(link) = links.get(&node::gateway_id_of(message.to)) {
                link.send(Payload::Raft(Box::new(message)));
            }
        };
        node.process_ready(self.clock.now(), &mut self.actions, &mut send)?;
        let (now, status) = (self.clock.now(), node.status());
        for action in std::mem::take(&mut self.actions) {
            self.execute(action, status.is_leader);
        }
        if (status.leader, status.term) != (self.logged_status.leader, self.logged_status.term) {
            info!(
                at = now,
                leader = status.leader,
                term = status.term,
                applied = status.applied,
                "log: leader or term changed"
            );
        }
        self.logged_status = status;
        self.update_hello();
        Ok(())
    }

    fn execute(&mut self, action: Action, leads: bool) {
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
                    "duty: stopped acting"
                );
            }
            Action::Send(identity, message) => self.gateways.send(identity, &message),
            Action::Broadcast(message) => self.gateways.broadcast(&message),
            // Every member counts the actions. Only the leader logs them, so that each is logged once in the fleet.
            Action::ReportCounted { identity, spans } if leads => {
                for span in spans {
                    let (topic, number, count) = (span.topic, span.number, span.count);
                    let (from, until) = (span.from, span.until);
                    let (gateway, incarnation) = (identity.gateway, identity.incarnation);
                    info!(
                        at,
                        gateway,
                        incarnation,
                        ?topic,
                        number,
                        from,
                        until,
                        count,
                        "audit: actions counted"
                    );
                }
            }
            Action::ReportCounted { .. } => {}
            // The node has handled proposals and read-index rounds. Ticks are frequent enough to replace wakeups.
            Action::Propose(_) | Action::RequestRound(_) | Action::Wake(_) | Action::Lease(_) => {}
        }
    }
}
