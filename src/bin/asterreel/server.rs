//! A gateway that serves: what its signals do, what it does for the fleet meanwhile, and how it ends.

use crate::cli::{self, Files};
use crate::control::client::Fleetwide;
use crate::discovery::Source;
use crate::front::Gateway;
use crate::health;
use asterreel::config::Config;
use asterreel::health::drain::{Timetable, LAST_ANSWERS};
use asterreel::operator::Evaluated;
use asterreel_control::service::{ControlEvent, ControlRequest};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::time::Duration;
use tracing::{info, warn};

/// Time between two looks at what the fleet asks.
const FLEET_POLL: Duration = Duration::from_millis(20);
/// Time between two looks at whether a drain is over.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// What signals act on.
pub(crate) struct Running<'a> {
    /// The platform's configuration in force.
    pub config: Config,
    /// Where the operator's file is.
    pub files: &'a Files,
    /// Where discovery is.
    pub source: &'a Source,
    /// The fronts for balancers, where there are any.
    pub health: Option<health::Handle>,
    /// As they were at the start.
    pub cells: Option<asterreel::operator::Cells>,
    /// The drain's timetable, where balancers are told of it.
    pub table: Option<Timetable>,
    /// What the fleet agrees on, where there is a log among gateways.
    pub agreed: Option<Fleetwide>,
}

impl Running<'_> {
    /// Serves until a signal asks to end, and then drains.
    pub(crate) fn run(mut self, gateway: &Gateway, signals: &mut Signals) {
        if self.agreed.is_some() {
            while signals
                .pending()
                .fold(true, |serve, signal| serve & self.serves_on(signal))
            {
                self.serve_fleet(gateway);
                std::thread::sleep(FLEET_POLL);
            }
        } else {
            while signals
                .wait()
                .fold(true, |serve, signal| serve & self.serves_on(signal))
            {}
        }
        self.drain(gateway, signals);
    }

    /// Takes in a signal; false when it asks to end.
    fn serves_on(&mut self, signal: i32) -> bool {
        if signal == SIGHUP {
            match self.config.reload_from_env() {
                Ok(again) => take_over(&mut self.config, again, self.source),
                Err(error) => warn!("{error}; the configuration in force stays"),
            }
            self.operator_again();
        }
        signal == SIGHUP
    }

    /// Reads the operator's file again; one that is bad, or doesn't fit, leaves the old one standing.
    fn operator_again(&mut self) {
        if self.files.operator.is_none() {
            return;
        }
        match self.evaluated() {
            Ok(evaluated) => match &mut self.agreed {
                // The fleet puts it in force at an agreed point, or not at all.
                Some(agreed) => agreed.offer(&evaluated.operator),
                None => self.enforce(evaluated),
            },
            Err(fault) => warn!("{fault}; the operator's file in force stays"),
        }
    }

    /// The operator's file as it is now, checked.
    fn evaluated(&self) -> Result<Evaluated, String> {
        let evaluated = self
            .files
            .evaluate(cli::EVALUATION_RUNNING)
            .map_err(|fault| fault.to_string())?;
        evaluated
            .beside(&self.config)
            .map_err(|fault| fault.to_string())?;
        Ok(evaluated)
    }

    /// Puts an operator's file in force, as far as a running gateway can.
    fn enforce(&mut self, evaluated: Evaluated) {
        info!(file = evaluated.file, "operator's file read again");
        match (&mut self.health, evaluated.operator.health) {
            (Some(handle), Some(health)) => {
                for key in handle.again(health) {
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

    /// Answers what the fleet asks, and tells it what was done under its versions.
    fn serve_fleet(&mut self, gateway: &Gateway) {
        let Some(mut agreed) = self.agreed.take() else {
            return;
        };
        agreed.count(gateway);
        if let (Some(shut_out), Some(health)) = (agreed.share(gateway), &self.health) {
            health.shut_out(shut_out);
        }
        while let Ok(notice) = agreed.notices.try_recv() {
            match notice {
                ControlEvent::Validate(topic, number, content) => {
                    let verdict = agreed.judge(topic, number, &content, || self.evaluated());
                    agreed
                        .peers
                        .request(ControlRequest::Validated(topic, number, verdict));
                }
                ControlEvent::Activated(topic, number) => {
                    if let Some(evaluated) = agreed.take(topic, number) {
                        self.enforce(evaluated);
                    }
                }
            }
        }
        self.agreed = Some(agreed);
    }

    /// Serves on while clients still come, then closes connections between requests, and returns when none is
    /// left or nothing can be owed any more.
    fn drain(&mut self, gateway: &Gateway, signals: &mut Signals) {
        if let Some(health) = &self.health {
            health.terminate();
        }
        if let Some(agreed) = &self.agreed {
            agreed.peers.request(ControlRequest::Drain);
        }
        let longest = self
            .config
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let table = self.table.unwrap_or(Timetable::plain(longest));
        let (began, clock) = (gateway.core.clock.now(), gateway.core.clock);
        gateway.set_last_answer_at(began + table.answer_until);
        info!("draining");
        while clock.now() < began + table.announce {
            self.pause(signals);
        }
        if let Some(health) = &self.health {
            health.stopping();
        }
        gateway.drain();
        let until = clock.now() + longest + LAST_ANSWERS;
        while gateway.open_sessions() > 0 && clock.now() < until {
            self.pause(signals);
        }
        info!(left = gateway.open_sessions(), "stopped");
    }

    /// Lets some time of a drain pass. Discovery may move meanwhile: that is followed, and nothing else touches the drain.
    fn pause(&mut self, signals: &mut Signals) {
        for signal in signals.pending() {
            self.serves_on(signal);
        }
        std::thread::sleep(DRAIN_POLL);
    }
}

/// Puts a configuration that was read again into force, as far as a running gateway can.
fn take_over(config: &mut Config, again: Config, source: &Source) {
    info!(discovery = %again.discovery, "configuration read again");
    let later = [
        ("name", config.name != again.name),
        ("listen", config.listen != again.listen),
        ("limits", config.sockets != again.sockets),
        ("settings", config.settings != again.settings),
    ];
    for (key, _) in later.iter().filter(|(_, changed)| *changed) {
        warn!("configuration: {key}: the change takes effect at the next start");
    }
    if config.discovery != again.discovery {
        source.move_to(again.discovery);
    }
    *config = again;
}
