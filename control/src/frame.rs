//! Frames between gateways and control members: a length and a `prost` message, which carries a hello, a Raft
//! message, or a message of the version protocol.
//!
//! The length of a frame is checked before its content is buffered. A frame that cannot be decoded completely is an error,
//! after which its link is closed.

mod error;
mod hello;

use crate::traffic::Traffic;
use crate::versions::{ToControl, ToGateway};
use bytes::{Bytes, BytesMut};
pub(crate) use error::FrameError;
pub(crate) use hello::Hello;
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The oldest format of frames that this build reads and writes. In format 1 every gateway took part in the Raft log.
pub(crate) const OLDEST_FORMAT: u32 = 2;
/// The newest format of frames that this build reads and writes. Two builds use the newest format that both support.
pub(crate) const NEWEST_FORMAT: u32 = 2;
/// The longest frame, bytes: enough for a snapshot of the state machine with two contents of each topic.
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 20;

#[derive(Clone, PartialEq, prost::Message)]
struct Frame {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A Raft message, encoded by the crate `raft`.
    #[prost(bytes = "vec", tag = "2")]
    Raft(Vec<u8>),
    /// From a gateway to the control member that serves it.
    #[prost(bytes = "vec", tag = "3")]
    ToControl(Vec<u8>),
    /// From a control member to a gateway that it serves.
    #[prost(bytes = "vec", tag = "4")]
    ToGateway(Vec<u8>),
}

/// The decoded content of a frame.
#[derive(Debug, PartialEq)]
pub(crate) enum Payload {
    Hello(Hello),
    Raft(Box<eraftpb::Message>),
    ToControl(ToControl),
    ToGateway(ToGateway),
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn encode(kind: Kind) -> Result<Bytes, FrameError> {
    let mut bytes = BytesMut::new();
    codec().encode(
        Bytes::from(Frame { kind: Some(kind) }.encode_to_vec()),
        &mut bytes,
    )?;
    Ok(bytes.freeze())
}

/// The frame of a hello.
pub(crate) fn encode_hello(hello: &Hello) -> Result<Bytes, FrameError> {
    encode(Kind::Hello(hello.clone()))
}

/// The frame of a Raft message.
pub(crate) fn encode_raft(message: &eraftpb::Message) -> Result<Bytes, FrameError> {
    let bytes = message
        .write_to_bytes()
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    encode(Kind::Raft(bytes))
}

/// The frame of a message to a control member.
pub(crate) fn encode_to_control(message: &ToControl) -> Result<Bytes, FrameError> {
    encode(Kind::ToControl(message.encode()))
}

/// The frame of a message to a gateway.
pub(crate) fn encode_to_gateway(message: &ToGateway) -> Result<Bytes, FrameError> {
    encode(Kind::ToGateway(message.encode()))
}

/// Reads frames from a link.
pub(crate) struct FrameReader<R> {
    from: R,
    codec: LengthDelimitedCodec,
    bytes: BytesMut,
    traffic: Traffic,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `from`, and counts frames and bytes in `traffic`.
    pub(crate) fn new(from: R, traffic: Traffic) -> FrameReader<R> {
        FrameReader {
            from,
            codec: codec(),
            bytes: BytesMut::new(),
            traffic,
        }
    }

    /// Counts frames and bytes that are read from now on in other counters.
    pub(crate) fn set_traffic(&mut self, traffic: Traffic) {
        self.traffic = traffic;
    }

    /// The next frame. Cancel safe: bytes that have arrived stay in the buffer.
    pub(crate) async fn next(&mut self) -> Result<Payload, FrameError> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.bytes)? {
                self.traffic.count_frame_received();
                return decode(&frame);
            }
            match self.from.read_buf(&mut self.bytes).await? {
                0 => return Err(FrameError::Closed),
                read => self.traffic.count_bytes_read(read),
            }
        }
    }
}

fn decode(frame: &[u8]) -> Result<Payload, FrameError> {
    let frame = Frame::decode(frame).map_err(|error| FrameError::Malformed(error.to_string()))?;
    let malformed = |error: crate::codec::DecodeError| FrameError::Malformed(error.to_string());
    match frame.kind.ok_or(FrameError::UnexpectedKind)? {
        Kind::Hello(hello) => Ok(Payload::Hello(hello)),
        Kind::Raft(bytes) => {
            let message = eraftpb::Message::parse_from_bytes(&bytes);
            message
                .map(|m| Payload::Raft(Box::new(m)))
                .map_err(|error| FrameError::Malformed(error.to_string()))
        }
        Kind::ToControl(bytes) => ToControl::decode(&bytes)
            .map(Payload::ToControl)
            .map_err(malformed),
        Kind::ToGateway(bytes) => ToGateway::decode(&bytes)
            .map(Payload::ToGateway)
            .map_err(malformed),
    }
}

/// Writes a complete frame.
pub(crate) async fn write(
    to: &mut (impl AsyncWrite + Unpin),
    frame: &[u8],
    traffic: &Traffic,
) -> Result<(), FrameError> {
    to.write_all(frame).await?;
    traffic.count_frame_written(frame.len());
    Ok(())
}

#[cfg(test)]
mod tests;
