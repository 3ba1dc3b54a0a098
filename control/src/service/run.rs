//! The loop of the control plane: waits for ticks, timers, links and requests, passes each to the control member or the
//! gateway of this process, and publishes the view after every round.

use super::gateway::Gateway;
use super::member::{self, Member};
use super::{ControlError, ControlEvent, ControlRequest, SharedView, View};
use crate::clock::Clock;
use crate::lease::NodeIdentity;
use crate::link;
use crate::settings::ControlSettings;
use crate::traffic::Traffic;
use crate::versions;
use std::net::TcpListener;
use std::sync::mpsc::Sender;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::info;

/// The log target of the loop, by which operators may filter.
const LOG_TARGET: &str = "asterreel_control::service";

/// The next event of the member's or the gateway's links; pending forever if this process has no such part.
async fn next_event<T>(events: &mut Option<mpsc::Receiver<T>>) -> T {
    if let Some(events) = events {
        if let Some(event) = events.recv().await {
            return event;
        }
    }
    std::future::pending().await
}

/// The next Raft tick; pending forever if this process is no control member.
async fn tick(ticks: &mut Option<tokio::time::Interval>) {
    match ticks {
        Some(ticks) => drop(ticks.tick().await),
        None => std::future::pending().await,
    }
}

/// What the loop is started with.
pub(super) struct Startup {
    /// The settings of the control plane.
    pub(super) settings: ControlSettings,
    /// The monotonic clock of the loop.
    pub(super) clock: Clock,
    /// The identity of this process.
    pub(super) me: NodeIdentity,
    /// Whether this process is a gateway that registers.
    pub(super) registers: bool,
    /// Counts what the gateway sends and receives.
    pub(super) traffic: Traffic,
}

impl Startup {
    /// Runs the loop until it fails.
    pub(super) async fn run(
        self,
        member: Option<(Member, TcpListener)>,
        program_events: Sender<ControlEvent>,
        view: SharedView,
        requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> Result<(), ControlError> {
        let Startup {
            settings,
            clock,
            me,
            registers,
            traffic,
        } = self;
        let mut member_events = None;
        let mut ticks = None;
        let member = match member {
            Some((mut member, listener)) => {
                member_events = Some(member.open_links(listener)?);
                ticks = Some(member::tick_interval(&settings.timing()));
                Some(member)
            }
            None => None,
        };
        let mut gateway_events = None;
        let mut gateway = None;
        if registers {
            let (link_events, received) = mpsc::channel(link::EVENT_QUEUE_LENGTH);
            gateway_events = Some(received);
            gateway = Some(Gateway::start(
                &settings,
                clock,
                me,
                program_events,
                link_events,
                traffic,
            ));
        }
        let control_loop = ControlLoop {
            clock,
            member,
            gateway,
            view,
        };
        info!(
            target: LOG_TARGET,
            at = clock.now(),
            gateway = me.gateway,
            incarnation = me.incarnation,
            "control: started"
        );
        control_loop
            .run(ticks, member_events, gateway_events, requests)
            .await
    }
}

/// The loop's state.
struct ControlLoop {
    clock: Clock,
    member: Option<Member>,
    gateway: Option<Gateway>,
    view: SharedView,
}

impl ControlLoop {
    async fn run(
        mut self,
        mut ticks: Option<tokio::time::Interval>,
        mut member_events: Option<mpsc::Receiver<link::accept::LinkEvent>>,
        mut gateway_events: Option<mpsc::Receiver<link::gateway::LinkEvent>>,
        mut requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> Result<(), ControlError> {
        let mut requests_open = true;
        loop {
            self.drive()?;
            let sleep_time = self.gateway.as_ref().map_or(Duration::MAX, |gateway| {
                gateway.time_until_wakeup(self.clock.now())
            });
            tokio::select! {
                () = tick(&mut ticks) => {
                    if let Some(member) = &mut self.member {
                        member.tick()?;
                    }
                }
                () = tokio::time::sleep(sleep_time) => {
                    if let Some(gateway) = &mut self.gateway {
                        gateway.handle(versions::client::Event::Tick);
                    }
                }
                event = next_event(&mut member_events) => self.on_member_event(event)?,
                event = next_event(&mut gateway_events) => self.on_gateway_event(event),
                request = requests.recv(), if requests_open => match request {
                    Some(request) => self.on_request(request)?,
                    None => requests_open = false,
                },
            }
            // Handles all other events that have arrived, so that one write to the disk covers them.
            while let Some(event) = member_events
                .as_mut()
                .and_then(|events| events.try_recv().ok())
            {
                self.on_member_event(event)?;
            }
            while let Some(event) = gateway_events
                .as_mut()
                .and_then(|events| events.try_recv().ok())
            {
                self.on_gateway_event(event);
            }
        }
    }

    fn on_member_event(&mut self, event: link::accept::LinkEvent) -> Result<(), ControlError> {
        self.member
            .as_mut()
            .map_or(Ok(()), |member| member.on_link_event(event))
    }

    fn on_gateway_event(&mut self, event: link::gateway::LinkEvent) {
        if let Some(gateway) = &mut self.gateway {
            gateway.on_link_event(event);
        }
    }

    fn on_request(&mut self, request: ControlRequest) -> Result<(), ControlError> {
        use versions::client::Event;
        let event = match request {
            ControlRequest::ProposeVersion(topic, content) => {
                Event::ProposeVersion { topic, content }
            }
            ControlRequest::Validated(topic, number, result) => Event::Validated {
                topic,
                number,
                result,
            },
            ControlRequest::Acted(topic, number, count) => Event::Acted {
                topic,
                number,
                count,
            },
            ControlRequest::Drain => Event::Drain,
        };
        if event == Event::Drain {
            if let Some(member) = &mut self.member {
                member.drain()?;
            }
        }
        if let Some(gateway) = &mut self.gateway {
            gateway.handle(event);
        }
        Ok(())
    }

    /// Stores, sends and applies what Raft has ready, and publishes the view.
    fn drive(&mut self) -> Result<(), ControlError> {
        let mut view = View::default();
        if let Some(member) = &mut self.member {
            member.drive()?;
            view.leads = member.leads();
        }
        if let Some(gateway) = &self.gateway {
            let client = gateway.client();
            view.permission = client.permission(self.clock.now());
            view.registrations = client.registration_count();
            view.active_versions = client.active_versions().collect();
        }
        self.view.store(view);
        Ok(())
    }
}
