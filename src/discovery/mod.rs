//! The subscription of a gateway to discovery's list of endpoints.
//!
//! Three parts decide, from times that the caller passes in; none does input or output:
//!
//! - [`Subscription`] owns the version in force, the last contact and the watch under way, and says what is lost with it.
//! - [`Watch`] decides when one call or watch has failed, and up to when it reported every change.
//! - [`CallBackoff`] decides the delay before the next call. A [`crate::policy::Router`] owns it, as the delay is drawn
//!   from the router's random numbers.
//!
//! What an update means for requests is decided by the router, never here.

mod backoff;
mod subscription;
mod watch;

pub use backoff::{CallBackoff, WATCH_SILENCE_TIMEOUT_US};
pub use subscription::Subscription;
pub use watch::{Received, Watch, WatchEnd, CALL_TIMEOUT_US, UPDATE_TIMEOUT_US};
