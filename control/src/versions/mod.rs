//! Versioned configuration of a fleet: which version of each topic is active, which gateways may act on it, and an audit
//! of which acted on which.
//!
//! A [`Topic`] has versions: the operator's file, the placement of cells, the catalog of statements, the program's own
//! format. A gateway **proposes** a version through an entry of the replicated log. Every gateway with a **registration**
//! validates it and answers with an **ack** or a **nack**. The version becomes **active** with the entry after which every
//! registered gateway has acked it. Gateways without an ack do not count once they have left or their registrations have
//! expired. A single nack rejects the version, with a reason, and the active version stays.
//!
//! There are two roles. **Control members** hold the log. The one that leads begins an **epoch** (a term of leadership) with
//! an entry ([`Command::BeginEpoch`]); its [`Coordinator`] tracks registrations in memory, sends gateways the state of the
//! topics, and proposes entries. **Gateways** hold no log: the [`Client`] of each sends **heartbeats** to the leader. One is
//! answered only after a read-index round: a quorum has confirmed, since it arrived, that no later leader was elected. The
//! gateway then has [`Permission`] to act for a lease, counted from when it sent the heartbeat. A registration expires
//! ([`Command::Expire`]) only after a full wait without a heartbeat that may have renewed it, counted from the beginning of
//! the epoch at the earliest, and only if that was decided in the latest epoch in the log. So a gateway's permission ends
//! before its registration does.
//!
//! Invariant: at any moment gateways act on at most two versions of a topic, the active one and its predecessor. An ack of
//! version `n` comes from a gateway that knows that `n` is proposed and its predecessor is active, and that ignores older
//! states from then on; `n` becomes active only with the acks of all registered gateways; a gateway that joins acts only
//! once it knows the latest change of every topic. So every gateway with permission then acts on `n` or on its predecessor.
//! This rests on the order of the log and, where registrations expire, on bounded clock rates (`docs/design/control.md`).
//!
//! [`Coordinator`] and [`Client`] are state machines that turn events into actions; the time is an argument of each call.
//! Nothing here sends, stores, reads a clock or a file, or interprets a content: the caller validates contents.

mod audit;
pub mod client;
mod command;
pub mod coordinator;
mod message;
mod outcome;
mod table;
mod topic;
mod wire;

pub(crate) use audit::MAX_SPANS_PER_REPORT;
pub use audit::{Audit, AuditEntry, Span};
pub use client::{Client, Permission, StopReason};
pub use command::Command;
pub use coordinator::Coordinator;
pub use message::{ToControl, ToGateway, TopicState};
pub use outcome::{Outcome, Rejection};
pub use table::{Registration, Table};
use topic::truncate_reason;
pub use topic::{
    Content, Formats, Proposal, Topic, TopicStatus, Version, MAX_CONTENT_BYTES, MAX_REASON_BYTES,
};

use crate::lease::{Index, NodeIdentity, Token};
