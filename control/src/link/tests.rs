//! Tests of links over loopback, with the production code on both sides.

use super::accept::{self, Acceptor, GatewayLink};
use super::gateway::{self, LeaderSearch, Link};
use super::SharedHello;
use crate::frame::{self, FrameError, FrameReader, Hello, Payload};
use crate::lease::{Index, NodeIdentity, Timing, Token};
use crate::traffic::{MemberTraffic, Traffic, TrafficTotals};
use crate::versions::{Content, Formats, ToControl, ToGateway, Topic, TopicState, Version};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

const FLEET: u64 = 9;
const TIMEOUT: Duration = Duration::from_secs(20);
const TIMING: Timing = Timing {
    lease_us: 3_000_000,
    renew_us: 1_000_000,
    drift_ppm: 1_000,
    margin_us: 50_000,
};
const ME: NodeIdentity = NodeIdentity {
    gateway: 17,
    incarnation: 3,
};

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async { timeout(TIMEOUT, test).await.expect("in time") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// A control member's side of the links: its address, and the events of its links.
struct Member {
    address: SocketAddr,
    events: mpsc::Receiver<accept::LinkEvent>,
    traffic: MemberTraffic,
}

async fn start_member(gateway: u64, idle_timeout: Duration) -> Member {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let (events, received) = mpsc::channel(super::EVENT_QUEUE_LENGTH);
    let own = SharedHello::default();
    own.set(Hello {
        client: false,
        gateway,
        ..Hello::of_client(ME, FLEET)
    });
    let allow = crate::settings::loopback_networks();
    let (voters, traffic) = ([1, 2, 3].into(), MemberTraffic::default());
    accept::listen(
        listener,
        Acceptor {
            allow,
            voters,
            own,
            idle_timeout,
            events,
            traffic: traffic.clone(),
        },
    );
    Member {
        address,
        events: received,
        traffic,
    }
}

impl Member {
    /// The handle to the link of the next gateway that connects.
    async fn next_gateway(&mut self) -> GatewayLink {
        loop {
            match self.events.recv().await {
                Some(accept::LinkEvent::GatewayConnected(gateway)) => return gateway,
                Some(_) => {}
                None => panic!("the listener ended"),
            }
        }
    }

    /// Waits until the link of a gateway ends; returns its number.
    async fn next_disconnected_link(&mut self) -> u64 {
        loop {
            match self.events.recv().await {
                Some(accept::LinkEvent::GatewayDisconnected { link_number, .. }) => {
                    return link_number
                }
                Some(_) => {}
                None => panic!("the listener ended"),
            }
        }
    }
}

/// A connection to a member after the handshake, on which the test writes the frames itself.
async fn connect(
    address: SocketAddr,
    hello: &Hello,
) -> (FrameReader<OwnedReadHalf>, OwnedWriteHalf) {
    let (read, mut write) = TcpStream::connect(address)
        .await
        .expect("connected")
        .into_split();
    let hello = frame::encode_hello(hello).expect("a frame within the limit");
    frame::write(&mut write, &hello, &Traffic::default())
        .await
        .expect("written");
    let mut frames = FrameReader::new(read, Traffic::default());
    assert!(matches!(frames.next().await, Ok(Payload::Hello(_))));
    (frames, write)
}

fn heartbeat(identity: NodeIdentity) -> ToControl {
    let formats = Formats {
        oldest: 1,
        newest: 2,
    };
    ToControl::Heartbeat {
        identity,
        formats,
        token: None,
        sent_at: 1,
        known_index: Index(0),
    }
}

async fn send(write: &mut OwnedWriteHalf, message: &ToControl) {
    let frame = frame::encode_to_control(message).expect("a frame within the limit");
    frame::write(write, &frame, &Traffic::default())
        .await
        .expect("written");
}

/// A gateway connects to the leader that a member names, and to another member when the link to the leader is lost.
#[test]
fn gateway_follows_leader_and_fails_over() {
    run_test(async {
        let mut members = [
            start_member(1, TIMEOUT).await,
            start_member(2, TIMEOUT).await,
            start_member(3, TIMEOUT).await,
        ];
        let (events, mut received) = mpsc::channel(super::EVENT_QUEUE_LENGTH);
        let addresses = members
            .iter()
            .zip(1..)
            .map(|(member, number)| (number, member.address))
            .collect();
        let own = Hello::of_client(ME, FLEET);
        let search = LeaderSearch {
            members: addresses,
            own,
            timing: TIMING,
            seed: 1,
            events,
            traffic: Traffic::default(),
        };
        let link = Link::start(search);
        let [first, second, third] = &mut members;
        let (first_handle, first_number) = tokio::select! {
            handle = first.next_gateway() => (handle, 1),
            handle = second.next_gateway() => (handle, 2),
            handle = third.next_gateway() => (handle, 3),
        };
        let Some(gateway::LinkEvent::Up(first_link)) = received.recv().await else {
            panic!("the first link is not up")
        };
        // A command for another link than the current one has no effect.
        link.switch(gateway::LinkId(first_link.0 + 1), Some(first_number));
        link.switch(first_link, Some(first_number % 3 + 1));
        let leader = &mut members[first_number as usize % 3];
        let leader_handle = leader.next_gateway().await;
        assert_eq!(leader_handle.identity, ME);
        assert!(
            matches!(received.recv().await, Some(gateway::LinkEvent::Down(ended)) if ended == first_link)
        );
        let Some(gateway::LinkEvent::Up(leader_link)) = received.recv().await else {
            panic!("the link to the leader is not up")
        };
        link.send(leader_link, heartbeat(ME));
        let event = leader.events.recv().await;
        assert!(
            matches!(event, Some(accept::LinkEvent::GatewayMessage(message)) if message == heartbeat(ME))
        );
        let renewal = ToGateway::RegistrationRenewed {
            identity: ME,
            token: Token(1),
            sent_at: 1,
            required_index: Index(0),
            registrations: 1,
        };
        assert!(leader_handle
            .send(frame::encode_to_gateway(&renewal).expect("a frame within the limit")));
        assert!(
            matches!(received.recv().await, Some(gateway::LinkEvent::Received(on, message)) if on == leader_link && message == renewal)
        );
        // The leader fails, and the gateway connects to another member.
        drop(first_handle);
        drop(leader_handle);
        leader.events.close();
        let others = members
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| *n != first_number as usize % 3);
        let mut others: Vec<&mut Member> = others.map(|(_, member)| member).collect();
        let (first, second) = others.split_at_mut(1);
        tokio::select! {
            handle = first[0].next_gateway() => assert_eq!(handle.identity, ME),
            handle = second[0].next_gateway() => assert_eq!(handle.identity, ME),
        }
    });
}

/// A link closes when its gateway sends a message in the name of another gateway or incarnation, or a Raft message.
#[test]
fn gateway_cannot_impersonate_or_send_raft() {
    run_test(async {
        let mut member = start_member(1, TIMEOUT).await;
        let own = Hello::of_client(ME, FLEET);
        for other in [
            NodeIdentity { gateway: 18, ..ME },
            NodeIdentity {
                incarnation: 4,
                ..ME
            },
        ] {
            let (mut frames, mut write) = connect(member.address, &own).await;
            let handle = member.next_gateway().await;
            send(&mut write, &heartbeat(other)).await;
            assert_eq!(
                member.next_disconnected_link().await,
                handle.link_number,
                "a heartbeat of another gateway or incarnation"
            );
            assert!(frames.next().await.is_err());
        }
        let (mut frames, mut write) = connect(member.address, &own).await;
        let handle = member.next_gateway().await;
        let message = raft::eraftpb::Message {
            from: 17,
            to: 1,
            term: 7,
            ..Default::default()
        };
        let raft = frame::encode_raft(&message).expect("a frame within the limit");
        frame::write(&mut write, &raft, &Traffic::default())
            .await
            .expect("written");
        assert_eq!(
            member.next_disconnected_link().await,
            handle.link_number,
            "a Raft message"
        );
        assert!(frames.next().await.is_err());
        // A peer that is no voter is rejected, even if its hello says that it is a control member.
        let (mut frames, _write) = connect(
            member.address,
            &Hello {
                client: false,
                ..own
            },
        )
        .await;
        assert!(frames.next().await.is_err());
    });
}

/// A gateway of another fleet is rejected, and its error says so.
#[test]
fn gateway_of_other_fleet_is_rejected() {
    run_test(async {
        let member = start_member(1, TIMEOUT).await;
        let own = Hello::of_client(ME, FLEET + 1);
        let error = super::handshake(1, member.address, &own, TIMEOUT, &Traffic::default()).await;
        assert!(matches!(error, Err(FrameError::OtherFleet)));
        let own = Hello::of_client(ME, FLEET);
        let error = super::handshake(2, member.address, &own, TIMEOUT, &Traffic::default()).await;
        assert!(
            matches!(error, Err(FrameError::UnexpectedGateway(1))),
            "the member that answers is not the one that was expected"
        );
    });
}

/// The link of a gateway that sends nothing for the idle timeout is closed.
#[test]
fn idle_gateway_loses_its_link() {
    run_test(async {
        let mut member = start_member(1, Duration::from_millis(100)).await;
        let (mut frames, mut write) = connect(member.address, &Hello::of_client(ME, FLEET)).await;
        send(&mut write, &heartbeat(ME)).await;
        let handle = member.next_gateway().await;
        assert_eq!(member.next_disconnected_link().await, handle.link_number);
        assert!(matches!(frames.next().await, Err(FrameError::Closed)));
    });
}

/// A gateway that does not read is detected by its full queue.
#[test]
fn full_queue_detects_stuck_gateway() {
    run_test(async {
        let mut member = start_member(1, TIMEOUT).await;
        let _link = connect(member.address, &Hello::of_client(ME, FLEET)).await;
        let handle = member.next_gateway().await;
        let content = Content {
            format: 1,
            bytes: vec![7; 60_000],
        };
        let topic = TopicState {
            topic: Topic::Operator,
            active: 1,
            active_content: None,
            previous: 0,
            proposal: Some(Version { number: 2, content }),
        };
        let state = ToGateway::TopicStates {
            state_index: Index(2),
            since: Index(0),
            topics: vec![topic],
        };
        let frame = frame::encode_to_gateway(&state).expect("a frame within the limit");
        while handle.send(frame.clone()) {
            tokio::task::yield_now().await;
        }
        drop(handle);
        member.next_disconnected_link().await;
    });
}

/// Traffic with members and with gateways is counted separately.
#[test]
fn traffic_is_counted_by_kind_of_peer() {
    run_test(async {
        let mut member = start_member(1, TIMEOUT).await;
        let own = Hello::of_client(ME, FLEET);
        let (mut frames, mut write) = connect(member.address, &own).await;
        let handle = member.next_gateway().await;
        send(&mut write, &heartbeat(ME)).await;
        assert!(matches!(
            member.events.recv().await,
            Some(accept::LinkEvent::GatewayMessage(_))
        ));
        let renewal = ToGateway::RegistrationRenewed {
            identity: ME,
            token: Token(1),
            sent_at: 1,
            required_index: Index(0),
            registrations: 1,
        };
        let renewal = frame::encode_to_gateway(&renewal).expect("a frame within the limit");
        assert!(handle.send(renewal.clone()));
        assert!(matches!(frames.next().await, Ok(Payload::ToGateway(_))));
        let heartbeat_bytes = frame::encode_to_control(&heartbeat(ME))
            .expect("a frame within the limit")
            .len() as u64;
        let (bytes_in, bytes_out) = (heartbeat_bytes, renewal.len() as u64);
        let expected = TrafficTotals {
            frames_in: 1,
            frames_out: 1,
            bytes_in,
            bytes_out,
        };
        assert_eq!(member.traffic.gateways.totals(), expected);
        // The kind of a peer is known only after its first frame, which is counted as a member's.
        let handshake = member.traffic.members.totals();
        assert_eq!((handshake.frames_in, handshake.frames_out), (1, 1));

        let (_frames, mut write) = connect(
            member.address,
            &Hello {
                client: false,
                gateway: 2,
                ..own
            },
        )
        .await;
        assert!(matches!(
            member.events.recv().await,
            Some(accept::LinkEvent::Hello(_))
        ));
        let message = raft::eraftpb::Message {
            from: 2,
            to: 1,
            term: 7,
            ..Default::default()
        };
        let raft = frame::encode_raft(&message).expect("a frame within the limit");
        frame::write(&mut write, &raft, &Traffic::default())
            .await
            .expect("written");
        assert!(matches!(
            member.events.recv().await,
            Some(accept::LinkEvent::Raft(_))
        ));
        assert_eq!(
            member.traffic.members.totals().frames_in,
            handshake.frames_in + 2,
            "a hello and a Raft message"
        );
        assert_eq!(member.traffic.gateways.totals(), expected, "unchanged");
    });
}
