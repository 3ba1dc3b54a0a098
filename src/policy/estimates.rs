//! Running estimates of latency and throughput, learned from this gateway's own answers.
//!
//! They decide nothing: selection, limits and retries read them.

use crate::interface::{Class, Micros};

/// The weight of a new sample in a running mean, which follows a change within about a second.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// The tail latency is this many mean deviations above the mean; about one answer in thirty is slower.
const TAIL_DEVIATIONS: f64 = 3.0;

/// Moves a running mean towards a sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64) {
    *mean += SAMPLE_WEIGHT * (sample - *mean);
}

/// A running mean of latencies and of their deviation, microseconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct LatencyEstimate {
    pub mean: f64,
    deviation: f64,
}

impl LatencyEstimate {
    /// The estimate before any answer, from the latency objective.
    pub(crate) fn from_objective(latency_objective: Micros) -> LatencyEstimate {
        LatencyEstimate {
            mean: latency_objective as f64 / 4.0,
            deviation: latency_objective as f64 / 8.0,
        }
    }

    /// A latency that few answers exceed, microseconds.
    pub(crate) fn tail(&self) -> f64 {
        self.mean + TAIL_DEVIATIONS * self.deviation
    }

    /// Records the latency of an answer, or the time waited for one that never arrived.
    pub(crate) fn record(&mut self, latency: Micros) {
        let error = latency as f64 - self.mean;
        self.mean += SAMPLE_WEIGHT * error;
        self.deviation += SAMPLE_WEIGHT * (error.abs() - self.deviation);
    }
}

/// The work and the value of each request class; the mean latency stands for the work.
pub(crate) struct ClassEstimates {
    latencies: Vec<LatencyEstimate>,
    priority_weights: Vec<f64>,
}

impl ClassEstimates {
    /// The estimates before any answer.
    pub(crate) fn new(classes: &[Class]) -> ClassEstimates {
        ClassEstimates {
            latencies: classes
                .iter()
                .map(|class| LatencyEstimate::from_objective(class.latency_objective))
                .collect(),
            priority_weights: classes.iter().map(|class| class.priority_weight).collect(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.latencies.len()
    }

    /// The mean latency of a class, microseconds.
    pub(crate) fn mean_latency(&self, class: usize) -> f64 {
        self.latencies[class].mean
    }

    /// Records a latency of a class.
    pub(crate) fn record(&mut self, class: usize, latency: Micros) {
        self.latencies[class].record(latency);
    }

    /// The priority weight of a class for each microsecond of work.
    pub(crate) fn value(&self, class: usize) -> f64 {
        self.priority_weights[class] / self.mean_latency(class).max(1.0)
    }

    /// The work of a class as a multiple of that of the lightest class.
    pub(crate) fn relative_work(&self, class: usize) -> f64 {
        (self.mean_latency(class) / self.lightest_latency().max(1.0)).max(1.0)
    }

    /// The mean latency of the lightest class, microseconds.
    pub(crate) fn lightest_latency(&self) -> f64 {
        self.latencies
            .iter()
            .map(|latency| latency.mean)
            .fold(f64::INFINITY, f64::min)
    }
}

/// The time over which a group's throughput is averaged, microseconds: much longer than a rolling restart, during
/// which the estimate must not start over.
const THROUGHPUT_WINDOW: Micros = 30_000_000;
/// The least time that throughput is averaged over, microseconds, as the first answers arrive in a burst.
const MIN_THROUGHPUT_WINDOW: Micros = 2_000_000;

/// The work that a group's members have done for this gateway, in multiples of a request of the lightest class. Only
/// answered requests count, so that many unanswered ones do not look like capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ThroughputEstimate {
    work: f64,
    first_at: Option<Micros>,
    last_at: Micros,
}

impl ThroughputEstimate {
    /// Records an answer to a request of this much work.
    pub(crate) fn record(&mut self, now: Micros, work: f64) {
        self.first_at.get_or_insert(now);
        self.work = self.decayed_work(now) + work;
        self.last_at = now;
    }

    fn decayed_work(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_at) as f64;
        self.work * (-age / THROUGHPUT_WINDOW as f64).exp()
    }

    /// Work per microsecond.
    pub(crate) fn rate(&self, now: Micros) -> f64 {
        let age = self
            .first_at
            .map_or(0, |first| now.saturating_sub(first))
            .max(MIN_THROUGHPUT_WINDOW) as f64;
        let window = THROUGHPUT_WINDOW as f64;
        self.decayed_work(now) / (window * (1.0 - (-age / window).exp()))
    }
}
