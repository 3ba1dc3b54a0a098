//! The front end for PostgreSQL clients: accepting them, their sessions, and the life of each request.
//!
//! `accept` accepts connections, `gateway` holds what all sessions share, `sessions` and `open_requests` are registries; `shed` chooses which sessions are closed when
//! capacity runs out. A client has a `session`, which reads its messages; its `mailbox` holds events from others.
//! `request` is the life of one request from top to bottom: `admission` decides whether it is admitted, `attempts` keeps
//! track of those in flight, and `error_answer` is any final answer other than a row.

mod accept;
mod admission;
mod attempts;
mod error_answer;
mod gateway;
mod local_statement;
mod mailbox;
mod open_requests;
mod request;
mod session;
mod sessions;
mod shed;

pub(crate) use accept::accept;
pub(crate) use gateway::{ClientLimits, Gateway};

#[cfg(test)]
mod tests;
