//! The subscription of a gateway to discovery's list of endpoints.
//!
//! It consists of three types. The caller passes in the time; none of them does input or output:
//!
//! - [`Subscription`] holds the version in force, the time of the last contact and the current watch.
//! - [`Watch`] decides when a call or its watch has failed, and up to when it reported every change.
//! - [`CallBackoff`] decides the delay before the next call. A [`crate::policy::Router`] owns it, as the delay is drawn
//!   from the router's random numbers.
//!
//! The router decides what an update means for requests.

mod backoff;
mod subscription;
mod watch;

pub use backoff::{CallBackoff, WATCH_SILENCE_TIMEOUT_US};
pub use subscription::Subscription;
pub use watch::{Received, Watch, WatchEnd, CALL_TIMEOUT_US, UPDATE_TIMEOUT_US};
