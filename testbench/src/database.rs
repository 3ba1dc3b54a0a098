//! A database on a socket, as far as a gateway sees one, and discovery: the parts of all stand-ins.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

/// What a stand-in is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It turns writes away.
    Replica,
}

/// What a stand-in does about a statement.
pub enum Reply {
    /// Answers, and waits for the next.
    Answer(Vec<u8>),
    /// Writes this and closes the connection.
    Last(Vec<u8>),
}

/// Serves connections, a thread each; `reply` sees every statement.
pub fn serve(listener: &TcpListener, reply: impl Fn(&[u8]) -> Reply + Clone + Send + 'static) {
    for client in listener.incoming().flatten() {
        let reply = reply.clone();
        // A connection that breaks ends its thread; there is nothing to clean up.
        thread::spawn(move || session(client, reply));
    }
}

/// One connection: its opening, then statements until it ends.
///
/// # Errors
///
/// The connection failed or ended within a message.
pub fn session(mut client: TcpStream, reply: impl Fn(&[u8]) -> Reply) -> io::Result<()> {
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
        match reply(body.strip_suffix(&[0]).unwrap_or(&body)) {
            Reply::Answer(bytes) => client.write_all(&bytes)?,
            Reply::Last(bytes) => return client.write_all(&bytes),
        }
    }
}

/// The end of an answer: what the database says of itself, and that it is ready.
pub fn note(role: Role, position_ms: u64) -> Vec<u8> {
    let name = if role == Role::Primary {
        "writer"
    } else {
        "reader"
    };
    [
        message(b'S', format!("server_role\0{name}\0").as_bytes()),
        message(b'S', format!("commit_clock\0{position_ms}\0").as_bytes()),
        message(b'Z', b"I"),
    ]
    .concat()
}

/// A load report, as the answer to `SHOW usage`.
pub fn report(role: Role, position_ms: u64, util: f64) -> Vec<u8> {
    let primary = u8::from(role == Role::Primary);
    row(format!(
        "x0={:.3},x1={primary},util={util:.2}",
        position_ms as f64 / 1e3
    )
    .as_bytes())
}

/// An error with a code.
pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// What to say instead of an answer to a statement, but for reports, before the connection is closed.
pub type Spoil = fn(&[u8]) -> Option<Vec<u8>>;

/// A database that answers at once; each statement, but for reports, is passed on to `seen` before its answer.
pub fn toy(listener: &TcpListener, role: Role, seen: Option<SyncSender<Vec<u8>>>, spoil: Spoil) {
    serve(listener, move |statement| {
        let position = crate::now() / 1000;
        if statement == b"SHOW usage" {
            return Reply::Answer([report(role, position, 0.1), note(role, position)].concat());
        }
        if let Some(seen) = &seen {
            let _ = seen.send(statement.to_vec());
        }
        if let Some(instead) = spoil(statement) {
            return Reply::Last(instead);
        }
        let answer = if statement.starts_with(b"INSERT") && role == Role::Replica {
            error("25006", "this is a replica")
        } else {
            row(b"\x9f\x03toy")
        };
        Reply::Answer([answer, note(role, position)].concat())
    });
}

/// Serves as discovery: answers every watch with the list, then with heartbeats.
pub fn discovery(listener: &TcpListener, list: &str) {
    for client in listener.incoming().flatten() {
        let line = format!("{list}\n");
        thread::spawn(move || -> io::Result<()> {
            let mut watch = Watch::begin(client)?;
            watch.tell(&line)?;
            loop {
                thread::sleep(Duration::from_secs(2));
                watch.tell("\n")?;
            }
        });
    }
}

/// A watch that a gateway keeps on discovery.
pub struct Watch(TcpStream);

impl Watch {
    /// Reads the call and begins the answer.
    ///
    /// # Errors
    ///
    /// The connection failed before the call was whole or the answer begun.
    pub fn begin(mut client: TcpStream) -> io::Result<Watch> {
        client.set_nodelay(true)?;
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            client.read_exact(&mut byte)?;
            request.push(byte[0]);
        }
        client.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        Ok(Watch(client))
    }

    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn tell(&mut self, text: &str) -> io::Result<()> {
        self.0
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }
}

/// Reads a message's length and body.
///
/// # Errors
///
/// The connection failed or ended before the message did.
pub fn read_body(from: &mut TcpStream) -> io::Result<Vec<u8>> {
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
