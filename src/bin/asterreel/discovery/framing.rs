//! The framing of discovery's HTTP responses: a head, then a body in chunks or up to the end of the connection.

/// The longest head of a response, or line with the size of a chunk, that is accepted.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a response can't be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ResponseError {
    #[error("status {0} instead of 200")]
    Status(u16),
    #[error("malformed HTTP head: {0}")]
    Head(httparse::Error),
    #[error("longer than {0} bytes")]
    TooLong(usize),
    #[error("malformed chunked encoding")]
    Chunk,
}

/// The part of a response that is expected next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Framing {
    #[default]
    Head,
    /// A body without chunks, up to the end of the connection.
    UntilClose,
    ChunkSize,
    /// The rest of a chunk, in bytes.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// Nothing: the response is complete.
    Complete,
}

/// A piece of a response, at the beginning of the bytes that were passed in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Piece {
    pub length: usize,
    /// Whether the piece belongs to the response's body, rather than to its head or chunk framing.
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
    /// Advances past the next piece and returns it; `None` if the bytes do not hold all of it yet.
    pub(super) fn next_piece(&mut self, bytes: &[u8]) -> Result<Option<Piece>, ResponseError> {
        let step = match *self {
            Framing::Head => parse_head(bytes)?,
            Framing::UntilClose => Some((Piece::payload(bytes.len()), Framing::UntilClose)),
            Framing::ChunkSize => parse_chunk_size(bytes)?,
            Framing::Chunk(left) => Some(split_chunk(left, bytes.len())),
            Framing::ChunkEnd => parse_chunk_end(bytes)?,
            Framing::Complete => Some((Piece::overhead(bytes.len()), Framing::Complete)),
        };
        let Some((piece, next)) = step else {
            return Ok(None);
        };
        *self = next;
        Ok(Some(piece))
    }
}

fn parse_chunk_size(bytes: &[u8]) -> Result<Option<(Piece, Framing)>, ResponseError> {
    let (length, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(ResponseError::Chunk),
    };
    let next = match usize::try_from(size).map_err(|_| ResponseError::Chunk)? {
        0 => Framing::Complete,
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

fn parse_chunk_end(bytes: &[u8]) -> Result<Option<(Piece, Framing)>, ResponseError> {
    match bytes {
        [b'\r', b'\n', ..] => Ok(Some((Piece::overhead(2), Framing::ChunkSize))),
        [] | [b'\r'] => Ok(None),
        _ => Err(ResponseError::Chunk),
    }
}

/// Parses the head once it is complete, and determines the framing of the body.
fn parse_head(bytes: &[u8]) -> Result<Option<(Piece, Framing)>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes).map_err(ResponseError::Head)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        httparse::Status::Partial => return Err(ResponseError::TooLong(MAX_HEAD_BYTES)),
    };
    if response.code != Some(200) {
        return Err(ResponseError::Status(response.code.unwrap_or(0)));
    }
    let chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().ends_with(b"chunked")
    });
    let body = if chunked {
        Framing::ChunkSize
    } else {
        Framing::UntilClose
    };
    Ok(Some((Piece::overhead(length), body)))
}
