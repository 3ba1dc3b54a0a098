//! Counters of what the control plane of one process sends and receives. They are logged and reported, and no decision
//! depends on them.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Counts frames and bytes of a set of links, in both directions. Clones share their counters.
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

/// The values of the counters at one time, counted since the start of the control plane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTotals {
    /// Complete frames received.
    pub frames_in: u64,
    /// Complete frames written.
    pub frames_out: u64,
    /// Bytes read from links, without the overhead of TCP and IP.
    pub bytes_in: u64,
    /// Bytes of the complete frames written.
    pub bytes_out: u64,
}

impl Traffic {
    /// Counts bytes read from a link.
    pub(crate) fn count_bytes_read(&self, bytes: usize) {
        self.counters
            .bytes_in
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a complete frame received.
    pub(crate) fn count_frame_received(&self) {
        self.counters.frames_in.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a complete frame written, by its size in bytes.
    pub(crate) fn count_frame_written(&self, bytes: usize) {
        self.counters.frames_out.fetch_add(1, Ordering::Relaxed);
        self.counters
            .bytes_out
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The frames and bytes counted since the counters were created.
    pub fn totals(&self) -> TrafficTotals {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters {
            frames_in,
            frames_out,
            bytes_in,
            bytes_out,
        } = &*self.counters;
        TrafficTotals {
            frames_in: load(frames_in),
            frames_out: load(frames_out),
            bytes_in: load(bytes_in),
            bytes_out: load(bytes_out),
        }
    }
}

/// Counts what a control member sends and receives, by the kind of peer.
#[derive(Clone, Debug, Default)]
pub struct MemberTraffic {
    /// Links with other control members, and the first frame of every incoming link, from whichever peer: only that frame
    /// tells which kind of peer sent it.
    pub members: Traffic,
    /// Links with gateways that are clients, its own included.
    pub gateways: Traffic,
}
