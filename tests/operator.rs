//! The operator's file: what it sets, and what is said of each wrong one.
use asterreel::config::Config;
use asterreel::operator::{self, Evaluated, OperatorFileError};
use std::path::Path;
use std::time::Duration;

fn evaluate(path: &Path) -> Result<Evaluated, OperatorFileError> {
    let evaluator = Path::new(env!("CARGO_BIN_EXE_asterreel-config-eval"));
    operator::evaluate(evaluator, path, Duration::from_secs(20))
}

fn fault(text: &str) -> OperatorFileError {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    std::fs::write(&path, text).expect("written");
    let config = Config::parse(include_bytes!("../examples/config.json"), |_| None).expect("good");
    let checked = evaluate(&path).and_then(|evaluated| evaluated.beside(&config));
    checked.expect_err(text)
}

#[test]
fn the_example_and_the_deployments_file_are_good() {
    let config = Config::parse(include_bytes!("../examples/config.json"), |_| None).expect("good");
    let example = evaluate(Path::new("examples/operator.star")).expect("good");
    let health = example.operator.health.as_ref().expect("set");
    let listeners: Vec<_> = health
        .listeners()
        .iter()
        .map(|(_, address)| address.port())
        .collect();
    assert_eq!(listeners, [6460, 6461, 6462]);
    let table = example
        .beside(&config)
        .expect("fits")
        .expect("health is on");
    assert_eq!((table.announce, table.answer_until), (900_000, 3_600_000));
    let deployed = evaluate(Path::new("deploy/linz-rides.star")).expect("good");
    assert_eq!(deployed.operator.health, None);
    assert_eq!(deployed.beside(&config), Ok(None));
}

#[test]
fn each_wrong_file_is_rejected_with_its_key_line_and_column() {
    // What the file says behind `health(\n`, the key that is named, and where.
    let cases: &[(&str, &str, (usize, usize))] = &[
        ("  agnt = agent(listen = '127.0.0.1:1')", "health.agnt", (2, 3)),
        ("  agent = agent(listen = 'here')", "agent.listen", (2, 17)),
        ("  agent = agent(lisen = '127.0.0.1:1')", "agent.lisen", (2, 17)),
        ("  agent = agent()", "agent.listen", (2, 11)),
        ("  agent = agent(listen = '127.0.0.1:0')", "health.agent.listen", (2, 17)),
        ("  agent = agent(listen = '127.0.0.1:1', wait_ms = 900)", "health.agent.wait_ms", (2, 41)),
        ("  agent = agent(listen = '127.0.0.1:1', maxconn = 'yes')", "agent.maxconn", (2, 41)),
        ("  http = listener(listen = 7)", "listener.listen", (2, 19)),
        ("  http = listener(listen = '127.0.0.1:1'),\n  grpc = listener(listen = '127.0.0.1:1')", "health.grpc.listen", (2, 19)),
        ("  http = listener(listen = '127.0.0.1:6433')", "health.http.listen", (2, 19)),
        ("  http = listener(listen = '127.0.0.1:1'),\n  allow = ['10.0.0.0/33']", "health.allow[0]", (3, 3)),
        ("  http = listener(listen = '127.0.0.1:1'),\n  allow = []", "health.allow", (3, 3)),
        ("  http = listener(listen = '127.0.0.1:1'),\n  connections = 2", "health.connections", (3, 3)),
        ("  http = listener(listen = '127.0.0.1:1'),\n  connections = -2", "health.connections", (3, 3)),
        ("  notify = True,\n  knobs = knobs(floor = 0)", "health.knobs.floor", (3, 17)),
        ("  notify = True,\n  knobs = knobs(strain_high = 0.1, strain_low = 0.1)", "health.knobs.strain_low", (3, 36)),
        ("  notify = True,\n  knobs = knobs(beat_every_ms = 200, hung_after_ms = 300)", "health.knobs.hung_after_ms", (3, 38)),
        ("  notify = True,\n  knobs = knobs(rise_step = 300)", "knobs.rise_step", (3, 17)),
        ("  http = listener(listen = '127.0.0.1:1'),\n  balancer = balancer(interval_ms = 900, fall = 3)", "health.balancer.interval_ms", (3, 23)),
        ("  notify = True,\n  http = listener(listen = '127.0.0.1:1'),\n  drain = drain(announce_ms = 760)", "health.drain.announce_ms", (4, 17)),
        ("  notify = True,\n  drain = drain(announce_ms = 2500)", "health.drain.announce_ms", (3, 17)),
        ("  notify = True,\n  drain = drain(kill_after_ms = 800)", "health.drain.kill_after_ms", (3, 17)),
        ("  notify = 'yes'", "health.notify", (2, 3)),
        ("  connections = 40", "health", (1, 1)),
    ];
    for (text, key, at) in cases {
        let fault = fault(&format!("health(\n{text}\n)\n"));
        assert_eq!(
            (fault.key.as_deref(), fault.at),
            (Some(*key), Some(*at)),
            "{fault}"
        );
        assert!(
            fault.to_string().contains(key) && fault.file.ends_with("operator.star"),
            "{fault}"
        );
    }
}

#[test]
fn each_wrong_word_about_cells_is_rejected_with_its_key() {
    let good = "cells(placement = 'p', who = ['user', {'network': [['10.0.0.0/8', 'x']]}], bounds = {'one': bounds(requests = 9)})\n";
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    std::fs::write(&path, good).expect("written");
    let cells = evaluate(&path).expect("good").operator.cells.expect("set");
    assert_eq!(cells.placement, folder.path().join("p"));
    let cases = [
        ("cells(who = ['user'])", "cells.placement"),
        ("cells(placement = '', who = ['user'])", "cells.placement"),
        ("cells(placement = 'p', who = [])", "cells.who"),
        ("cells(placement = 'p', who = ['usr'])", "cells.who[0]"),
        (
            "cells(placement = 'p', who = ['user', 'user'])",
            "cells.who[1]",
        ),
        (
            "cells(placement = 'p', who = ['user'], reread_ms = 1)",
            "cells.reread_ms",
        ),
        (
            "cells(placement = 'p', who = ['user'], lease_ms = 600)",
            "cells.lease_ms",
        ),
        (
            "cells(placement = 'p', who = ['user'], bounds = {'one': bounds(sessions = 1)})",
            "bounds.sessions",
        ),
        (
            "cells(placement = 'p', who = ['user'], quarantine = quarantine(members = 0))",
            "cells.quarantine.members",
        ),
        (
            "cells(placement = 'p', who = ['user'], quarantin = 1)",
            "cells.quarantin",
        ),
        (
            "cells(placement = 'p', who = ['user'])\ncells(placement = 'p', who = ['user'])",
            "cells",
        ),
    ];
    for (text, key) in cases {
        let fault = fault(text);
        assert_eq!(fault.key.as_deref(), Some(key), "{fault}");
    }
}

#[test]
fn what_is_no_script_or_runs_away_is_stopped_and_placed() {
    let deep = format!("x = {}1{}\n", "(".repeat(5000), ")".repeat(5000));
    let long = format!("x = 1{}\n", " + 1".repeat(16_000));
    let minus = format!("x = {}1\n", "-".repeat(60_000));
    let calls = format!("x = f{}\n", "()".repeat(30_000));
    let elifs = format!(
        "def f(n):\n if n:\n  pass\n{}",
        " elif n:\n  pass\n".repeat(3_000)
    );
    let within = |open: &str, close: &str, count| {
        format!(
            "def f(x):\n return {}x{}\n",
            open.repeat(count),
            close.repeat(count)
        )
    };
    let cases: &[(&str, &str, Option<usize>)] = &[
        ("health(\n", "parse error", Some(2)),
        ("\nhelth()\n", "helth", Some(2)),
        ("health(notify = True)\nhealth(notify = True)\n", "is set already", Some(2)),
        ("def f(n):\n    return f(n + 1)\nf(0)\n", "overflow", None),
        ("def f():\n    for i in range(100000000):\n        pass\nf()\n", "limit", None),
        (
            "def f():\n    x = []\n    for i in range(900000):\n        x.append(str(i) * 100)\nf()\n",
            "limit",
            None,
        ),
        ("load('../x.star', 'x')\n", "below the folder", None),
        ("load('/etc/hostname', 'x')\n", "below the folder", None),
        ("load('operator.star', 'x')\n", "loads itself", None),
        ("load('missing.star', 'x')\n", "missing.star", None),
        ("health(http = 7)\n", "http", Some(1)),
        (&deep, "go deeper", Some(1)),
        (&long, "go deeper", Some(1)),
        (&minus, "go deeper", Some(1)),
        (&calls, "go deeper", Some(1)),
        (&elifs, "go deeper", None),
        (&" ".repeat(70_000), "65536", None),
    ];
    for (text, wanted, line) in cases {
        let fault = fault(text);
        let shown = fault.to_string().to_lowercase();
        assert!(
            shown.contains(&wanted.to_lowercase()),
            "{wanted:?} is not in {shown:.300}"
        );
        assert!(
            line.is_none() || fault.at.map(|at| at.0) == *line,
            "{shown:.300}"
        );
    }
    // As deep as is let through, whichever way: the stack holds it.
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("long.star");
    let deepest = [
        within("(", ")", 180),
        within("-", "", 190),
        within("[", "]", 180),
        within("not ", "", 190),
        within("f(", ")", 180),
        within("x + (", ")", 90),
        within("", " + x", 190),
        format!("x = [{}]\n", "'a', ".repeat(9_000)),
    ];
    for text in deepest {
        std::fs::write(&path, &text).expect("written");
        evaluate(&path).unwrap_or_else(|fault| panic!("{fault}: {text:.60}"));
    }
}

#[test]
fn parts_may_be_loaded_from_below_the_folder_and_a_fault_there_is_placed_there() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    std::fs::create_dir(folder.path().join("parts")).expect("made");
    let part = folder.path().join("parts/http.star");
    std::fs::write(
        &path,
        "load('parts/http.star', 'front')\nhealth(http = front(6461))\n",
    )
    .expect("written");
    std::fs::write(
        &part,
        "def front(port):\n    return listener(listen = '127.0.0.1:%d' % port)\n",
    )
    .expect("written");
    let health = evaluate(&path).expect("good").operator.health.expect("set");
    assert_eq!(health.http.expect("set").listen.port(), 6461);
    std::fs::write(
        &part,
        "\ndef front(port):\n    return listener(listen = port)\n",
    )
    .expect("written");
    let fault = evaluate(&path).expect_err("a number is no address");
    assert!(fault.file.ends_with("parts/http.star"), "{fault}");
    assert_eq!(
        (fault.key.as_deref(), fault.at),
        (Some("listener.listen"), Some((3, 21)))
    );
    // A link that leads out is no way out.
    let elsewhere = tempfile::NamedTempFile::new().expect("a file");
    std::os::unix::fs::symlink(elsewhere.path(), folder.path().join("out.star")).expect("linked");
    std::fs::write(&path, "load('out.star', 'x')\n").expect("written");
    assert!(evaluate(&path)
        .expect_err("a way out")
        .to_string()
        .contains("out of the folder"));
}

#[test]
fn an_evaluator_that_is_not_there_or_says_nothing_is_a_fault_of_the_file_and_no_more() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    std::fs::write(&path, "").expect("written");
    let ask = |program: &Path| {
        operator::evaluate(program, &path, Duration::from_secs(1)).expect_err("no answer")
    };
    assert!(ask(&folder.path().join("nothing"))
        .fault
        .contains("nothing"));
    assert!(ask(Path::new("/bin/true")).fault.contains("broke off"));
}

#[test]
fn each_contradictory_word_about_leases_is_rejected_with_its_key() {
    let peers = "peers = [peer(id = 1, address = '127.0.0.1:7101'), peer(id = 2, address = '127.0.0.1:7102'), \
                 peer(id = 3, address = '127.0.0.1:7103'), peer(id = 4, address = '127.0.0.1:7104', voter = False)]";
    let good =
        format!("lease(me = 2, listen = '127.0.0.1:7102', store = 'log', duties = ['discovery'], {peers})\n");
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    std::fs::write(&path, &good).expect("written");
    let lease = evaluate(&path).expect("good").operator.lease.expect("set");
    assert_eq!(
        (lease.me, lease.store.clone(), lease.lease_ms),
        (2, folder.path().join("log"), 3_000)
    );
    // Three voters and a learner; the others wait the lease, its drift and the margin.
    assert_eq!(lease.timing().wait_us(), 3_056_007);
    let with = |change: &str| {
        format!("lease(me = 2, listen = '127.0.0.1:7102', store = 'log', {change})\n")
    };
    let one = "peers = [peer(id = 2, address = '127.0.0.1:7102')]";
    let cases = [
        (
            with(&format!("duties = ['discovery'], {one}")),
            "lease.peers",
        ),
        (with("duties = ['discovery'], peers = []"), "lease.peers"),
        (
            with(&format!(
                "duties = ['discovery'], lease_ms = 1000, renew_ms = 1000, {peers}"
            )),
            "lease.lease_ms",
        ),
        (
            with(&format!(
                "duties = ['discovery'], lease_ms = 1040, margin_ms = 50, {peers}"
            )),
            "lease.lease_ms",
        ),
        (
            with(&format!(
                "duties = ['discovery'], drift_ppm = 100000, {peers}"
            )),
            "lease.drift_ppm",
        ),
        (
            with(&format!("duties = ['discovery'], renew_ms = 0, {peers}")),
            "lease.renew_ms",
        ),
        (with(&format!("duties = [], {peers}")), "lease.duties"),
        (
            with(&format!("duties = ['discover'], {peers}")),
            "lease.duties[0]",
        ),
        (
            with(&format!("duties = ['probes', 'probes'], {peers}")),
            "lease.duties[1]",
        ),
        (
            with(&format!("duties = ['probes'], allow = [], {peers}")),
            "lease.allow",
        ),
        (good.replace("me = 2", "me = 9"), "lease.me"),
        (
            good.replace("listen = '127.0.0.1:7102'", "listen = '127.0.0.1:7109'"),
            "lease.listen",
        ),
        (good.replace("store = 'log'", "store = ''"), "lease.store"),
        (good.replace("id = 3", "id = 1"), "lease.peers[2].id"),
        (good.replace("id = 3", "id = 0"), "lease.peers[2].id"),
        (good.replace("7103'", "7101'"), "lease.peers[2].address"),
        (good.replace("duties", "dutys"), "lease.dutys"),
        (
            good.replace(
                "lease(me = 2, listen = '127.0.0.1:7102'",
                "lease(listen = '127.0.0.1:7102'",
            ),
            "lease.me",
        ),
        (format!("{good}{good}"), "lease"),
    ];
    for (text, key) in cases {
        let fault = fault(&text);
        assert_eq!(fault.key.as_deref(), Some(key), "{fault}");
    }
    // Where clients connect is no place for peers.
    let clients = good.replace("7102", "6433");
    assert_eq!(
        fault(&clients).key.as_deref(),
        Some("lease.listen"),
        "{}",
        fault(&clients)
    );
}

/// The peers that vote, and those that are served.
const FLEET: &str = "peers = [peer(id = 1, address = '127.0.0.1:7101'), peer(id = 2, address = '127.0.0.1:7102'), \
                     peer(id = 3, address = '127.0.0.1:7103'), peer(id = 4, address = '127.0.0.1:7104', voter = False)]";

fn lease(text: &str) -> asterreel::operator::Lease {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    std::fs::write(&path, text).expect("written");
    evaluate(&path)
        .unwrap_or_else(|fault| panic!("{fault}"))
        .operator
        .lease
        .expect("set")
}

#[test]
fn a_gateway_that_is_served_needs_no_listener_store_or_duties_and_need_not_be_listed() {
    let client = lease(&format!("lease(me = 17, client = True, {FLEET})\n"));
    assert!(!client.votes() && client.client, "{client:?}");
    assert_eq!(
        (
            client.listen,
            client.store.as_os_str().is_empty(),
            client.duties.len()
        ),
        (None, true, 0)
    );
    // One that is listed may say so; and a file of the build before, for one that does not vote, is one.
    assert!(!lease(&format!("lease(me = 4, client = True, {FLEET})\n")).votes());
    let former = "listen = '127.0.0.1:7104', store = 'log', duties = ['probes']";
    assert!(!lease(&format!("lease(me = 4, {former}, {FLEET})\n")).votes());
    let member = former.replace("7104", "7101");
    assert!(lease(&format!(
        "lease(me = 1, {member}, client = False, {FLEET})\n"
    ))
    .votes());
}

#[test]
fn each_contradictory_word_about_clients_of_control_is_rejected_with_its_key() {
    let good = format!("lease(me = 17, client = True, {FLEET})\n");
    let member = format!(
        "lease(me = 1, listen = '127.0.0.1:7101', store = 'log', duties = ['probes'], {FLEET})\n"
    );
    let with = |more: &str| good.replace("client = True", &format!("client = True, {more}"));
    let cases = [
        (good.replace("me = 17", "me = 2"), "lease.me"),
        (good.replace("me = 17", "me = 0"), "lease.me"),
        (good.replace("me = 17", "me = 65536"), "lease.me"),
        (
            good.replace("client = True", "client = 'yes'"),
            "lease.client",
        ),
        (good.replace("client = True", "client = False"), "lease.me"),
        (
            good.replace("client = True", "clients = True"),
            "lease.clients",
        ),
        (good.replace("id = 3", "id = 1"), "lease.peers[2].id"),
        (
            "lease(me = 17, client = True, peers = [])\n".to_owned(),
            "lease.peers",
        ),
        (
            good.replace(
                "id = 3, address = '127.0.0.1:7103'",
                "id = 3, address = '127.0.0.1:7103', voter = False",
            ),
            "lease.peers",
        ),
        (with("listen = '127.0.0.1:7117'"), "lease.listen"),
        (with("store = 'log'"), "lease.store"),
        (with("duties = ['probes']"), "lease.duties"),
        (with("lease_ms = 1040"), "lease.lease_ms"),
        (with("renew_ms = 0"), "lease.renew_ms"),
        // A gateway that the peers list still says where it listens, what it keeps and what it holds.
        (
            member.replace("listen = '127.0.0.1:7101', ", ""),
            "lease.listen",
        ),
        (member.replace("store = 'log', ", ""), "lease.store"),
        (member.replace("duties = ['probes'], ", ""), "lease.duties"),
    ];
    for (text, key) in cases {
        let fault = fault(&text);
        assert_eq!(fault.key.as_deref(), Some(key), "{fault}");
    }
}

#[test]
fn a_file_for_a_control_member_on_its_own_has_to_make_it_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    let member = |text: &str| {
        std::fs::write(&path, text).expect("written");
        evaluate(&path).and_then(|evaluated| evaluated.member().cloned())
    };
    let good = format!(
        "lease(me = 1, listen = '127.0.0.1:7101', store = 'log', duties = ['probes'], {FLEET})\n"
    );
    assert_eq!(member(&good).expect("good").me, 1);
    let served = good
        .replace("me = 1", "me = 4")
        .replace("listen = '127.0.0.1:7101'", "listen = '127.0.0.1:7104'");
    let client = format!("lease(me = 17, client = True, {FLEET})\n");
    for text in [&served, &client] {
        let fault = member(text).expect_err(text);
        assert_eq!(fault.key.as_deref(), Some("lease.me"), "{fault}");
        assert!(
            fault.at.is_some() && fault.fault.contains("no voter"),
            "{fault}"
        );
    }
    let fault = member("").expect_err("no lease");
    assert_eq!(fault.key.as_deref(), Some("lease"), "{fault}");
}
