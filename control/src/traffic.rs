//! What the control plane of one process sends and receives, counted.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Counts frames and bytes of some links, in both directions. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    frames_in: AtomicU64,
    frames_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

/// What was counted up to a moment, from the start of the control plane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTotals {
    /// Frames received whole.
    pub frames_in: u64,
    /// Frames written whole.
    pub frames_out: u64,
    /// Bytes read from links, without the overhead of TCP and IP.
    pub bytes_in: u64,
    /// Bytes of the frames written whole.
    pub bytes_out: u64,
}

impl Traffic {
    /// Bytes were read from a link.
    pub(crate) fn read(&self, bytes: usize) {
        self.counters
            .bytes_in
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// A frame was received whole.
    pub(crate) fn received(&self) {
        self.counters.frames_in.fetch_add(1, Ordering::Relaxed);
    }

    /// A frame of so many bytes was written whole.
    pub(crate) fn wrote(&self, bytes: usize) {
        self.counters.frames_out.fetch_add(1, Ordering::Relaxed);
        self.counters
            .bytes_out
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The sums so far.
    pub fn totals(&self) -> TrafficTotals {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters {
            frames_in,
            frames_out,
            bytes_in,
            bytes_out,
        } = &*self.counters;
        TrafficTotals {
            frames_in: get(frames_in),
            frames_out: get(frames_out),
            bytes_in: get(bytes_in),
            bytes_out: get(bytes_out),
        }
    }
}

/// Counts what a control member sends and receives, by who is at the other end.
#[derive(Clone, Debug, Default)]
pub struct MemberTraffic {
    /// Of links with other control members, and of first frames that others send, as only they say who they are.
    pub members: Traffic,
    /// Of links with gateways that are served, its own gateway's included.
    pub gateways: Traffic,
}
