//! Something for a gateway to stand in front of: a primary, a replica and discovery, on this machine.
//!
//! The databases speak just enough of the protocol to answer statements and reports, and hold no data.
//! The tests of the gateway use them as well.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Starts everything at the addresses that `examples/config.json` names.
#[allow(dead_code)]
fn main() -> io::Result<()> {
    let members = std::fs::read_to_string("examples/config.json")?;
    let (from, to) = (members.find("{\"revision\""), members.find("]},"));
    let (Some(from), Some(to)) = (from, to) else {
        return Err(io::Error::other("examples/config.json holds no list"));
    };
    let list = members[from..to + 2].replace('\n', " ");
    for (address, role) in [
        ("127.0.0.1:5501", Role::Primary),
        ("127.0.0.1:5502", Role::Replica),
    ] {
        let listener = TcpListener::bind(address)?;
        thread::spawn(move || database(&listener, role, None, |_| None));
    }
    println!("databases on 127.0.0.1:5501 and :5502, discovery on 127.0.0.1:8500");
    discovery(&TcpListener::bind("127.0.0.1:8500")?, &list);
    Ok(())
}

/// What a toy database is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It turns writes away.
    Replica,
}

/// What to say instead of an answer to a statement, but for reports, before the connection is closed.
pub type Spoil = fn(&[u8]) -> Option<Vec<u8>>;

/// Serves as a database; each statement it gets, but for reports, is passed on to `seen` before its answer.
pub fn database(listener: &TcpListener, role: Role, seen: Option<SyncSender<Vec<u8>>>, spoil: Spoil) {
    for client in listener.incoming().flatten() {
        let seen = seen.clone();
        // A connection that breaks ends its thread; there is nothing to clean up.
        thread::spawn(move || session(client, role, seen, spoil));
    }
}

fn session(
    mut client: TcpStream,
    role: Role,
    seen: Option<SyncSender<Vec<u8>>>,
    spoil: Spoil,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    read_body(&mut client)?;
    client.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    loop {
        let mut tag = [0];
        client.read_exact(&mut tag)?;
        let body = read_body(&mut client)?;
        if tag[0] != b'Q' {
            return Ok(());
        }
        let statement = body.strip_suffix(&[0]).unwrap_or(&body);
        let reports = statement == b"SHOW usage";
        if let Some(seen) = seen.as_ref().filter(|_| !reports) {
            let _ = seen.send(statement.to_vec());
        }
        if let Some(instead) = spoil(statement).filter(|_| !reports) {
            return client.write_all(&instead);
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let primary = role == Role::Primary;
        let mut answer = if reports {
            row(format!("x0={},x1={},util=0.10", unix.as_secs_f64(), u8::from(primary)).as_bytes())
        } else if statement.starts_with(b"INSERT") && !primary {
            message(b'E', b"SERROR\0C25006\0Mthis is a replica\0\0")
        } else {
            row(b"\x9f\x03toy")
        };
        let (name, clock) = (if primary { "writer" } else { "reader" }, unix.as_millis());
        answer.extend(message(b'S', format!("server_role\0{name}\0").as_bytes()));
        answer.extend(message(b'S', format!("commit_clock\0{clock}\0").as_bytes()));
        answer.extend(message(b'Z', b"I"));
        client.write_all(&answer)?;
    }
}

/// Serves as discovery: answers every watch with the list, then with heartbeats.
pub fn discovery(listener: &TcpListener, list: &str) {
    for client in listener.incoming().flatten() {
        let line = format!("{list}\n");
        thread::spawn(move || watch(client, &line));
    }
}

fn watch(mut client: TcpStream, line: &str) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        client.read_exact(&mut byte)?;
        request.push(byte[0]);
    }
    write!(client, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())?;
    loop {
        thread::sleep(Duration::from_secs(2));
        client.write_all(b"1\r\n\n\r\n")?;
    }
}

fn read_body(from: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// A message with its tag and length.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// The answer of one row of one column.
pub fn row(value: &[u8]) -> Vec<u8> {
    let description = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [
        message(b'T', &description),
        message(b'D', &data),
        message(b'C', b"SELECT 1\0"),
    ]
    .concat()
}
