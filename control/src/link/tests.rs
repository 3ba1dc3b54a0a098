//! Links over loopback, between the two sides as they are.

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
const LONG: Duration = Duration::from_secs(20);
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

fn played(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async { timeout(LONG, test).await.expect("in time") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// A control member's side: where it listens, and what comes in.
struct Member {
    address: SocketAddr,
    events: mpsc::Receiver<accept::LinkEvent>,
    traffic: MemberTraffic,
}

async fn member(gateway: u64, idle_timeout: Duration) -> Member {
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
    /// The next gateway that comes.
    async fn came(&mut self) -> GatewayLink {
        loop {
            match self.events.recv().await {
                Some(accept::LinkEvent::GatewayConnected(client)) => return client,
                Some(_) => {}
                None => panic!("the listener ended"),
            }
        }
    }

    /// Waits until a gateway's link is gone, by its number.
    async fn left(&mut self) -> u64 {
        loop {
            match self.events.recv().await {
                Some(accept::LinkEvent::GatewayDisconnected { link, .. }) => return link,
                Some(_) => {}
                None => panic!("the listener ended"),
            }
        }
    }
}

/// A link by hand, on which both sides have said hello.
async fn connect(
    address: SocketAddr,
    hello: &Hello,
) -> (FrameReader<OwnedReadHalf>, OwnedWriteHalf) {
    let (read, mut write) = TcpStream::connect(address)
        .await
        .expect("connected")
        .into_split();
    let hello = frame::encode_hello(hello).expect("short");
    frame::write(&mut write, &hello, &Traffic::default())
        .await
        .expect("written");
    let mut frames = FrameReader::new(read, Traffic::default());
    assert!(matches!(frames.next().await, Ok(Payload::Hello(_))));
    (frames, write)
}

fn heartbeat(who: NodeIdentity) -> ToControl {
    let formats = Formats {
        oldest: 1,
        newest: 2,
    };
    ToControl::Heartbeat {
        who,
        formats,
        token: None,
        sent_at: 1,
        known_index: Index(0),
    }
}

async fn say(write: &mut OwnedWriteHalf, message: &ToControl) {
    let frame = frame::encode_to_control(message).expect("short");
    frame::write(write, &frame, &Traffic::default())
        .await
        .expect("written");
}

/// A gateway goes to the leader, and to another member when that one is lost.
#[test]
fn gateway_follows_leader_and_fails_over() {
    played(async {
        let mut members = [
            member(1, LONG).await,
            member(2, LONG).await,
            member(3, LONG).await,
        ];
        let (events, mut received) = mpsc::channel(super::EVENT_QUEUE_LENGTH);
        let places = members
            .iter()
            .zip(1..)
            .map(|(member, number)| (number, member.address))
            .collect();
        let own = Hello::of_client(ME, FLEET);
        let search = LeaderSearch {
            members: places,
            own,
            timing: TIMING,
            seed: 1,
            events,
            traffic: Traffic::default(),
        };
        let link = Link::start(search);
        let [one, two, three] = &mut members;
        let (first, asked) = tokio::select! {
            client = one.came() => (client, 1),
            client = two.came() => (client, 2),
            client = three.came() => (client, 3),
        };
        let Some(gateway::LinkEvent::Up(up)) = received.recv().await else {
            panic!("up first")
        };
        // What is asked of a link that is gone is left undone.
        link.switch(gateway::LinkId(up.0 + 1), Some(asked));
        link.switch(up, Some(asked % 3 + 1));
        let leader = &mut members[asked as usize % 3];
        let client = leader.came().await;
        assert_eq!(client.who, ME);
        assert!(
            matches!(received.recv().await, Some(gateway::LinkEvent::Down(gone)) if gone == up)
        );
        let Some(gateway::LinkEvent::Up(now)) = received.recv().await else {
            panic!("up again")
        };
        link.send(now, heartbeat(ME));
        let said = leader.events.recv().await;
        assert!(
            matches!(said, Some(accept::LinkEvent::GatewayMessage(message)) if message == heartbeat(ME))
        );
        let kept = ToGateway::RegistrationRenewed {
            who: ME,
            token: Token(1),
            sent_at: 1,
            required_index: Index(0),
            registrations: 1,
        };
        assert!(client.send(frame::encode_to_gateway(&kept).expect("short")));
        assert!(
            matches!(received.recv().await, Some(gateway::LinkEvent::Received(on, said)) if on == now && said == kept)
        );
        // The leader falls: the gateway comes to another.
        drop(first);
        drop(client);
        leader.events.close();
        let others = members
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| *n != asked as usize % 3);
        let mut others: Vec<&mut Member> = others.map(|(_, member)| member).collect();
        let (one, two) = others.split_at_mut(1);
        tokio::select! {
            client = one[0].came() => assert_eq!(client.who, ME),
            client = two[0].came() => assert_eq!(client.who, ME),
        }
    });
}

/// A gateway sends only its own messages, and none of the log.
#[test]
fn gateway_cannot_impersonate_or_send_raft() {
    played(async {
        let mut member = member(1, LONG).await;
        let own = Hello::of_client(ME, FLEET);
        for other in [
            NodeIdentity { gateway: 18, ..ME },
            NodeIdentity {
                incarnation: 4,
                ..ME
            },
        ] {
            let (mut frames, mut write) = connect(member.address, &own).await;
            let served = member.came().await;
            say(&mut write, &heartbeat(other)).await;
            assert_eq!(
                member.left().await,
                served.link,
                "for another gateway or incarnation"
            );
            assert!(frames.next().await.is_err());
        }
        let (mut frames, mut write) = connect(member.address, &own).await;
        let served = member.came().await;
        let message = raft::eraftpb::Message {
            from: 17,
            to: 1,
            term: 7,
            ..Default::default()
        };
        let raft = frame::encode_raft(&message).expect("short");
        frame::write(&mut write, &raft, &Traffic::default())
            .await
            .expect("written");
        assert_eq!(
            member.left().await,
            served.link,
            "a message of the consensus"
        );
        assert!(frames.next().await.is_err());
        // One that does not vote is no member, whatever it says.
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

/// A gateway of another fleet is rejected, and learns why.
#[test]
fn gateway_of_other_fleet_is_rejected() {
    played(async {
        let member = member(1, LONG).await;
        let own = Hello::of_client(ME, FLEET + 1);
        let fault = super::handshake(1, member.address, &own, LONG, &Traffic::default()).await;
        assert!(matches!(fault, Err(FrameError::OtherFleet)));
        let own = Hello::of_client(ME, FLEET);
        let fault = super::handshake(2, member.address, &own, LONG, &Traffic::default()).await;
        assert!(
            matches!(fault, Err(FrameError::UnexpectedGateway(1))),
            "another member than it was taken for"
        );
    });
}

/// A gateway that is silent for too long loses its link.
#[test]
fn idle_gateway_loses_its_link() {
    played(async {
        let mut member = member(1, Duration::from_millis(100)).await;
        let (mut frames, mut write) = connect(member.address, &Hello::of_client(ME, FLEET)).await;
        say(&mut write, &heartbeat(ME)).await;
        let served = member.came().await;
        assert_eq!(member.left().await, served.link);
        assert!(matches!(frames.next().await, Err(FrameError::Closed)));
    });
}

/// A gateway that receives nothing is detected by its full queue.
#[test]
fn full_queue_detects_stuck_gateway() {
    played(async {
        let mut member = member(1, LONG).await;
        let _link = connect(member.address, &Hello::of_client(ME, FLEET)).await;
        let client = member.came().await;
        let content = Content {
            format: 1,
            bytes: vec![7; 60_000],
        };
        let topic = TopicState {
            topic: Topic::Operator,
            active: 1,
            previous: 0,
            proposal: Some(Version { number: 2, content }),
        };
        let state = ToGateway::TopicStates {
            as_of: Index(2),
            since: Index(0),
            topics: vec![topic],
        };
        let frame = frame::encode_to_gateway(&state).expect("short");
        while client.send(frame.clone()) {
            tokio::task::yield_now().await;
        }
        drop(client);
        member.left().await;
    });
}

/// Traffic of members and of gateways is counted apart.
#[test]
fn traffic_is_counted_by_kind_of_peer() {
    played(async {
        let mut member = member(1, LONG).await;
        let own = Hello::of_client(ME, FLEET);
        let (mut frames, mut write) = connect(member.address, &own).await;
        let client = member.came().await;
        say(&mut write, &heartbeat(ME)).await;
        assert!(matches!(
            member.events.recv().await,
            Some(accept::LinkEvent::GatewayMessage(_))
        ));
        let kept = ToGateway::RegistrationRenewed {
            who: ME,
            token: Token(1),
            sent_at: 1,
            required_index: Index(0),
            registrations: 1,
        };
        let kept = frame::encode_to_gateway(&kept).expect("short");
        assert!(client.send(kept.clone()));
        assert!(matches!(frames.next().await, Ok(Payload::ToGateway(_))));
        let said = frame::encode_to_control(&heartbeat(ME))
            .expect("short")
            .len() as u64;
        let (bytes_in, bytes_out) = (said, kept.len() as u64);
        let expected = TrafficTotals {
            frames_in: 1,
            frames_out: 1,
            bytes_in,
            bytes_out,
        };
        assert_eq!(member.traffic.gateways.totals(), expected);
        // Who dials is known by its first frame alone.
        let hello = member.traffic.members.totals();
        assert_eq!((hello.frames_in, hello.frames_out), (1, 1));

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
        let raft = frame::encode_raft(&message).expect("short");
        frame::write(&mut write, &raft, &Traffic::default())
            .await
            .expect("written");
        assert!(matches!(
            member.events.recv().await,
            Some(accept::LinkEvent::Raft(_))
        ));
        assert_eq!(
            member.traffic.members.totals().frames_in,
            hello.frames_in + 2,
            "a hello and a message"
        );
        assert_eq!(member.traffic.gateways.totals(), expected, "as before");
    });
}
