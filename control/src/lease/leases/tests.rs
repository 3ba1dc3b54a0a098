use super::*;

const DUTY: Duty = Duty(0);
const TIMING: Timing = Timing {
    lease_us: 3_000,
    renew_us: 1_000,
    drift_ppm: 0,
    margin_us: 100,
};

fn identity(gateway: u32) -> NodeIdentity {
    NodeIdentity {
        gateway,
        incarnation: 1,
    }
}

fn gateway(number: u32) -> Leases {
    Leases::new(identity(number), TIMING)
}

fn proposals(out: &[Action]) -> Vec<Command> {
    out.iter()
        .filter_map(|action| {
            if let Action::Propose(command) = action {
                Some(*command)
            } else {
                None
            }
        })
        .collect()
}

/// Applies entries on all gateways at `now`, in order, numbered from the one after the first gateway's last.
fn commit(all: &mut [Leases], now: Micros, commands: &[Command]) -> Vec<Vec<Action>> {
    let first = all[0].table().applied().0;
    let mut outs = vec![Vec::new(); all.len()];
    for (offset, command) in commands.iter().enumerate() {
        let index = Index(first + 1 + offset as u64);
        for (leases, out) in all.iter_mut().zip(&mut outs) {
            leases.handle(
                now,
                Event::Applied {
                    index,
                    command: *command,
                },
                out,
            );
        }
    }
    outs
}

#[test]
fn lease_passes_to_another_gateway_after_its_wait() {
    let mut all = [gateway(1), gateway(2)];
    let (mut first, mut second) = (Vec::new(), Vec::new());
    all[0].handle(0, Event::HoldDuty(DUTY), &mut first);
    all[1].handle(10, Event::HoldDuty(DUTY), &mut second);
    let claims = [proposals(&first)[0], proposals(&second)[0]];
    let outs = commit(&mut all, 20, &claims);
    assert!(outs[0].contains(&Action::Act {
        duty: DUTY,
        token: Token(1),
        until: 3_000
    }));
    assert_eq!(
        all[1].status(DUTY, 20),
        Status::HeldByOther {
            holder: identity(1),
            token: Token(1)
        }
    );
    // The first stops renewing; the second waits for the lease and the margin since it observed the grant, then claims.
    let mut out = Vec::new();
    all[1].handle(3_119, Event::Tick, &mut out);
    assert!(proposals(&out).is_empty(), "{out:?}");
    all[1].handle(3_120, Event::Tick, &mut out);
    let claim = proposals(&out);
    assert_eq!(
        claim,
        [Command::Claim {
            duty: DUTY,
            holder: identity(2),
            seen: Index(1),
            at: 3_120
        }]
    );
    // By then the first gateway has stopped by its own clock.
    let mut out = Vec::new();
    all[0].handle(3_000, Event::Tick, &mut out);
    assert!(out.contains(&Action::Stop {
        duty: DUTY,
        token: Token(1)
    }));
    let outs = commit(&mut all, 3_200, &claim);
    assert!(outs[1].contains(&Action::Act {
        duty: DUTY,
        token: Token(3),
        until: 6_120
    }));
}

/// Two gateways that want the duty; the first holds it from 5 us on.
fn two_gateways_with_first_as_holder() -> [Leases; 2] {
    let mut all = [gateway(1), gateway(2)];
    let mut out = Vec::new();
    all[0].handle(0, Event::HoldDuty(DUTY), &mut out);
    commit(&mut all, 5, &proposals(&out));
    all[1].handle(6, Event::HoldDuty(DUTY), &mut Vec::new());
    all
}

#[test]
fn holder_renews_before_expiry_and_keeps_lease() {
    let mut all = two_gateways_with_first_as_holder();
    for now in (1_000..20_000).step_by(1_000) {
        let mut out = Vec::new();
        all[0].handle(now, Event::Tick, &mut out);
        let renewal = proposals(&out);
        assert!(
            matches!(renewal[..], [Command::Renew { at, .. }] if at == now),
            "{out:?}"
        );
        commit(&mut all, now + 50, &renewal);
        let mut other = Vec::new();
        all[1].handle(now + 60, Event::Tick, &mut other);
        assert!(proposals(&other).is_empty(), "{other:?}");
        assert_eq!(all[0].active_token(DUTY, now + 60), Some(Token(1)));
    }
}

#[test]
fn drain_stops_at_once_and_releases_without_wait() {
    let mut all = two_gateways_with_first_as_holder();
    let mut out = Vec::new();
    all[0].handle(500, Event::Drain, &mut out);
    assert_eq!(
        out[0],
        Action::Stop {
            duty: DUTY,
            token: Token(1)
        }
    );
    assert_eq!(all[0].active_token(DUTY, 500), None);
    let outs = commit(&mut all, 510, &proposals(&out));
    let claim = proposals(&outs[1]);
    assert!(
        matches!(
            claim[..],
            [Command::Claim {
                seen: Index(2),
                at: 510,
                ..
            }]
        ),
        "{:?}",
        outs[1]
    );
    // The drained gateway does not claim again.
    let mut out = Vec::new();
    all[0].handle(5_000, Event::Tick, &mut out);
    assert!(proposals(&out).is_empty());
}

#[test]
fn grant_observed_after_expiry_is_not_acted_on() {
    let mut all = [gateway(1)];
    let mut out = Vec::new();
    all[0].handle(0, Event::HoldDuty(DUTY), &mut out);
    let outs = commit(&mut all, 3_000, &proposals(&out));
    assert!(
        !outs[0]
            .iter()
            .any(|action| matches!(action, Action::Act { .. })),
        "{:?}",
        outs[0]
    );
    // By the log it is the holder: a renewal requested now gives a lease that counts from now.
    let renewal = proposals(&outs[0]);
    assert!(
        matches!(
            renewal[..],
            [Command::Renew {
                token: Token(1),
                at: 3_000,
                ..
            }]
        ),
        "{renewal:?}"
    );
    let outs = commit(&mut all, 3_010, &renewal);
    assert!(outs[0].contains(&Action::Act {
        duty: DUTY,
        token: Token(1),
        until: 6_000
    }));
}

#[test]
fn missing_entry_requests_replay_and_changes_nothing() {
    let mut leases = gateway(1);
    let mut out = Vec::new();
    let claim = Command::Claim {
        duty: DUTY,
        holder: identity(2),
        seen: Index(0),
        at: 0,
    };
    leases.handle(
        0,
        Event::Applied {
            index: Index(2),
            command: claim,
        },
        &mut out,
    );
    assert_eq!(out, [Action::Replay { from: Index(1) }]);
    assert_eq!(leases.status(DUTY, 0), Status::Available);
}
