//! What control members and gateways say to each other: frames of a length and a `prost` message, with the formats that
//! each side speaks.

use crate::lease::NodeIdentity;
use crate::traffic::Traffic;
use crate::versions::{ToControl, ToGateway};
use bytes::{Bytes, BytesMut};
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The formats of frames that this build reads and writes. A gateway of the version before or after is spoken to in the
/// newest format that both know; one that shares none is turned away. Format 1 had gateways that all took part in the log.
pub(crate) const OLDEST: u32 = 2;
pub(crate) const NEWEST: u32 = 2;
/// The longest frame, bytes: a snapshot of all that is agreed, with room for the two contents of each topic.
pub(crate) const LONGEST: usize = 1 << 20;

/// What is wrong with what the other side sent, or with the link to it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BadFrame {
    #[error("the link broke: {0}")]
    Io(#[from] std::io::Error),
    #[error("the peer closed the link")]
    Closed,
    #[error("it said nothing in time")]
    Silent,
    #[error("not a frame: {0}")]
    Damaged(String),
    #[error("a frame without a kind that this build knows")]
    Unknown,
    #[error("it speaks formats {0} to {1}, this build {OLDEST} to {NEWEST}; upgrade the older one first")]
    Format(u32, u32),
    #[error(
        "it is of another fleet: the voters of its `lease.peers`, or how long its leases last, differ from this file's"
    )]
    Fleet,
    #[error("it says it is gateway {0}, which is not expected there; look at `lease.me` and `lease.peers`")]
    Identity(u64),
    #[error(
        "it takes part in the log as gateway {0}, which is no voter of this file; look at `lease.peers`"
    )]
    NoVoter(u64),
    #[error("{0} gateways are served already; close idle ones, or look who connects")]
    Full(usize),
}

/// The first frame of each side.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Hello {
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// A digest of who votes and how long leases last: the same in every operator's file of a fleet.
    #[prost(uint64, tag = "3")]
    pub fleet: u64,
    #[prost(uint64, tag = "4")]
    pub gateway: u64,
    /// The number under which it takes part in the consensus; 0 while it has no log and waits for word of one, and in a
    /// gateway that is only served.
    #[prost(uint64, tag = "5")]
    pub id: u64,
    /// It knows of no entry that was ever committed.
    #[prost(bool, tag = "6")]
    pub fresh: bool,
    /// The sender is a gateway that wants to be served on this link; it says nothing here of a log.
    #[prost(bool, tag = "7")]
    pub client: bool,
    /// The incarnation of the sender's process; see [`NodeIdentity`].
    #[prost(uint32, tag = "8")]
    pub incarnation: u32,
}

impl Hello {
    /// What a gateway says first that wants to be served.
    pub(crate) fn of_client(me: NodeIdentity, fleet: u64) -> Hello {
        let (oldest, newest, gateway) = (OLDEST, NEWEST, u64::from(me.gateway));
        Hello {
            oldest,
            newest,
            fleet,
            gateway,
            id: 0,
            fresh: false,
            client: true,
            incarnation: me.incarnation,
        }
    }

    /// Whether its sender may be spoken to, as gateway `expected` where that is known.
    pub(crate) fn check(&self, fleet: u64, expected: Option<u64>) -> Result<(), BadFrame> {
        if self.newest < OLDEST || self.oldest > NEWEST {
            return Err(BadFrame::Format(self.oldest, self.newest));
        }
        if self.fleet != fleet {
            return Err(BadFrame::Fleet);
        }
        match expected {
            Some(expected) if expected != self.gateway => Err(BadFrame::Identity(self.gateway)),
            _ => Ok(()),
        }
    }

    /// The gateway that sent it, in its present incarnation; a number that no gateway can have is an error.
    pub(crate) fn identity(&self) -> Result<NodeIdentity, BadFrame> {
        let gateway = u16::try_from(self.gateway)
            .ok()
            .filter(|gateway| *gateway > 0);
        let gateway = gateway.ok_or(BadFrame::Identity(self.gateway))?;
        Ok(NodeIdentity {
            gateway: gateway.into(),
            incarnation: self.incarnation,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Frame {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A message of the consensus, in its own crate's codec.
    #[prost(bytes = "vec", tag = "2")]
    Raft(Vec<u8>),
    /// From a gateway to the control member that serves it.
    #[prost(bytes = "vec", tag = "3")]
    ToControl(Vec<u8>),
    /// From a control member to a gateway that it serves.
    #[prost(bytes = "vec", tag = "4")]
    ToGateway(Vec<u8>),
}

/// A frame's meaning.
#[derive(Debug, PartialEq)]
pub(crate) enum Payload {
    Hello(Hello),
    Raft(Box<eraftpb::Message>),
    ToControl(ToControl),
    ToGateway(ToGateway),
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LONGEST)
        .new_codec()
}

fn bytes_of(kind: Kind) -> Result<Bytes, BadFrame> {
    let mut bytes = BytesMut::new();
    codec().encode(
        Bytes::from(Frame { kind: Some(kind) }.encode_to_vec()),
        &mut bytes,
    )?;
    Ok(bytes.freeze())
}

pub(crate) fn hello(hello: &Hello) -> Result<Bytes, BadFrame> {
    bytes_of(Kind::Hello(hello.clone()))
}

pub(crate) fn raft(message: &eraftpb::Message) -> Result<Bytes, BadFrame> {
    let bytes = message
        .write_to_bytes()
        .map_err(|fault| BadFrame::Damaged(fault.to_string()))?;
    bytes_of(Kind::Raft(bytes))
}

pub(crate) fn to_control(message: &ToControl) -> Result<Bytes, BadFrame> {
    bytes_of(Kind::ToControl(message.encode()))
}

pub(crate) fn to_gateway(message: &ToGateway) -> Result<Bytes, BadFrame> {
    bytes_of(Kind::ToGateway(message.encode()))
}

/// Frames as they come in.
pub(crate) struct Frames<R> {
    from: R,
    codec: LengthDelimitedCodec,
    bytes: BytesMut,
    traffic: Traffic,
}

impl<R: AsyncRead + Unpin> Frames<R> {
    pub(crate) fn new(from: R, traffic: Traffic) -> Frames<R> {
        Frames {
            from,
            codec: codec(),
            bytes: BytesMut::new(),
            traffic,
        }
    }

    /// Counts all that is read from now on with other links.
    pub(crate) fn count_with(&mut self, traffic: Traffic) {
        self.traffic = traffic;
    }

    /// The next frame. May be dropped while it waits: what has come stays.
    pub(crate) async fn next(&mut self) -> Result<Payload, BadFrame> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.bytes)? {
                self.traffic.received();
                return decode(&frame);
            }
            match self.from.read_buf(&mut self.bytes).await? {
                0 => return Err(BadFrame::Closed),
                read => self.traffic.read(read),
            }
        }
    }
}

fn decode(frame: &[u8]) -> Result<Payload, BadFrame> {
    let frame = Frame::decode(frame).map_err(|fault| BadFrame::Damaged(fault.to_string()))?;
    let damaged = |fault: crate::state_machine::DecodeError| BadFrame::Damaged(fault.to_string());
    match frame.kind.ok_or(BadFrame::Unknown)? {
        Kind::Hello(hello) => Ok(Payload::Hello(hello)),
        Kind::Raft(bytes) => {
            let message = eraftpb::Message::parse_from_bytes(&bytes);
            message
                .map(|m| Payload::Raft(Box::new(m)))
                .map_err(|fault| BadFrame::Damaged(fault.to_string()))
        }
        Kind::ToControl(bytes) => ToControl::decode(&bytes)
            .map(Payload::ToControl)
            .map_err(damaged),
        Kind::ToGateway(bytes) => ToGateway::decode(&bytes)
            .map(Payload::ToGateway)
            .map_err(damaged),
    }
}

/// Writes a frame whole.
pub(crate) async fn write(
    to: &mut (impl AsyncWrite + Unpin),
    frame: &[u8],
    traffic: &Traffic,
) -> Result<(), BadFrame> {
    to.write_all(frame).await?;
    traffic.wrote(frame.len());
    Ok(())
}

#[cfg(test)]
mod tests;
