//! Takes discovery's HTTP answers apart into lists of members. No input or output.

use asterreel::config::Listing;
use asterreel::watch::Received;

/// The longest head of an answer, and the longest list, that are taken in.
const LONGEST_HEAD: usize = 16 * 1024;
pub const LONGEST_LIST: usize = 1 << 20;

/// What is wrong with an answer.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unread {
    #[error("status {0}")]
    Status(u16),
    #[error("head: {0}")]
    Head(httparse::Error),
    #[error("longer than {0} bytes")]
    TooLong(usize),
    #[error("bad chunk")]
    Chunk,
}

/// Reads an HTTP answer as it comes and takes its body apart into lists. No input or output.
#[derive(Default)]
pub struct Reader {
    body: Body,
    /// Of the body, what is not decoded yet.
    text: Vec<u8>,
    /// How much of it is known to hold no whole list.
    seen: usize,
    /// How many bytes of the body were no white space.
    solid: u64,
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
    pub fn has_begun(&self) -> bool {
        !matches!(self.body, Body::Head)
    }

    /// The answer has come to its end, though the connection may stay.
    pub fn is_over(&self) -> bool {
        matches!(self.body, Body::Over)
    }

    /// What all that was taken in makes.
    pub fn received(&self) -> Received {
        let within_list = self.text.iter().any(|byte| !byte.is_ascii_whitespace());
        Received { answered: self.has_begun(), within_list, solid: self.solid }
    }

    /// Takes in bytes and says how many were used; the rest is to be offered again with more.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, Unread> {
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
                    self.body = if count == left { Body::ChunkEnd } else { Body::Chunk(left - count) };
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
        self.solid += bytes.iter().filter(|byte| !byte.is_ascii_whitespace()).count() as u64;
    }

    /// The next whole list, or what makes it none. Lists may be indented, so that lines say nothing; the empty
    /// lines between them are white space.
    pub fn listing(&mut self) -> Option<serde_json::Result<Listing>> {
        if !self.text[self.seen..].contains(&b'}') {
            return None;
        }
        let mut lists = serde_json::Deserializer::from_slice(&self.text).into_iter::<Listing>();
        let next = lists.next();
        let used = lists.byte_offset();
        if next.as_ref().is_some_and(|next| next.as_ref().is_err_and(serde_json::Error::is_eof)) {
            self.seen = self.text.len();
            return None;
        }
        self.text.drain(..used);
        self.seen = 0;
        next
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
    Ok(Some((length, if chunked { Body::ChunkSize } else { Body::Plain })))
}
