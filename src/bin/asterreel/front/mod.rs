//! Clients: accepting them, their sessions, and the life of each request.
//!
//! `accept` takes them in and `gateway` knows them all; `shed` says who makes room when there are too many. A client has
//! a `session`, which reads its messages and whose `mailbox` holds what others have for it. `request` is the life of one
//! request, from top to bottom.

mod accept;
mod gateway;
mod mailbox;
mod request;
mod session;
mod shed;

pub(crate) use accept::accept;
pub(crate) use gateway::Gateway;

#[cfg(test)]
mod tests;
