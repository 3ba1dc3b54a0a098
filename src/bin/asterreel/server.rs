//! The run loop of a serving gateway: handles signals and events of the control plane, and drains at the end.
//!
//! An invalid configuration or operator's file changes nothing. A drain, once begun, always ends the process; SIGHUP never
//! does.

use crate::cli::{self, Files};
use crate::control::client::ControlClient;
use crate::discovery::Source;
use crate::front::Gateway;
use crate::health;
use asterreel::config::{Config, ReloadedConfig};
use asterreel::health::drain::{Timetable, FINAL_ANSWER_TIME};
use asterreel::interface::Micros;
use asterreel::operator::{Evaluated, OperatorFileError};
use asterreel_control::service::ControlEvent;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::time::Duration;
use tracing::{error, info, warn};

/// The interval at which events of the control plane and signals are polled.
const CONTROL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which a drain checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a serving gateway that signals and the control plane act on.
pub(crate) struct Server<'a> {
    /// The configuration in force, from `RELAY_CONFIG`: that of the start, but for the address of discovery.
    pub config: Config,
    /// The path of the operator's file.
    pub files: &'a Files,
    /// Discovery's address, which SIGHUP may change.
    pub source: &'a Source,
    /// The health listeners for load balancers, if the operator's file sets `health`.
    pub health: Option<health::Handle>,
    /// The settings of cells that the gateway started with, to detect changes.
    pub cells: Option<asterreel::operator::Cells>,
    /// The timetable of a drain, if load balancers are notified of it.
    pub timetable: Option<Timetable>,
    /// The client of the control plane, if the operator's file sets `lease`.
    pub control: Option<ControlClient>,
}

impl Server<'_> {
    /// Serves until a signal requests the end, and then drains.
    pub(crate) fn run(mut self, gateway: &Gateway, signals: &mut Signals) {
        if self.control.is_some() {
            while self.handle_all(signals.pending()) {
                self.poll_control(gateway);
                std::thread::sleep(CONTROL_POLL_INTERVAL);
            }
        } else {
            while self.handle_all(signals.wait()) {}
        }
        self.drain(gateway, signals);
    }

    /// Handles all of these signals; false if one of them requests the end.
    fn handle_all(&mut self, signals: impl Iterator<Item = i32>) -> bool {
        signals.fold(true, |continues, signal| {
            continues & self.handle_signal(signal)
        })
    }

    /// Handles a signal; false if it requests the end.
    fn handle_signal(&mut self, signal: i32) -> bool {
        if signal != SIGHUP {
            return false;
        }
        match self.config.reload_from_env() {
            Ok(reloaded) => self.apply_config(reloaded),
            Err(error) => warn!("{error}; keeping the current configuration"),
        }
        self.reload_operator_file();
        true
    }

    /// Applies the keys of a reloaded configuration that can change at run time, and warns of the others.
    fn apply_config(&mut self, reloaded: ReloadedConfig) {
        let effect = self.config.apply_reloaded(reloaded);
        info!(discovery = %effect.discovery, "configuration read again");
        for key in effect.keys_needing_restart {
            warn!("configuration: {key}: the change takes effect at the next start");
        }
        if effect.is_discovery_moved {
            self.source.move_to(effect.discovery);
        }
    }

    /// Reads the operator's file again; one that is invalid, or contradicts the configuration, changes nothing.
    fn reload_operator_file(&mut self) {
        if self.files.operator.is_none() {
            return;
        }
        match self.evaluate_operator_file() {
            Ok(evaluated) => match &self.control {
                // The control plane activates it on all gateways of the fleet, or on none.
                Some(control) => control.propose(&evaluated.operator),
                None => self.apply_operator_file(evaluated),
            },
            Err(error) => warn!("{error}; keeping the settings of the current operator's file"),
        }
    }

    /// Evaluates the operator's file as it is on disk now, and checks it against the configuration.
    fn evaluate_operator_file(&self) -> Result<Evaluated, OperatorFileError> {
        let evaluated = self.files.evaluate(cli::RELOAD_EVALUATION_TIMEOUT)?;
        evaluated.check_with_config(&self.config)?;
        Ok(evaluated)
    }

    /// Applies the settings of an operator's file that can change at run time, and warns of the others.
    fn apply_operator_file(&mut self, evaluated: Evaluated) {
        info!(file = evaluated.file, "operator's file read again");
        match (&mut self.health, evaluated.operator.health) {
            (Some(handle), Some(health)) => {
                for key in handle.reload(health) {
                    warn!("{key}: the change takes effect at the next start");
                }
            }
            (None, None) => {}
            _ => warn!("health: added or removed; the change takes effect at the next start"),
        }
        if self.cells != evaluated.operator.cells {
            warn!("cells: the change takes effect at the next start");
        }
    }

    /// Reports request counts to the control plane, follows the fleet's size, and handles the control plane's events.
    fn poll_control(&mut self, gateway: &Gateway) {
        let Some(mut control) = self.control.take() else {
            return;
        };
        control.report_requests(gateway);
        let is_unregistered = control.update_fleet_size(gateway);
        if let (Some(is_unregistered), Some(health)) = (is_unregistered, &self.health) {
            health.registration_lost(is_unregistered);
        }
        while let Some(event) = control.next_event() {
            match event {
                ControlEvent::Validate(topic, version, content) => {
                    let evaluate = || self.evaluate_operator_file();
                    control.answer_proposal(topic, version, &content, evaluate);
                }
                ControlEvent::Activated(topic, version) => {
                    match control.take_candidate(topic, version) {
                        Some(evaluated) => self.apply_operator_file(evaluated),
                        None => error!(
                            ?topic,
                            version, "a version is active here whose content was not kept; restart the gateway"
                        ),
                    }
                }
            }
        }
        self.control = Some(control);
    }

    /// Keeps serving while the drain is announced, as balancers still send clients; then closes each session once it has no
    /// open request. Returns when no session is left, or when the deadlines of all open requests have passed.
    fn drain(&mut self, gateway: &Gateway, signals: &mut Signals) {
        if let Some(health) = &self.health {
            health.terminate();
        }
        if let Some(control) = &self.control {
            control.drain();
        }
        let longest_deadline = self.longest_deadline();
        let timetable = self
            .timetable
            .unwrap_or(Timetable::without_balancers(longest_deadline));
        let clock = gateway.core.clock;
        let began = clock.now();
        gateway.set_last_answer_at(began + timetable.answer_until);
        info!("draining");
        while clock.now() < began + timetable.announce {
            self.pause_drain(signals);
        }
        if let Some(health) = &self.health {
            health.stopping();
        }
        gateway.drain();
        let give_up_at = clock.now() + longest_deadline + FINAL_ANSWER_TIME;
        while gateway.open_sessions() > 0 && clock.now() < give_up_at {
            self.pause_drain(signals);
        }
        info!(left = gateway.open_sessions(), "stopped");
    }

    /// The longest deadline with which a request can have been admitted.
    fn longest_deadline(&self) -> Micros {
        let classes = self.config.settings.classes.iter();
        classes.map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Waits for one poll interval of a drain. SIGHUP is still handled, as discovery's address may change meanwhile; no
    /// signal ends the drain.
    fn pause_drain(&mut self, signals: &mut Signals) {
        for signal in signals.pending() {
            self.handle_signal(signal);
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}
