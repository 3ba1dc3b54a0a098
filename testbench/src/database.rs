//! The parts of a simulated database server and of a discovery service that a gateway uses.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

/// The role of a simulated database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Rejects writes.
    Replica,
}

/// The reaction of a simulated database to a statement.
pub enum Reply {
    /// Writes these messages and waits for the next statement.
    Answer(Vec<u8>),
    /// Writes these messages and closes the connection.
    Last(Vec<u8>),
}

/// Serves each connection on its own thread; `reply` is called for every statement.
pub fn serve(listener: &TcpListener, reply: impl Fn(&[u8]) -> Reply + Clone + Send + 'static) {
    for client in listener.incoming().flatten() {
        let reply = reply.clone();
        // The error of a failed connection needs no handling: the connection is closed when its thread ends.
        thread::spawn(move || session(client, reply));
    }
}

/// Serves one connection: the startup, then simple queries until the client sends another message or disconnects.
///
/// # Errors
///
/// The connection failed, or was closed without a terminate message.
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

/// The end of an answer: the database's role and position as ParameterStatus messages, and ReadyForQuery.
pub fn answer_end(role: Role, position_ms: u64) -> Vec<u8> {
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

/// A load report: the result of `SHOW usage`, without ReadyForQuery. `util` is 0 to 1.
pub fn report(role: Role, position_ms: u64, util: f64) -> Vec<u8> {
    let primary = u8::from(role == Role::Primary);
    row(format!(
        "x0={:.3},x1={primary},util={util:.2}",
        position_ms as f64 / 1e3
    )
    .as_bytes())
}

/// An ErrorResponse with an SQLSTATE code.
pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// Optional bytes to write in place of the answer to a statement, after which the connection is closed; not called for
/// load reports.
pub type AnswerOverride = fn(&[u8]) -> Option<Vec<u8>>;

/// Runs a database that answers without delay; each statement except load reports is sent to `seen` before the answer.
pub fn serve_without_delay(
    listener: &TcpListener,
    role: Role,
    seen: Option<SyncSender<Vec<u8>>>,
    answer_override: AnswerOverride,
) {
    serve(listener, move |statement| {
        let position = crate::now() / 1000;
        if statement == b"SHOW usage" {
            return Reply::Answer(
                [report(role, position, 0.1), answer_end(role, position)].concat(),
            );
        }
        if let Some(seen) = &seen {
            let _ = seen.send(statement.to_vec());
        }
        if let Some(instead) = answer_override(statement) {
            return Reply::Last(instead);
        }
        let answer = if statement.starts_with(b"INSERT") && role == Role::Replica {
            error("25006", "this is a replica")
        } else {
            row(b"\x9f\x03toy")
        };
        Reply::Answer([answer, answer_end(role, position)].concat())
    });
}

/// Runs a discovery service that sends the member list to every watch, then heartbeats.
pub fn discovery(listener: &TcpListener, list: &str) {
    for client in listener.incoming().flatten() {
        let line = format!("{list}\n");
        thread::spawn(move || -> io::Result<()> {
            let mut watch = Watch::begin(client)?;
            watch.send(&line)?;
            loop {
                thread::sleep(Duration::from_secs(2));
                watch.send("\n")?;
            }
        });
    }
}

/// The server side of a gateway's discovery watch.
pub struct Watch(TcpStream);

impl Watch {
    /// Reads the HTTP request and sends the head of a chunked response.
    ///
    /// # Errors
    ///
    /// The connection failed before the whole request was read or the response head was written.
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

    /// Sends a chunk of the response.
    ///
    /// # Errors
    ///
    /// Writing to the connection failed.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.0
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }
}

/// Reads a PostgreSQL message's length and body; the tag has been read.
///
/// # Errors
///
/// The connection failed or was closed before the end of the message.
pub fn read_body(from: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Encodes a PostgreSQL message: tag, length, body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// A result with one row of one column: RowDescription, DataRow and CommandComplete.
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
