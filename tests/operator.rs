//! The operator's file: what valid files set, and the errors of invalid ones.

use asterreel::config::Config;
use asterreel::operator::{self, Evaluated, Operator, OperatorFileError};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Three control members (voters), and a gateway that they serve.
const FLEET: &str = "peers = [peer(id = 1, address = '127.0.0.1:7101'), peer(id = 2, address = '127.0.0.1:7102'), \
                     peer(id = 3, address = '127.0.0.1:7103'), peer(id = 4, address = '127.0.0.1:7104', voter = False)]";

fn evaluate(path: &Path) -> Result<Evaluated, OperatorFileError> {
    let evaluator = Path::new(env!("CARGO_BIN_EXE_asterreel-config-eval"));
    operator::evaluate(evaluator, path, Duration::from_secs(20))
}

fn example_config() -> Config {
    Config::parse(include_bytes!("../examples/config.json"), |_| None).expect("good")
}

/// An operator's file in a folder of its own.
struct OperatorFile {
    folder: TempDir,
    path: PathBuf,
}

impl OperatorFile {
    fn new(text: &str) -> OperatorFile {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("operator.star");
        let file = OperatorFile { folder, path };
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.path, text).expect("written");
    }

    /// A path below the file's folder.
    fn below_folder(&self, path: &str) -> PathBuf {
        self.folder.path().join(path)
    }

    fn evaluate(&self) -> Result<Evaluated, OperatorFileError> {
        evaluate(&self.path)
    }

    /// What the file sets; panics if it is invalid by itself.
    fn operator(&self) -> Operator {
        self.evaluate()
            .unwrap_or_else(|error| panic!("{error}"))
            .operator
    }
}

/// The error of a file, checked against the example's configuration.
fn error_of(text: &str) -> OperatorFileError {
    let evaluated = OperatorFile::new(text).evaluate();
    let checked = evaluated.and_then(|evaluated| evaluated.check_with_config(&example_config()));
    checked.expect_err(text)
}

/// Asserts that each file is rejected with an error of this key.
fn assert_errors_name_keys(cases: impl IntoIterator<Item = (String, &'static str)>) {
    for (text, key) in cases {
        let error = error_of(&text);
        assert_eq!(error.key.as_deref(), Some(key), "{error}");
    }
}

#[test]
fn example_and_deployed_file_are_valid() {
    let config = example_config();
    let example = evaluate(Path::new("examples/operator.star")).expect("good");
    let health = example.operator.health.as_ref().expect("set");
    let listeners: Vec<_> = health
        .listeners()
        .iter()
        .map(|(_, address)| address.port())
        .collect();
    assert_eq!(listeners, [6460, 6461, 6462]);
    let table = example
        .check_with_config(&config)
        .expect("fits")
        .expect("health is on");
    assert_eq!((table.announce, table.answer_until), (900_000, 3_600_000));
    let deployed = evaluate(Path::new("deploy/linz-rides.star")).expect("good");
    assert_eq!(deployed.operator.health, None);
    assert_eq!(deployed.check_with_config(&config), Ok(None));
}

#[test]
fn health_errors_name_key_line_and_column() {
    // The arguments after `health(\n`, the key that the error names, and its line and column.
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
        let error = error_of(&format!("health(\n{text}\n)\n"));
        assert_eq!(
            (error.key.as_deref(), error.at),
            (Some(*key), Some(*at)),
            "{error}"
        );
        assert!(
            error.to_string().contains(key) && error.file.ends_with("operator.star"),
            "{error}"
        );
    }
}

#[test]
fn cells_errors_name_their_key() {
    let good = "cells(placement = 'p', who = ['user', {'network': [['10.0.0.0/8', 'x']]}], bounds = {'one': bounds(requests = 9)})\n";
    let file = OperatorFile::new(good);
    let cells = file.operator().cells.expect("set");
    assert_eq!(cells.placement, file.below_folder("p"));
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
    assert_errors_name_keys(cases.map(|(text, key)| (text.to_owned(), key)));
}

#[test]
fn invalid_or_unbounded_scripts_are_stopped() {
    let deep = format!("x = {}1{}\n", "(".repeat(5000), ")".repeat(5000));
    let long = format!("x = 1{}\n", " + 1".repeat(16_000));
    let minus = format!("x = {}1\n", "-".repeat(60_000));
    let calls = format!("x = f{}\n", "()".repeat(30_000));
    let elifs = format!(
        "def f(n):\n if n:\n  pass\n{}",
        " elif n:\n  pass\n".repeat(3_000)
    );
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
        let error = error_of(text);
        let shown = error.to_string().to_lowercase();
        assert!(
            shown.contains(&wanted.to_lowercase()),
            "{wanted:?} is not in {shown:.300}"
        );
        assert!(
            line.is_none() || error.at.map(|at| at.0) == *line,
            "{shown:.300}"
        );
    }
}

/// Expressions almost as deep as allowed do not overflow the stack, whether they nest to the left or to the right.
#[test]
fn deepest_allowed_expressions_are_evaluated() {
    let within = |open: &str, close: &str, count| {
        format!(
            "def f(x):\n return {}x{}\n",
            open.repeat(count),
            close.repeat(count)
        )
    };
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
    let file = OperatorFile::new("");
    for text in deepest {
        file.write(&text);
        file.evaluate()
            .unwrap_or_else(|error| panic!("{error}: {text:.60}"));
    }
}

/// Files below the folder may be loaded, errors in them have their location, and a symbolic link that leads out of the
/// folder is rejected.
#[test]
fn loaded_files_stay_below_the_folder() {
    let file = OperatorFile::new("load('parts/http.star', 'front')\nhealth(http = front(6461))\n");
    std::fs::create_dir(file.below_folder("parts")).expect("made");
    let part = file.below_folder("parts/http.star");
    std::fs::write(
        &part,
        "def front(port):\n    return listener(listen = '127.0.0.1:%d' % port)\n",
    )
    .expect("written");
    let health = file.operator().health.expect("set");
    assert_eq!(health.http.expect("set").listen.port(), 6461);
    std::fs::write(
        &part,
        "\ndef front(port):\n    return listener(listen = port)\n",
    )
    .expect("written");
    let error = file.evaluate().expect_err("a number is not an address");
    assert!(error.file.ends_with("parts/http.star"), "{error}");
    assert_eq!(
        (error.key.as_deref(), error.at),
        (Some("listener.listen"), Some((3, 21)))
    );
    let elsewhere = tempfile::NamedTempFile::new().expect("a file");
    std::os::unix::fs::symlink(elsewhere.path(), file.below_folder("out.star")).expect("linked");
    file.write("load('out.star', 'x')\n");
    assert!(file
        .evaluate()
        .expect_err("a link that leads out")
        .to_string()
        .contains("out of the folder"));
}

/// A missing evaluator, or one that exits without a reply, is an error of the file.
#[test]
fn missing_evaluator_is_an_error_of_the_file() {
    let file = OperatorFile::new("");
    let error_with = |program: &Path| {
        operator::evaluate(program, &file.path, Duration::from_secs(1)).expect_err("no reply")
    };
    assert!(error_with(&file.below_folder("nothing"))
        .fault
        .contains("nothing"));
    assert!(error_with(Path::new("/bin/true"))
        .fault
        .contains("broke off"));
}

#[test]
fn lease_errors_name_their_key() {
    let good =
        format!("lease(me = 2, listen = '127.0.0.1:7102', store = 'log', duties = ['discovery'], {FLEET})\n");
    let file = OperatorFile::new(&good);
    let lease = file.operator().lease.expect("set");
    assert_eq!(
        (lease.me, lease.store.clone(), lease.lease_ms),
        (2, file.below_folder("log"), 3_000)
    );
    // The others wait for the length of the lease plus its drift and the margin.
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
                "duties = ['discovery'], lease_ms = 1000, renew_ms = 1000, {FLEET}"
            )),
            "lease.lease_ms",
        ),
        (
            with(&format!(
                "duties = ['discovery'], lease_ms = 1040, margin_ms = 50, {FLEET}"
            )),
            "lease.lease_ms",
        ),
        (
            with(&format!(
                "duties = ['discovery'], drift_ppm = 100000, {FLEET}"
            )),
            "lease.drift_ppm",
        ),
        (
            with(&format!("duties = ['discovery'], renew_ms = 0, {FLEET}")),
            "lease.renew_ms",
        ),
        (with(&format!("duties = [], {FLEET}")), "lease.duties"),
        (
            with(&format!("duties = ['discover'], {FLEET}")),
            "lease.duties[0]",
        ),
        (
            with(&format!("duties = ['probes', 'probes'], {FLEET}")),
            "lease.duties[1]",
        ),
        (
            with(&format!("duties = ['probes'], allow = [], {FLEET}")),
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
    assert_errors_name_keys(cases);
    // The address on which clients connect can't also be that of the control plane.
    let clients = good.replace("7102", "6433");
    let error = error_of(&clients);
    assert_eq!(error.key.as_deref(), Some("lease.listen"), "{error}");
}

fn lease(text: &str) -> asterreel::operator::ControlSettings {
    OperatorFile::new(text).operator().lease.expect("set")
}

#[test]
fn client_needs_no_listener_store_or_duties() {
    let client = lease(&format!("lease(me = 17, client = True, {FLEET})\n"));
    assert!(!client.is_voter() && client.client, "{client:?}");
    assert_eq!(
        (
            client.listen,
            client.store.as_os_str().is_empty(),
            client.duties.len()
        ),
        (None, true, 0)
    );
    // A listed peer without a vote may set `client`; files of the previous version, without it, mean the same.
    assert!(!lease(&format!("lease(me = 4, client = True, {FLEET})\n")).is_voter());
    let previous_version = "listen = '127.0.0.1:7104', store = 'log', duties = ['probes']";
    assert!(!lease(&format!("lease(me = 4, {previous_version}, {FLEET})\n")).is_voter());
    let member = previous_version.replace("7104", "7101");
    assert!(lease(&format!(
        "lease(me = 1, {member}, client = False, {FLEET})\n"
    ))
    .is_voter());
}

#[test]
fn control_client_errors_name_their_key() {
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
        // A gateway listed in peers still needs listen, store and duties.
        (
            member.replace("listen = '127.0.0.1:7101', ", ""),
            "lease.listen",
        ),
        (member.replace("store = 'log', ", ""), "lease.store"),
        (member.replace("duties = ['probes'], ", ""), "lease.duties"),
    ];
    assert_errors_name_keys(cases);
}

#[test]
fn control_member_file_must_make_a_voter() {
    let member = |text: &str| {
        let evaluated = OperatorFile::new(text).evaluate();
        evaluated.and_then(|evaluated| evaluated.control_member_settings().cloned())
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
        let error = member(text).expect_err(text);
        assert_eq!(error.key.as_deref(), Some("lease.me"), "{error}");
        assert!(
            error.at.is_some() && error.fault.contains("no voter"),
            "{error}"
        );
    }
    let error = member("").expect_err("no lease");
    assert_eq!(error.key.as_deref(), Some("lease"), "{error}");
}
