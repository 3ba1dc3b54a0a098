//! The control plane in this program: a control member that serves no clients, and the control client of a gateway.

pub(crate) mod client;
pub(crate) mod member;
