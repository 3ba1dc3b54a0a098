//! The server's run loop: what signals do to a gateway that serves, what it does for the control plane meanwhile, and how
//! it drains.
//!
//! A configuration or operator's file that is bad changes nothing. A drain, once begun, always ends the process, and
//! SIGHUP never does.

use crate::cli::{self, Files};
use crate::control::client::ControlClient;
use crate::discovery::Source;
use crate::front::Gateway;
use crate::health;
use asterreel::config::Config;
use asterreel::health::drain::{Timetable, LAST_ANSWERS};
use asterreel::interface::Micros;
use asterreel::operator::{Evaluated, OperatorFileError};
use asterreel_control::service::ControlEvent;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::time::Duration;
use tracing::{info, warn};

/// Time between two looks at events of the control plane.
const CONTROL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at whether a drain is over.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What signals and the control plane act on.
pub(crate) struct Server<'a> {
    /// The platform's configuration in force.
    pub config: Config,
    /// Where the operator's file is.
    pub files: &'a Files,
    /// Where discovery is.
    pub source: &'a Source,
    /// The front ends for load balancers, where there are any.
    pub health: Option<health::Handle>,
    /// The settings of cells at the start.
    pub cells: Option<asterreel::operator::Cells>,
    /// The timetable of a drain, where load balancers are notified of it.
    pub timetable: Option<Timetable>,
    /// The control client, where there is a control plane.
    pub control: Option<ControlClient>,
}

impl Server<'_> {
    /// Serves until a signal asks to end, and then drains.
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

    /// Handles all of these signals; false when one of them asks to end.
    fn handle_all(&mut self, signals: impl Iterator<Item = i32>) -> bool {
        signals.fold(true, |goes_on, signal| goes_on & self.handle_signal(signal))
    }

    /// Handles a signal; false when it asks to end.
    fn handle_signal(&mut self, signal: i32) -> bool {
        if signal != SIGHUP {
            return false;
        }
        match self.config.reload_from_env() {
            Ok(config) => apply_config(&mut self.config, config, self.source),
            Err(error) => warn!("{error}; the configuration in force stays"),
        }
        self.reload_operator_file();
        true
    }

    /// Reads the operator's file again; one that is bad, or contradicts the configuration, changes nothing.
    fn reload_operator_file(&mut self) {
        if self.files.operator.is_none() {
            return;
        }
        match self.evaluate_operator_file() {
            Ok(evaluated) => match &self.control {
                // The control plane activates it in the whole fleet, or not at all.
                Some(control) => control.propose(&evaluated.operator),
                None => self.apply_operator_file(evaluated),
            },
            Err(error) => warn!("{error}; the operator's file in force stays"),
        }
    }

    /// The operator's file as it is now, checked against the configuration.
    fn evaluate_operator_file(&self) -> Result<Evaluated, OperatorFileError> {
        let evaluated = self.files.evaluate(cli::EVALUATION_RUNNING)?;
        evaluated.beside(&self.config)?;
        Ok(evaluated)
    }

    /// Applies an operator's file, as far as a running gateway can.
    fn apply_operator_file(&mut self, evaluated: Evaluated) {
        info!(file = evaluated.file, "operator's file read again");
        match (&mut self.health, evaluated.operator.health) {
            (Some(handle), Some(health)) => {
                for key in handle.reload(health) {
                    warn!("{key}: the change takes effect at the next start");
                }
            }
            (None, None) => {}
            _ => warn!("health: switched on or off at the next start"),
        }
        if self.cells != evaluated.operator.cells {
            warn!("cells: the change takes effect at the next start");
        }
    }

    /// Reports to the control plane, and handles its events.
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
                    if let Some(evaluated) = control.take_candidate(topic, version) {
                        self.apply_operator_file(evaluated);
                    }
                }
            }
        }
        self.control = Some(control);
    }

    /// Serves on while clients still come, then closes connections between requests, and returns when none is
    /// left or no answer can be owed any more.
    fn drain(&mut self, gateway: &Gateway, signals: &mut Signals) {
        if let Some(health) = &self.health {
            health.terminate();
        }
        if let Some(control) = &self.control {
            control.drain();
        }
        let longest_deadline = self.longest_deadline();
        let timetable = self.timetable.unwrap_or(Timetable::plain(longest_deadline));
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
        let give_up_at = clock.now() + longest_deadline + LAST_ANSWERS;
        while gateway.open_sessions() > 0 && clock.now() < give_up_at {
            self.pause_drain(signals);
        }
        info!(left = gateway.open_sessions(), "stopped");
    }

    fn longest_deadline(&self) -> Micros {
        let classes = self.config.settings.classes.iter();
        classes.map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Waits between two looks at a drain. Discovery may move meanwhile, which is followed; no signal ends the drain.
    fn pause_drain(&mut self, signals: &mut Signals) {
        for signal in signals.pending() {
            self.handle_signal(signal);
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// Applies a configuration that was read again, as far as a running gateway can.
fn apply_config(config: &mut Config, reread: Config, source: &Source) {
    info!(discovery = %reread.discovery, "configuration read again");
    let keys_applied_at_start = [
        ("name", config.name != reread.name),
        ("listen", config.listen != reread.listen),
        ("limits", config.max_descriptors != reread.max_descriptors),
        ("settings", config.settings != reread.settings),
    ];
    for (key, _) in keys_applied_at_start
        .iter()
        .filter(|(_, is_changed)| *is_changed)
    {
        warn!("configuration: {key}: the change takes effect at the next start");
    }
    if config.discovery != reread.discovery {
        source.move_to(reread.discovery);
    }
    *config = reread;
}
