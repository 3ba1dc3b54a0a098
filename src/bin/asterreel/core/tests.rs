use super::*;
use may::sync::mpsc::{channel, Receiver};

#[derive(Default)]
struct RecordedCommands(Mutex<Vec<String>>);

impl CommandMailbox for RecordedCommands {
    fn send(&self, command: Command) {
        self.0
            .lock()
            .expect("not poisoned")
            .push(format!("{command:?}"));
    }
}

type Channels = (Receiver<HealthCheck>, Receiver<()>);

fn core_with_channels() -> (Core, Config, Channels) {
    let config =
        Config::parse(include_bytes!("../../../../examples/config.json"), |_| None).expect("valid");
    let clock = Clock::start();
    let (health_checks, requested_checks) = channel();
    let (watches, requested_watches) = channel();
    let core = Core::new(&config, clock, Timer::new(clock), health_checks, watches).expect("valid");
    (core, config, (requested_checks, requested_watches))
}

fn core() -> (Core, Config) {
    let (core, config, _) = core_with_channels();
    (core, config)
}

#[test]
fn update_with_invalid_endpoint_changes_nothing() {
    let (core, config, (requested_checks, requested_watches)) = core_with_channels();
    let clock = core.clock;
    core.listed(UpdateKind::CachedSnapshot, &config.known_endpoints)
        .expect("valid");
    assert!(requested_watches.try_recv().is_ok());
    let checks: Vec<HealthCheck> = requested_checks.try_iter().collect();
    assert_eq!(
        checks.len(),
        2,
        "both members are checked before the first dispatch"
    );

    let corruptions: [fn(&mut EndpointList); 2] = [
        |list| list.members[1].state = "odd".into(),
        |list| list.members[1].address = "x".into(),
    ];
    for corrupt in corruptions {
        let mut invalid = config.known_endpoints.clone();
        invalid.members.remove(0);
        invalid.members.push(invalid.members[0].clone());
        corrupt(&mut invalid);
        assert!(core.listed(UpdateKind::Snapshot, &invalid).is_err());
    }
    // The primary, which is missing in those updates, still gets a write.
    let primary = MemberReport {
        role: Some(Role::Primary),
        position: None,
    };
    core.health_check_ended(checks[0].member, Outcome::Served, primary);
    let mailbox = Arc::new(RecordedCommands::default());
    let arrival = Arrival {
        request: RequestId(0),
        class: ClassId(1),
        tenant: TenantId(0),
        session: None,
        due: clock.now() + 3_000_000,
        estimate: None,
        group: GroupId(0),
        since_write: None,
    };
    core.arrive(arrival, mailbox.clone());
    let commands = mailbox.0.lock().expect("not poisoned");
    assert!(
        commands[0].starts_with("Dispatch") && commands[0].contains(&checks[0].address.to_string()),
        "{commands:?}"
    );
}

/// Ids and names of removed members are not kept; otherwise the maps would grow with every server that is replaced.
#[test]
fn removed_members_are_not_kept() {
    let (core, config) = core();
    for round in 0..5 {
        let mut list = config.known_endpoints.clone();
        list.members[1].store = format!("s-{round}");
        core.listed(UpdateKind::Snapshot, &list).expect("valid");
        core.with(|state| assert_eq!(state.members.counts(), (2, 2)));
    }
    let mut removal = EndpointList {
        complete: false,
        ..config.known_endpoints.clone()
    };
    removal
        .members
        .iter_mut()
        .for_each(|member| member.state = "gone".into());
    core.listed(UpdateKind::Delta, &removal).expect("valid");
    core.with(|state| assert_eq!(state.members.counts(), (1, 1)));
}
