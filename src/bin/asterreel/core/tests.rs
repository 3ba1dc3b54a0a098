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

type Asked = (Receiver<(MemberId, SocketAddr)>, Receiver<()>);

fn core_asking() -> (Core, Config, Asked) {
    let config =
        Config::parse(include_bytes!("../../../../examples/config.json"), |_| None).expect("good");
    let clock = Clock::start();
    let (probes, asked) = channel();
    let (watches, watched) = channel();
    let core = Core::new(&config, clock, Timer::new(clock), probes, watches).expect("good");
    (core, config, (asked, watched))
}

fn core() -> (Core, Config) {
    let (core, config, _) = core_asking();
    (core, config)
}

#[test]
fn a_list_with_one_bad_entry_leaves_the_old_one_standing() {
    let (core, config, (asked, watched)) = core_asking();
    let clock = core.clock;
    core.listed(UpdateKind::CachedSnapshot, &config.known)
        .expect("good");
    assert!(watched.try_recv().is_ok());
    let probed: Vec<(MemberId, SocketAddr)> = asked.try_iter().collect();
    assert_eq!(probed.len(), 2, "both are probed before a first send");

    let spoil: [fn(&mut Listing); 2] = [
        |list| list.members[1].state = "odd".into(),
        |list| list.members[1].address = "x".into(),
    ];
    for spoil in spoil {
        let mut bad = config.known.clone();
        bad.members.remove(0);
        bad.members.push(bad.members[0].clone());
        spoil(&mut bad);
        assert!(core.listed(UpdateKind::Snapshot, &bad).is_err());
    }
    // The primary, which those lists left out, still gets a write.
    let primary = MemberReport {
        role: Some(Role::Primary),
        position: None,
    };
    core.probed(probed[0].0, Outcome::Served, primary);
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
        commands[0].starts_with("Dispatch") && commands[0].contains(&probed[0].1.to_string()),
        "{commands:?}"
    );
}

/// Seen by reading: on a day of replacements every server that had ever been was kept, with its name.
#[test]
fn members_that_are_gone_are_forgotten_and_come_back_as_new() {
    let (core, config) = core();
    for round in 0..5 {
        let mut list = config.known.clone();
        list.members[1].store = format!("s-{round}");
        core.listed(UpdateKind::Snapshot, &list).expect("good");
        core.with(|state| assert_eq!((state.members.len(), state.places.len()), (2, 2)));
    }
    let mut gone = Listing {
        complete: false,
        ..config.known.clone()
    };
    gone.members
        .iter_mut()
        .for_each(|member| member.state = "gone".into());
    core.listed(UpdateKind::Delta, &gone).expect("good");
    core.with(|state| assert_eq!((state.members.len(), state.places.len()), (1, 1)));
}
