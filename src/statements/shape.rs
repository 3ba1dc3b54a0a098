//! What statements have in common: their text without values, comments, case and spacing.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A statement's shape: a digest of its text without its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shape(pub u64);

impl Shape {
    /// The shape of a statement, in one pass and without a copy of the text. Strings in single quotes, numbers and
    /// parameters count as one value each; names in double quotes are kept as they are.
    pub fn of(text: &[u8]) -> Shape {
        let mut digest = Xxh3::new();
        let (mut at, mut spaced) = (0, false);
        // A word goes on where the one before it ended, so that `a1` keeps its digit and `1` alone is a value.
        let mut in_word = false;
        while let Some(&byte) = text.get(at) {
            let rest = &text[at..];
            let length = match byte {
                b'\'' => quoted(rest, b'\''),
                b'"' => quoted(rest, b'"'),
                b'-' if rest.starts_with(b"--") => {
                    rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len())
                }
                b'/' if rest.starts_with(b"/*") => comment(rest),
                b'0'..=b'9' if !in_word => number(rest),
                b'$' if !in_word && rest.get(1).is_some_and(u8::is_ascii_digit) => {
                    1 + number(&rest[1..])
                }
                _ => 1,
            };
            let skipped =
                byte.is_ascii_whitespace() || rest.starts_with(b"--") || rest.starts_with(b"/*");
            let value = byte == b'\''
                || length > 0 && !in_word && (byte.is_ascii_digit() || byte == b'$' && length > 1);
            let word = byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80;
            if skipped {
                spaced = true;
            } else {
                // Spacing counts only where it parts two words.
                if spaced && word && !value {
                    digest.update(b" ");
                }
                match value {
                    true => digest.update(b"?"),
                    false if byte == b'"' => digest.update(&rest[..length]),
                    false => digest.update(&[byte.to_ascii_lowercase()]),
                }
                spaced = false;
            }
            in_word = word && !value && !skipped;
            at += length.max(1);
        }
        Shape(digest.digest())
    }
}

/// The length of what stands in quotes, up to the closing one; a doubled quote stands for itself.
fn quoted(text: &[u8], quote: u8) -> usize {
    let mut at = 1;
    while let Some(found) = text
        .get(at..)
        .and_then(|rest| rest.iter().position(|byte| *byte == quote))
    {
        at += found + 1;
        if text.get(at) != Some(&quote) {
            return at;
        }
        at += 1;
    }
    text.len()
}

/// The length of a comment; they nest.
fn comment(text: &[u8]) -> usize {
    let (mut at, mut depth) = (2, 1);
    while depth > 0 && at < text.len() {
        match &text[at..] {
            [b'/', b'*', ..] => (depth, at) = (depth + 1, at + 2),
            [b'*', b'/', ..] => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
    }
    at
}

fn number(text: &[u8]) -> usize {
    text.iter()
        .take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'.')
        .count()
}

#[cfg(test)]
mod tests;
