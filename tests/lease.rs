//! Deterministic simulation of the leases of five gateways, from seeds: clocks that start apart and run at different rates,
//! proposals lost and late, entries applied late, stalls, partitions, crashes and restarts with a new incarnation, and
//! actions that arrive long after they were decided. After every step no two gateways may act under one duty; at the end
//! of a run, after the faults have ended, each duty must have a holder.

mod golden;

use asterreel::lease::{
    Action, Command, Duty, Event, Fence, Index, Leases, NodeIdentity, Timing, Token,
};
use asterreel::state_machine;
use xxhash_rust::xxh3::Xxh3;

const TIMING: Timing = Timing {
    lease_us: 3_000_000,
    renew_us: 1_000_000,
    drift_ppm: 1_000,
    margin_us: 50_000,
};
const GATEWAYS: usize = 5;
const DUTIES: [Duty; 2] = [Duty(0), Duty(1)];
/// The longest delay of a proposal to the log, of an entry to a gateway, and of an action to its receiver.
const MAX_DELAY_US: u64 = 200_000;
/// The longest delay of an action whose sender stalled.
const MAX_STALLED_DELAY_US: u64 = 10_000_000;
/// The longest time that a gateway stalls or is partitioned from the log.
const MAX_OUTAGE_US: u64 = 8_000_000;
/// Clocks start up to this far ahead of real time.
const MAX_OFFSET_US: u64 = 500_000;

/// The faults and clocks of one simulated run.
#[derive(Clone, Copy)]
struct Scenario {
    seed: u64,
    length_us: u64,
    /// The length of the last part of the run, in which no faults are injected.
    fault_free_us: u64,
    /// How far the rates of the clocks may be from real time, parts per million.
    drift_ppm: i64,
    timing: Timing,
}

struct Gateway {
    leases: Leases,
    /// Its clock: `offset + real * (1 + rate)`.
    offset_us: u64,
    rate_ppm: i64,
    alive: bool,
    /// Neither ticks nor applies before this, in real time.
    stalled_until: u64,
    /// Partitioned from the log (both ways) before this.
    partitioned_until: u64,
    applied: usize,
    identity: NodeIdentity,
}

impl Gateway {
    fn new(number: u32, scenario: &Scenario, rng: &mut fastrand::Rng) -> Gateway {
        let identity = NodeIdentity {
            gateway: number,
            incarnation: 0,
        };
        let mut gateway = Gateway {
            leases: Leases::new(identity, scenario.timing),
            offset_us: rng.u64(0..MAX_OFFSET_US),
            rate_ppm: rng.i64(-scenario.drift_ppm..=scenario.drift_ppm),
            alive: true,
            stalled_until: 0,
            partitioned_until: 0,
            applied: 0,
            identity,
        };
        gateway.want_duties(0);
        gateway
    }

    /// Restarts with its disk in a new incarnation. Its clock starts anew with another offset.
    fn restart(&mut self, real: u64, timing: Timing, rng: &mut fastrand::Rng) {
        self.identity.incarnation += 1;
        self.alive = true;
        self.applied = 0;
        self.offset_us = rng.u64(0..MAX_OFFSET_US);
        self.leases = Leases::new(self.identity, timing);
        self.want_duties(real);
    }

    /// Wants every duty. The first proposals are lost and made again later.
    fn want_duties(&mut self, real: u64) {
        let now = self.clock(real);
        for duty in DUTIES {
            self.leases
                .handle(now, Event::HoldDuty(duty), &mut Vec::new());
        }
    }

    fn clock(&self, real: u64) -> u64 {
        let real = real as i128;
        (self.offset_us as i128 + real + real * self.rate_ppm as i128 / 1_000_000) as u64
    }

    /// Applies the entries that were committed at least `lag` ago.
    fn apply_entries(&mut self, log: &[TimedCommand], lag: u64, real: u64, out: &mut Vec<Action>) {
        let now = self.clock(real);
        let not_applied = &log[self.applied..];
        for entry in not_applied
            .iter()
            .take_while(|entry| entry.at + lag <= real)
        {
            self.applied += 1;
            let applied = Event::Applied {
                index: Index(self.applied as u64),
                command: entry.command,
            };
            self.leases.handle(now, applied, out);
        }
    }

    fn is_running(&self, real: u64) -> bool {
        self.alive && self.stalled_until <= real
    }

    fn active_token(&self, duty: Duty, real: u64) -> Option<Token> {
        self.leases.active_token(duty, self.clock(real))
    }
}

/// What was observed in a run.
#[derive(Default, Debug)]
struct Report {
    /// Times at which two gateways could act under one duty.
    overlaps: Vec<String>,
    /// Actions that the receiver's fence admitted.
    admitted: u64,
    /// Actions that the receiver's fence rejected.
    rejected: u64,
    /// How long no gateway acted on a duty each time, microseconds of real time.
    gaps: Vec<u64>,
    /// A digest of all entries of the log, and when each was committed.
    log_digest: u64,
    /// Whether each duty had a holder at the end of the part without faults.
    held_at_end: bool,
}

/// A command with the real time when it reaches the log, or reached it.
struct TimedCommand {
    command: Command,
    at: u64,
}

/// An action under a duty on its way to the receiver.
struct ActionInFlight {
    arrives_at: u64,
    duty: Duty,
    token: Token,
}

/// One run, which advances virtual time step by step.
struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    /// Real time, microseconds.
    real: u64,
    gateways: Vec<Gateway>,
    /// The entries, with the time when each was committed.
    log: Vec<TimedCommand>,
    proposals: Vec<TimedCommand>,
    actions: Vec<ActionInFlight>,
    fence: Fence,
    /// For each duty, since when no gateway acts on it.
    idle_since: Vec<Option<u64>>,
    report: Report,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let gateways = (0..GATEWAYS as u32)
            .map(|number| Gateway::new(number, &scenario, &mut rng))
            .collect();
        Simulation {
            scenario,
            rng,
            real: 0,
            gateways,
            log: Vec::new(),
            proposals: Vec::new(),
            actions: Vec::new(),
            fence: Fence::default(),
            idle_since: vec![Some(0); DUTIES.len()],
            report: Report::default(),
        }
    }

    fn step(&mut self) {
        self.real += self.rng.u64(1_000..20_000);
        self.inject_fault();
        self.restart_gateways();
        self.commit_proposals();
        for number in 0..GATEWAYS {
            if self.gateways[number].is_running(self.real) {
                self.run_gateway(number);
                self.send_actions(number);
            }
        }
        self.deliver_actions();
        self.check_exclusivity();
    }

    fn is_over(&self) -> bool {
        self.real >= self.scenario.length_us
    }

    /// Whether faults are still injected.
    fn is_faulty(&self) -> bool {
        self.real < self.scenario.length_us - self.scenario.fault_free_us
    }

    fn inject_fault(&mut self) {
        if !self.is_faulty() || self.rng.u32(0..400) != 0 {
            return;
        }
        let gateway = &mut self.gateways[self.rng.usize(0..GATEWAYS)];
        match self.rng.u8(0..4) {
            0 => gateway.stalled_until = self.real + self.rng.u64(0..MAX_OUTAGE_US),
            1 => gateway.partitioned_until = self.real + self.rng.u64(0..MAX_OUTAGE_US),
            2 if gateway.alive => gateway.alive = false,
            _ => {}
        }
    }

    fn restart_gateways(&mut self) {
        let faulty = self.is_faulty();
        for gateway in self.gateways.iter_mut().filter(|gateway| !gateway.alive) {
            if self.rng.u32(0..200) == 0 || !faulty {
                gateway.restart(self.real, self.scenario.timing, &mut self.rng);
            }
        }
    }

    /// Appends the proposals that have arrived, in the order of their arrival.
    fn commit_proposals(&mut self) {
        self.proposals.sort_by_key(|proposal| proposal.at);
        let arrived = self
            .proposals
            .partition_point(|proposal| proposal.at <= self.real);
        let real = self.real;
        let committed = self.proposals.drain(..arrived);
        self.log.extend(committed.map(|proposal| TimedCommand {
            command: proposal.command,
            at: real,
        }));
    }

    /// Applies the entries that have reached a gateway, fires its timer, and sends what it proposes.
    fn run_gateway(&mut self, number: usize) {
        let faulty = self.is_faulty();
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(self.real);
        let partitioned = gateway.partitioned_until > self.real;
        let lag = self.rng.u64(0..MAX_DELAY_US);
        let mut out = Vec::new();
        if !partitioned {
            gateway.apply_entries(&self.log, lag, self.real, &mut out);
        }
        gateway.leases.handle(now, Event::Tick, &mut out);
        for action in out {
            match action {
                // A tenth of the proposals are lost while faults are injected.
                Action::Propose(command) if !(partitioned || faulty && self.rng.u8(0..10) == 0) => {
                    let at = self.real + self.rng.u64(0..MAX_DELAY_US);
                    self.proposals.push(TimedCommand { command, at });
                }
                Action::Replay { from } => {
                    panic!("seed {}: a gap at {from:?}", self.scenario.seed)
                }
                _ => {}
            }
        }
    }

    /// Sends an action under each duty that the gateway may act on. A few arrive long after, as from a process that
    /// stalled between deciding and sending.
    fn send_actions(&mut self, number: usize) {
        let faulty = self.is_faulty();
        for duty in DUTIES {
            let Some(token) = self.gateways[number].active_token(duty, self.real) else {
                continue;
            };
            let late = faulty && self.rng.u8(0..50) == 0;
            let max_delay = if late {
                MAX_STALLED_DELAY_US
            } else {
                MAX_DELAY_US
            };
            self.actions.push(ActionInFlight {
                arrives_at: self.real + self.rng.u64(0..max_delay),
                duty,
                token,
            });
        }
    }

    fn deliver_actions(&mut self) {
        self.actions.retain(|action| {
            if action.arrives_at > self.real {
                return true;
            }
            match self.fence.admit(action.duty, action.token) {
                Ok(()) => self.report.admitted += 1,
                Err(_) => self.report.rejected += 1,
            }
            false
        });
    }

    /// Records which gateways may act now, each by its own clock.
    fn check_exclusivity(&mut self) {
        let real = self.real;
        for (duty, idle_since) in DUTIES.into_iter().zip(&mut self.idle_since) {
            let acting: Vec<(NodeIdentity, Token)> = self
                .gateways
                .iter()
                .filter(|gateway| gateway.alive)
                .filter_map(|gateway| Some((gateway.identity, gateway.active_token(duty, real)?)))
                .collect();
            if acting.len() > 1 {
                self.report
                    .overlaps
                    .push(format!("{real} us: {duty:?} by {acting:?}"));
            }
            match (acting.is_empty(), *idle_since) {
                (true, None) => *idle_since = Some(real),
                (false, Some(since)) => {
                    self.report.gaps.push(real - since);
                    *idle_since = None;
                }
                _ => {}
            }
        }
    }

    fn finish(mut self) -> Report {
        self.report.held_at_end = self.idle_since.iter().all(Option::is_none);
        self.report.log_digest = log_digest(&self.log);
        self.report
    }
}

fn simulate(scenario: Scenario) -> Report {
    let mut simulation = Simulation::new(scenario);
    while !simulation.is_over() {
        simulation.step();
    }
    simulation.finish()
}

fn log_digest(log: &[TimedCommand]) -> u64 {
    let mut digest = Xxh3::new();
    for entry in log {
        let command = state_machine::Command::Lease(entry.command);
        digest.update(&state_machine::encode(&command));
        digest.update(&entry.at.to_le_bytes());
    }
    digest.digest()
}

/// Guards against an unintended change of the decisions about leases: each seed gives the recorded log, entry by entry.
#[test]
fn lease_logs_match_record() {
    let line = |seed| {
        format!(
            "seed {seed}: {:016x}\n",
            simulate(scenario(seed)).log_digest
        )
    };
    golden::assert_matches("lease-logs.txt", &(101..=110).map(line).collect::<String>());
}

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        length_us: 60_000_000,
        fault_free_us: 15_000_000,
        drift_ppm: 1_000,
        timing: TIMING,
    }
}

/// The longest that a duty may be without a holder after the faults have ended, microseconds: the holder's lease expires,
/// the others wait from when they observed it, and a claim is sent, committed and applied, twice if the first claim is
/// rejected because another one was committed before it.
fn longest_gap_us() -> u64 {
    TIMING.lease_us + TIMING.wait_us() + TIMING.renew_us + 4 * MAX_DELAY_US
}

/// Totals over the runs of several seeds.
#[derive(Default)]
struct Totals {
    gaps: Vec<u64>,
    rejected: u64,
}

/// Runs each seed, and asserts that leases were exclusive and that every duty had a holder again at the end.
fn assert_safe_and_live(seeds: std::ops::Range<u64>) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let report = simulate(scenario(seed));
        assert!(
            report.overlaps.is_empty(),
            "seed {seed}: {:?}",
            &report.overlaps[..report.overlaps.len().min(5)]
        );
        assert!(
            report.held_at_end,
            "seed {seed}: a duty had no holder at the end, 15 s after the injection of faults ended"
        );
        assert!(
            report.admitted > 0,
            "seed {seed}: no action was admitted under any duty"
        );
        totals.rejected += report.rejected;
        totals.gaps.extend(report.gaps);
    }
    totals
}

#[test]
fn leases_are_exclusive_and_recover_on_fixed_seeds() {
    let totals = assert_safe_and_live(1..9);
    // The faults had effects: the fence rejected late actions, and duties were without a holder for a time.
    assert!(
        totals.rejected > 0,
        "the fence rejected no late action: the faults had no effect"
    );
    assert!(
        totals.gaps.iter().any(|&gap| gap > TIMING.renew_us),
        "no duty was without a holder for longer than a renewal interval: {:?}",
        totals.gaps
    );
}

#[test]
fn timing_without_drift_breaks_exclusivity() {
    // Clock rates differ by up to 9.9% from real time, and the timing allows for no drift: the others' wait is shorter in
    // real time than the holder's lease. A holder that is partitioned from the log then still acts when another gateway
    // claims the duty.
    let without_drift = Timing {
        drift_ppm: 0,
        margin_us: 0,
        ..TIMING
    };
    let overlaps: usize = (1..17)
        .map(|seed| {
            simulate(Scenario {
                drift_ppm: 99_000,
                timing: without_drift,
                ..scenario(seed)
            })
            .overlaps
            .len()
        })
        .sum();
    assert!(
        overlaps > 0,
        "the check found no overlap, although the timing is wrong"
    );
    // With a timing that allows for the drift, the same clocks are safe.
    let with_drift = Timing {
        drift_ppm: 99_000,
        ..TIMING
    };
    for seed in 1..17 {
        let report = simulate(Scenario {
            drift_ppm: 99_000,
            timing: with_drift,
            ..scenario(seed)
        });
        assert!(
            report.overlaps.is_empty(),
            "seed {seed}: {:?}",
            &report.overlaps[..1]
        );
    }
}

/// Measures the times to a new holder over 200 runs of 60 s with faults: `cargo test --release --test lease -- --ignored
/// --nocapture`. Results are in `docs/measurements/lease.md`.
#[test]
#[ignore = "a measurement"]
fn failover_times_over_two_hundred_seeds() {
    let mut totals = assert_safe_and_live(1..201);
    totals.gaps.sort_unstable();
    let taken_over: Vec<u64> = totals.gaps.iter().copied().filter(|&gap| gap > 0).collect();
    let quantile_ms =
        |share: f64| taken_over[((taken_over.len() - 1) as f64 * share) as usize] / 1000;
    println!(
        "200 runs: 0 overlaps; {} late actions rejected by the fence; {} times without a holder: median {} ms, 99th {} ms, \
         worst {} ms; bound after the faults have ended {} ms",
        totals.rejected,
        taken_over.len(),
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(1.0),
        longest_gap_us() / 1000
    );
}
