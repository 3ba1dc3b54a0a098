//! Takes discovery's HTTP answers apart into lists of members. No input or output.

use asterreel::config::EndpointList;
use asterreel::watch::Received;

/// The longest head of an answer, and the longest list, that are taken in: 3,200 databases take 0.9 MB indented.
const LONGEST_HEAD: usize = 16 * 1024;
pub(super) const LONGEST_LIST: usize = 2 << 20;

/// What is wrong with an answer.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Unread {
    #[error("status {0}")]
    Status(u16),
    #[error("head: {0}")]
    Head(httparse::Error),
    #[error("longer than {0} bytes")]
    TooLong(usize),
    #[error("bad chunk")]
    Chunk,
}

/// The length from which text that is no whole list yet is first decoded, to find nonsense. Ours.
const FIRST_LOOK: usize = 4 * 1024;

/// Reads an HTTP answer as it comes and takes its body apart into lists. No input or output.
#[derive(Default)]
pub(super) struct Reader {
    body: Body,
    /// Of the body, what is not decoded yet.
    text: Vec<u8>,
    /// The length from which it is looked at although no list has ended.
    look_again_at: usize,
    nesting: Nesting,
    /// How many bytes of the body were no white space.
    solid: u64,
    /// How many bytes were looked at to find lists, each as often as it was.
    decoded: u64,
}

#[derive(Clone, Copy, Default)]
enum Body {
    #[default]
    Head,
    /// Sent as it is, until the connection ends.
    Plain,
    ChunkSize,
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// All has come.
    Over,
}

impl Reader {
    /// The answer's head is whole.
    pub(super) fn has_begun(&self) -> bool {
        !matches!(self.body, Body::Head)
    }

    /// The answer has come to its end, though the connection may stay.
    pub(super) fn is_over(&self) -> bool {
        matches!(self.body, Body::Over)
    }

    /// How many bytes were decoded so far, each as often as it was.
    #[cfg(test)]
    pub(super) fn decoded(&self) -> u64 {
        self.decoded
    }

    /// What all that was taken in makes.
    pub(super) fn received(&self) -> Received {
        let within_list = self.text.iter().any(|byte| !byte.is_ascii_whitespace());
        Received {
            answered: self.has_begun(),
            within_list,
            solid: self.solid,
        }
    }

    /// Takes in bytes and says how many were used; the rest is to be offered again with more.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Result<usize, Unread> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.body {
                Body::Head => match head(rest)? {
                    Some((length, body)) => (self.body, used) = (body, used + length),
                    None => return Ok(used),
                },
                Body::Plain => {
                    self.keep(rest);
                    used = bytes.len();
                }
                Body::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((length, 0))) => {
                        (self.body, used) = (Body::Over, used + length);
                    }
                    Ok(httparse::Status::Complete((length, size))) => {
                        let size = usize::try_from(size).map_err(|_| Unread::Chunk)?;
                        (self.body, used) = (Body::Chunk(size), used + length);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < LONGEST_HEAD => return Ok(used),
                    _ => return Err(Unread::Chunk),
                },
                Body::Chunk(left) => {
                    let count = left.min(rest.len());
                    self.keep(&rest[..count]);
                    used += count;
                    self.body = if count == left {
                        Body::ChunkEnd
                    } else {
                        Body::Chunk(left - count)
                    };
                }
                Body::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (self.body, used) = (Body::ChunkSize, used + 2),
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(Unread::Chunk),
                },
                Body::Over => return Ok(bytes.len()),
            }
            // Fewer than 8 KiB are offered at once, so that this stops one list, not a crowd of whole ones.
            if self.text.len() > LONGEST_LIST {
                return Err(Unread::TooLong(LONGEST_LIST));
            }
            if used == bytes.len() {
                return Ok(used);
            }
        }
    }

    /// Keeps bytes of the body until they are decoded.
    fn keep(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
        bytes.iter().for_each(|byte| self.nesting.pass(*byte));
        self.solid += bytes
            .iter()
            .filter(|byte| !byte.is_ascii_whitespace())
            .count() as u64;
    }

    /// The next whole list, or what makes it none. Lists may be indented, so that lines say nothing; the empty
    /// lines between them are white space. Decodes where a list ends, and what has doubled since it was looked at,
    /// so that nonsense is found early and a long list costs what its length does.
    pub(super) fn listing(&mut self) -> Option<serde_json::Result<EndpointList>> {
        if !self.nesting.has_closed && self.text.len() < self.look_again_at {
            return None;
        }
        self.decoded += self.text.len() as u64;
        let mut lists =
            serde_json::Deserializer::from_slice(&self.text).into_iter::<EndpointList>();
        let next = lists.next();
        let used = lists.byte_offset();
        if next
            .as_ref()
            .is_none_or(|next| next.as_ref().is_err_and(serde_json::Error::is_eof))
        {
            self.look_again_at = 2 * self.text.len().max(FIRST_LOOK);
            self.nesting.has_closed = false;
            return None;
        }
        self.text.drain(..used);
        // A long list must not hold its room for the life of the watch.
        self.text.shrink_to(FIRST_LOOK);
        self.look_again_at = FIRST_LOOK;
        next
    }
}

/// How deep in a JSON value the bytes that came so far end, and whether one has closed; strings are passed over.
#[derive(Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// A bracket closed the outermost one, or one that never opened, since this was last cleared.
    has_closed: bool,
}

impl Nesting {
    fn pass(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                self.has_closed |= self.depth == 0;
            }
            _ => {}
        }
    }
}

/// The length of an answer's head and how its body comes, once the head is there as a whole.
fn head(bytes: &[u8]) -> Result<Option<(usize, Body)>, Unread> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes).map_err(Unread::Head)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() < LONGEST_HEAD => return Ok(None),
        httparse::Status::Partial => return Err(Unread::TooLong(LONGEST_HEAD)),
    };
    if response.code != Some(200) {
        return Err(Unread::Status(response.code.unwrap_or(0)));
    }
    let chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().ends_with(b"chunked")
    });
    Ok(Some((
        length,
        if chunked {
            Body::ChunkSize
        } else {
            Body::Plain
        },
    )))
}
