//! Cells on sockets: a real gateway whose tenants live in two groups of the testbench's databases.

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

const PATIENCE: Duration = Duration::from_secs(30);

fn home(cell: u16, epoch: u64) -> Home {
    Home {
        cell: CellId(cell),
        epoch: Epoch(epoch),
        held: false,
        settling: false,
    }
}

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
    let whole = Published {
        epoch: Epoch(epoch),
        cells,
        spread: 1,
        order: Order::Bytes,
        ranges: vec![],
        homes,
    };
    record::encode(&whole).expect("encodes")
}

struct Scene {
    fleet: Arc<Fleet>,
    gateway: Gateway,
    client: SocketAddr,
    placement: PathBuf,
    _folder: tempfile::TempDir,
}

impl Scene {
    fn start(extra: &str) -> Scene {
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
        let plan = Plan {
            extra: format!(
                "notify = False)\ncells(placement = '{shown}', who = ['user'], reread_ms = 50, {extra}"
            ),
            sockets: 512,
            ..plan
        };
        let gateway = Gateway::start(&plan).expect("started");
        let up = |line: &serde_json::Value| line["scope"] == "gateway" && line["state"] == "Up";
        assert!(
            gateway.logged(0, PATIENCE, up).is_some(),
            "it never came up: {:?}",
            gateway.log()
        );
        Scene {
            fleet,
            gateway,
            client: plan.client,
            placement,
            _folder: folder,
        }
    }

    fn publish(&self, bytes: &[u8]) {
        // As a publisher should: the old file or the new one, never half.
        let next = self.placement.with_extension("next");
        std::fs::write(&next, bytes).expect("written");
        std::fs::rename(&next, &self.placement).expect("renamed");
    }

    /// The groups that took the writes of these ids.
    fn groups(&self, prefix: &str) -> Vec<usize> {
        let taken = self.fleet.taken();
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
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        let mut client = Client(stream);
        let words = format!("user\0{user}\0database\0orders\0\0");
        let length = (words.len() as u32 + 8).to_be_bytes();
        client
            .0
            .write_all(&[&length[..], &[0, 3, 0, 0], words.as_bytes()].concat())
            .expect("sent");
        client.answer();
        client
    }

    /// The code of the error, or nothing for a row.
    fn answer(&mut self) -> Option<String> {
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

    fn ask(&mut self, id: &str, write: bool) -> Option<String> {
        let text = if write {
            format!("INSERT INTO entries (ref) VALUES ('{id}') /* id={id},c=booking,d=3000,cluster=0 */\0")
        } else {
            format!(
                "SELECT payload FROM entries WHERE ref = '{id}' /* id={id},c=search,d=1200,cluster=0 */\0"
            )
        };
        self.0
            .write_all(&message(b'Q', text.as_bytes()))
            .expect("sent");
        self.answer()
    }
}

#[test]
fn tenants_write_to_their_own_cell_also_over_a_connection_that_is_kept_across_a_move() {
    let scene = Scene::start("");
    let (mut a, mut b) = (
        Client::connect(scene.client, "a"),
        Client::connect(scene.client, "b"),
    );
    for round in 0..10 {
        assert_eq!(a.ask(&format!("a{round}"), true), None);
        assert_eq!(b.ask(&format!("b{round}"), true), None);
    }
    assert_eq!((scene.groups("a"), scene.groups("b")), (vec![0], vec![1]));
    // A comment that says otherwise is a client's word.
    assert_eq!(a.ask("a10,tenant=b", true), None);
    assert_eq!(scene.groups("a"), [0]);

    // Held: writes are refused, to come again; reads go on.
    let held = Home {
        held: true,
        ..home(0, 2)
    };
    scene.publish(&published(2, &[("a", held), ("b", home(1, 1))]));
    let began = Instant::now();
    while a.ask(&format!("h{}", began.elapsed().as_nanos()), true) != Some("53300".into()) {
        assert!(began.elapsed() < PATIENCE);
    }
    assert_eq!((a.ask("ar", false), b.ask("b11", true)), (None, None));
    // Moved, and what is cut short or older changes nothing.
    let moved = published(3, &[("a", home(1, 3)), ("b", home(1, 1))]);
    scene.publish(&moved);
    while a
        .ask(&format!("m{}", began.elapsed().as_nanos()), true)
        .is_some()
    {
        assert!(began.elapsed() < PATIENCE);
    }
    assert_eq!(scene.groups("m"), [1]);
    for (bytes, word) in [
        (&moved[..moved.len() / 2], "cut short"),
        (&published(1, &[("a", home(0, 1))]), "older"),
    ] {
        let from = scene.gateway.log().len();
        scene.publish(bytes);
        let warned = |line: &serde_json::Value| {
            line["message"]
                .as_str()
                .is_some_and(|text| text.contains(word))
        };
        assert!(
            scene.gateway.logged(from, PATIENCE, warned).is_some(),
            "{word}"
        );
        assert_eq!(a.ask(&format!("n{word}"), true), None);
    }
    assert_eq!(scene.groups("n"), [1]);
}

#[test]
fn a_cell_that_loses_all_its_members_fails_its_own_promptly_and_spills_nowhere() {
    let scene = Scene::start("");
    let (mut a, mut b) = (
        Client::connect(scene.client, "a"),
        Client::connect(scene.client, "b"),
    );
    assert_eq!((a.ask("a0", true), b.ask("b0", true)), (None, None));
    for member in 0..3 {
        scene.fleet.crash(member);
    }
    // Until the decision module has given up on all three, requests may wait within their deadlines.
    let began = Instant::now();
    loop {
        let asked = Instant::now();
        let code = a.ask(&format!("l{}", began.elapsed().as_nanos()), false);
        assert!(
            code.is_some() && asked.elapsed() < Duration::from_secs(4),
            "never after its deadline"
        );
        if asked.elapsed() < Duration::from_millis(100) {
            break;
        }
        assert!(began.elapsed() < PATIENCE);
    }
    let mut took = Vec::new();
    for number in 0..20 {
        let asked = Instant::now();
        assert_eq!(
            a.ask(&format!("l{number}"), number % 2 == 0).as_deref(),
            Some("53300")
        );
        took.push(asked.elapsed());
        assert_eq!(b.ask(&format!("b{}", number + 1), true), None);
    }
    took.sort_unstable();
    assert!(took[10] < Duration::from_millis(100), "{took:?}");
    assert_eq!((scene.groups("l"), scene.groups("b")), (vec![], vec![1]));
    // One of them back: the cell serves again.
    scene.fleet.restart(1);
    let began = Instant::now();
    while a
        .ask(&format!("r{}", began.elapsed().as_nanos()), false)
        .is_some()
    {
        assert!(began.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn who_is_nobody_is_told_so_and_a_cell_at_its_bounds_refuses_its_own_only() {
    let scene = Scene::start("bounds = {'one': bounds(bytes = 40)},");
    let (mut a, mut b) = (
        Client::connect(scene.client, "a"),
        Client::connect(scene.client, "b"),
    );
    assert_eq!(
        (a.ask("a0", false).as_deref(), b.ask("b0", false)),
        (Some("53300"), None)
    );
    let mut nobody = Client::connect(scene.client, "no name");
    assert_eq!(nobody.ask("x0", false).as_deref(), Some("28000"));
}

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
fn placements_are_checked_published_whole_and_only_forward_and_looked_up() {
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
    assert_eq!(left, 2, "nothing half is left behind");
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
