//! Cells on sockets: a gateway's process whose tenants are placed in two cells, each a group of the testbench's databases.

use asterreel::cells::placement::{Cell, Home, Order, Published};
use asterreel::cells::{record, CellId, Epoch};
use asterreel_testbench::database::{message, read_body};
use asterreel_testbench::fleet::{Fleet, Shape};
use asterreel_testbench::gateway::{Gateway, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long anything is waited for: far longer than it takes on a slow machine.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A tenant's home in this cell, with this epoch.
fn home(cell: u16, epoch: u64) -> Home {
    Home {
        cell: CellId(cell),
        epoch: Epoch(epoch),
        held: false,
        settling: false,
    }
}

/// A placement in which cells one and two hold groups 0 and 1, as it is published.
fn published(epoch: u64, homes: &[(&str, Home)]) -> Vec<u8> {
    let cell = |name: &str, group| Cell {
        name: name.into(),
        groups: vec![group],
    };
    let homes = homes
        .iter()
        .map(|(name, home)| ((*name).to_owned(), *home))
        .collect();
    let cells = vec![cell("one", 0), cell("two", 1)];
    let placement = Published {
        epoch: Epoch(epoch),
        cells,
        spread: 1,
        order: Order::Bytes,
        ranges: vec![],
        homes,
    };
    record::encode(&placement).expect("encoded")
}

/// A gateway with cells in front of two groups.
struct Setup {
    fleet: Arc<Fleet>,
    gateway: Gateway,
    client: SocketAddr,
    placement: PathBuf,
    _folder: tempfile::TempDir,
}

impl Setup {
    /// Starts it, with `extra` among the arguments of `cells(...)`.
    fn start(extra: &str) -> Setup {
        let fleet = Fleet::start(Shape {
            groups: 2,
            ..Shape::default()
        })
        .expect("a fleet");
        let folder = tempfile::tempdir().expect("a folder");
        let placement = folder.path().join("placement");
        std::fs::write(
            &placement,
            published(1, &[("a", home(0, 1)), ("b", home(1, 1))]),
        )
        .expect("written");
        let shown = placement.display();
        let plan =
            Plan::beside(&fleet, 0, env!("CARGO_BIN_EXE_asterreel").into()).expect("free ports");
        let mut plan = Plan {
            extra: format!(
                "notify = False)\ncells(placement = '{shown}', who = ['user'], reread_ms = 50, {extra}"
            ),
            sockets: 512,
            ..plan
        };
        // Long enough that writes do not reach their deadline on a slow machine.
        plan.settings["Profiles"][1]["DeadlineUs"] = 20_000_000.into();
        let gateway = Gateway::start(&plan).expect("started");
        let up = |line: &serde_json::Value| line["scope"] == "gateway" && line["state"] == "Up";
        assert!(
            gateway.logged(0, WAIT_LIMIT, up).is_some(),
            "the gateway did not get ready: {:?}",
            gateway.log()
        );
        Setup {
            fleet,
            gateway,
            client: plan.client,
            placement,
            _folder: folder,
        }
    }

    fn publish(&self, bytes: &[u8]) {
        // Replaces the file atomically, as `asterreel cells publish` does.
        let next = self.placement.with_extension("next");
        std::fs::write(&next, bytes).expect("written");
        std::fs::rename(&next, &self.placement).expect("renamed");
    }

    /// The groups whose databases received requests with this prefix of their ids, without repeats in a row.
    fn groups(&self, prefix: &str) -> Vec<usize> {
        let taken = self.fleet.executed_writes();
        let mut groups: Vec<usize> = taken
            .iter()
            .filter(|taken| taken.id.starts_with(prefix))
            .map(|taken| taken.member / 3)
            .collect();
        groups.dedup();
        groups
    }
}

struct Client(TcpStream);

impl Client {
    fn connect(address: SocketAddr, user: &str) -> Client {
        let stream = TcpStream::connect(address).expect("connected");
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("set");
        let mut client = Client(stream);
        let parameters = format!("user\0{user}\0database\0orders\0\0");
        let length = (parameters.len() as u32 + 8).to_be_bytes();
        client
            .0
            .write_all(&[&length[..], &[0, 3, 0, 0], parameters.as_bytes()].concat())
            .expect("sent");
        client.read_answer();
        client
    }

    /// Reads messages up to ReadyForQuery; returns the SQLSTATE of an error, or `None` if there was none.
    fn read_answer(&mut self) -> Option<String> {
        let mut code = None;
        loop {
            let mut tag = [0];
            self.0.read_exact(&mut tag).expect("an answer");
            let body = read_body(&mut self.0).expect("whole");
            match tag[0] {
                b'E' => {
                    let mut fields = body.split(|byte| *byte == 0);
                    let field = fields
                        .find(|field| field.starts_with(b"C"))
                        .expect("a code");
                    code = Some(String::from_utf8_lossy(&field[1..]).into_owned());
                }
                b'Z' => return code,
                _ => {}
            }
        }
    }

    /// Sends a read or a write with this id; returns the SQLSTATE of an error, or `None` if it was served.
    fn request(&mut self, id: &str, write: bool) -> Option<String> {
        let text = if write {
            format!("INSERT INTO entries (ref) VALUES ('{id}') /* id={id},c=booking,d=20000,cluster=0 */\0")
        } else {
            format!(
                "SELECT payload FROM entries WHERE ref = '{id}' /* id={id},c=search,d=1200,cluster=0 */\0"
            )
        };
        self.0
            .write_all(&message(b'Q', text.as_bytes()))
            .expect("sent");
        self.read_answer()
    }
}

#[test]
fn tenants_write_to_their_own_cell_also_after_a_move() {
    let setup = Setup::start("");
    let (mut a, mut b) = (
        Client::connect(setup.client, "a"),
        Client::connect(setup.client, "b"),
    );
    for round in 0..10 {
        assert_eq!(a.request(&format!("a{round}"), true), None);
        assert_eq!(b.request(&format!("b{round}"), true), None);
    }
    assert_eq!((setup.groups("a"), setup.groups("b")), (vec![0], vec![1]));
    // A tenant in a comment is not trusted: only `user` is a source here.
    assert_eq!(a.request("a10,tenant=b", true), None);
    assert_eq!(setup.groups("a"), [0]);

    // Held: writes are rejected with a code that lets clients retry, and reads are served.
    let held = Home {
        held: true,
        ..home(0, 2)
    };
    setup.publish(&published(2, &[("a", held), ("b", home(1, 1))]));
    let began = Instant::now();
    while a.request(&format!("h{}", began.elapsed().as_nanos()), true) != Some("53300".into()) {
        assert!(began.elapsed() < WAIT_LIMIT);
    }
    assert_eq!(
        (a.request("ar", false), b.request("b11", true)),
        (None, None)
    );
    // Moved: the kept connection writes to the new cell. A truncated or older placement changes nothing then.
    let moved = published(3, &[("a", home(1, 3)), ("b", home(1, 1))]);
    setup.publish(&moved);
    while a
        .request(&format!("m{}", began.elapsed().as_nanos()), true)
        .is_some()
    {
        assert!(began.elapsed() < WAIT_LIMIT);
    }
    assert_eq!(setup.groups("m"), [1]);
    for (bytes, reason) in [
        (&moved[..moved.len() / 2], "cut short"),
        (&published(1, &[("a", home(0, 1))]), "older"),
    ] {
        let from = setup.gateway.log().len();
        setup.publish(bytes);
        let warned = |line: &serde_json::Value| {
            line["message"]
                .as_str()
                .is_some_and(|text| text.contains(reason))
        };
        assert!(
            setup.gateway.logged(from, WAIT_LIMIT, warned).is_some(),
            "{reason}"
        );
        assert_eq!(a.request(&format!("n{reason}"), true), None);
    }
    assert_eq!(setup.groups("n"), [1]);
}

/// Starts a write of tenant `a` while no group has a primary; returns once it was rejected by a replica and is queued, with its
/// answer to come.
fn queue_write(setup: &Setup, id: &'static str) -> std::thread::JoinHandle<Option<String>> {
    setup.fleet.elect_all(&[]);
    let mut client = Client::connect(setup.client, "a");
    let answer = std::thread::spawn(move || client.request(id, true));
    let began = Instant::now();
    while !setup.fleet.has_misrouted_write(id) {
        assert!(began.elapsed() < WAIT_LIMIT);
        std::thread::sleep(Duration::from_millis(5));
    }
    answer
}

/// Publishes a placement and waits until the gateway applies it.
fn publish_and_wait(setup: &Setup, placement: &[u8]) {
    let from = setup.gateway.log().len();
    setup.publish(placement);
    let applied = |line: &serde_json::Value| line["message"] == "placement applied";
    assert!(setup.gateway.logged(from, WAIT_LIMIT, applied).is_some());
}

/// A write that waited in the queue while its tenant was moved was sent to the cell that the tenant had left, and the tenant's
/// reads did not find it.
#[test]
fn queued_write_follows_its_tenant_to_the_new_cell() {
    let setup = Setup::start("");
    let answer = queue_write(&setup, "q0");
    publish_and_wait(
        &setup,
        &published(2, &[("a", home(1, 2)), ("b", home(1, 1))]),
    );
    setup.fleet.elect_all(&[0, 3]);
    assert_eq!(answer.join().expect("answered"), None);
    assert_eq!(setup.groups("q"), [1]);
}

/// A write that waited in the queue was sent while its tenant was held for a move.
#[test]
fn queued_write_of_a_held_tenant_is_rejected_untouched() {
    let setup = Setup::start("");
    let answer = queue_write(&setup, "q0");
    let held = Home {
        held: true,
        ..home(0, 2)
    };
    publish_and_wait(&setup, &published(2, &[("a", held), ("b", home(1, 1))]));
    setup.fleet.elect_all(&[0, 3]);
    assert_eq!(answer.join().expect("answered").as_deref(), Some("53300"));
    assert_eq!(setup.groups("q"), Vec::<usize>::new());
}

#[test]
fn cell_without_members_rejects_promptly_and_uses_no_other() {
    let setup = Setup::start("");
    let (mut a, mut b) = (
        Client::connect(setup.client, "a"),
        Client::connect(setup.client, "b"),
    );
    assert_eq!((a.request("a0", true), b.request("b0", true)), (None, None));
    for member in 0..3 {
        setup.fleet.crash(member);
    }
    // Until the router has marked all three as failed, requests may wait, but not beyond their deadlines.
    let began = Instant::now();
    loop {
        let sent_at = Instant::now();
        let code = a.request(&format!("l{}", began.elapsed().as_nanos()), false);
        assert!(
            code.is_some() && sent_at.elapsed() < Duration::from_secs(4),
            "answered with an error before the deadline"
        );
        if sent_at.elapsed() < Duration::from_millis(100) {
            break;
        }
        assert!(began.elapsed() < WAIT_LIMIT);
    }
    let mut took = Vec::new();
    for number in 0..20 {
        let sent_at = Instant::now();
        assert_eq!(
            a.request(&format!("l{number}"), number % 2 == 0).as_deref(),
            Some("53300")
        );
        took.push(sent_at.elapsed());
        assert_eq!(b.request(&format!("b{}", number + 1), true), None);
    }
    took.sort_unstable();
    assert!(took[10] < Duration::from_millis(100), "{took:?}");
    assert_eq!((setup.groups("l"), setup.groups("b")), (vec![], vec![1]));
    // With one member back the cell serves again.
    setup.fleet.restart(1);
    let began = Instant::now();
    while a
        .request(&format!("r{}", began.elapsed().as_nanos()), false)
        .is_some()
    {
        assert!(began.elapsed() < WAIT_LIMIT);
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn unknown_tenants_and_cells_at_their_bounds_are_rejected() {
    let setup = Setup::start("bounds = {'one': bounds(bytes = 40)},");
    let (mut a, mut b) = (
        Client::connect(setup.client, "a"),
        Client::connect(setup.client, "b"),
    );
    assert_eq!(
        (a.request("a0", false).as_deref(), b.request("b0", false)),
        (Some("53300"), None)
    );
    let mut unknown = Client::connect(setup.client, "no name");
    assert_eq!(unknown.request("x0", false).as_deref(), Some("28000"));
}

/// Runs the program; returns its exit code, and its output with its errors.
fn asterreel(arguments: &[&str]) -> (Option<i32>, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_asterreel"))
        .args(arguments)
        .output();
    let output = output.expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn placements_are_checked_published_and_looked_up() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name).display().to_string();
    let (source, target) = (path("source.json"), path("placement"));
    let example = include_str!("../examples/placement.json");
    std::fs::write(&source, example).expect("written");
    let (code, text) = asterreel(&["cells", "plan", &source]);
    assert!(
        code == Some(0) && text.contains("cell alpine: groups [0]"),
        "{text}"
    );
    assert_eq!(
        asterreel(&["cells", "publish", &source, &target]).0,
        Some(0)
    );
    let (code, text) = asterreel(&["cells", "where", &target, "web"]);
    assert!(
        code == Some(0) && text.contains("web: cell alpine, groups 0, epoch 1"),
        "{text}"
    );
    let (code, text) = asterreel(&["cells", "publish", &source, &target]);
    assert!(
        code == Some(1) && text.contains("epoch 1 does not follow 1"),
        "{text}"
    );
    std::fs::write(&source, example.replace("\"epoch\": 1,", "\"epoch\": 2,")).expect("written");
    assert_eq!(
        asterreel(&["cells", "publish", &source, &target]).0,
        Some(0)
    );
    let left = std::fs::read_dir(folder.path()).expect("read").count();
    assert_eq!(left, 2, "no temporary file is left behind");
    std::fs::write(&source, example.replace("\"spread\": 1", "\"spread\": 2")).expect("written");
    let (code, text) = asterreel(&["cells", "plan", &source]);
    assert!(
        code == Some(1) && text.contains("cells[0]") && text.contains("spread is 2"),
        "{text}"
    );
    std::fs::write(&source, example.replace("\"order\"", "\"ordr\"")).expect("written");
    let (code, text) = asterreel(&["cells", "plan", &source]);
    assert!(code == Some(1) && text.contains("order"), "{text}");
}
