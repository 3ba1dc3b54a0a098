//! The framing of discovery's HTTP answers: a head, then a body in chunks or up to the end of the connection.

/// The longest head of an answer, or line with the size of a chunk, that is read.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why an answer can't be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AnswerError {
    #[error("status {0}")]
    Status(u16),
    #[error("head: {0}")]
    Head(httparse::Error),
    #[error("longer than {0} bytes")]
    TooLong(usize),
    #[error("bad chunk")]
    Chunk,
}

/// What comes next of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Framing {
    #[default]
    Head,
    /// A body without chunks, until the connection ends.
    Plain,
    ChunkSize,
    /// So many bytes of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// Nothing: the answer is complete.
    Over,
}

/// A piece of an answer, from the first of the bytes that were offered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Piece {
    pub length: usize,
    /// Whether it belongs to the body.
    pub is_payload: bool,
}

impl Piece {
    fn payload(length: usize) -> Piece {
        Piece {
            length,
            is_payload: true,
        }
    }

    fn overhead(length: usize) -> Piece {
        Piece {
            length,
            is_payload: false,
        }
    }
}

impl Framing {
    /// Passes over the next piece, or nothing where it is not complete.
    pub(super) fn next_piece(&mut self, bytes: &[u8]) -> Result<Option<Piece>, AnswerError> {
        let step = match *self {
            Framing::Head => parse_head(bytes)?,
            Framing::Plain => Some((Piece::payload(bytes.len()), Framing::Plain)),
            Framing::ChunkSize => parse_chunk_size(bytes)?,
            Framing::Chunk(left) => Some(split_chunk(left, bytes.len())),
            Framing::ChunkEnd => parse_chunk_end(bytes)?,
            Framing::Over => Some((Piece::overhead(bytes.len()), Framing::Over)),
        };
        let Some((piece, next)) = step else {
            return Ok(None);
        };
        *self = next;
        Ok(Some(piece))
    }
}

fn parse_chunk_size(bytes: &[u8]) -> Result<Option<(Piece, Framing)>, AnswerError> {
    let (length, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(AnswerError::Chunk),
    };
    let next = match usize::try_from(size).map_err(|_| AnswerError::Chunk)? {
        0 => Framing::Over,
        size => Framing::Chunk(size),
    };
    Ok(Some((Piece::overhead(length), next)))
}

fn split_chunk(left: usize, offered: usize) -> (Piece, Framing) {
    let length = left.min(offered);
    let next = if length == left {
        Framing::ChunkEnd
    } else {
        Framing::Chunk(left - length)
    };
    (Piece::payload(length), next)
}

fn parse_chunk_end(bytes: &[u8]) -> Result<Option<(Piece, Framing)>, AnswerError> {
    match bytes {
        [b'\r', b'\n', ..] => Ok(Some((Piece::overhead(2), Framing::ChunkSize))),
        [] | [b'\r'] => Ok(None),
        _ => Err(AnswerError::Chunk),
    }
}

/// The head, once it is complete, and how the body comes.
fn parse_head(bytes: &[u8]) -> Result<Option<(Piece, Framing)>, AnswerError> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes).map_err(AnswerError::Head)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        httparse::Status::Partial => return Err(AnswerError::TooLong(MAX_HEAD_BYTES)),
    };
    if response.code != Some(200) {
        return Err(AnswerError::Status(response.code.unwrap_or(0)));
    }
    let chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().ends_with(b"chunked")
    });
    let body = if chunked {
        Framing::ChunkSize
    } else {
        Framing::Plain
    };
    Ok(Some((Piece::overhead(length), body)))
}
