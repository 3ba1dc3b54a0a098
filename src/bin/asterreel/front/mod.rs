//! The front end for PostgreSQL clients: their connections, sessions and requests.
//!
//! `accept` accepts connections and `gateway` holds the state that all sessions share. `sessions` and `open_requests`
//! are registries, and `shed` selects the sessions to close when a limit on clients is near. Each client has a
//! `session`, which reads its messages, and a `mailbox`, to which the router, attempts and other sessions post events
//! for it. `request` handles one request from its arrival to its last attempt: `admission` decides whether it is
//! admitted, `attempts` keeps track of the attempts in flight, `send_guard` judges whether bytes of an attempt may be
//! written, and `error_answer` writes any final answer other than a row.

mod accept;
mod admission;
mod attempts;
mod client_probe;
mod error_answer;
mod gateway;
mod local_statement;
mod mailbox;
mod open_requests;
mod overflow;
mod request;
mod send_guard;
mod session;
mod sessions;
mod shed;

pub(crate) use accept::accept;
pub(crate) use gateway::{ClientLimits, Gateway};

#[cfg(test)]
mod tests;
