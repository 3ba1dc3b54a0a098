//! Fingerprints of statements: a digest of their text without values, comments, case and spacing.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The fingerprint of a statement: a digest of its normalized text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatementFingerprint(pub u64);

impl StatementFingerprint {
    /// Computes the fingerprint of a statement, in one pass and without a copy of the text. Strings in single quotes, numbers
    /// and parameters count as one value each; names in double quotes are not changed.
    pub fn of(text: &[u8]) -> StatementFingerprint {
        let mut normalizer = Normalizer::default();
        let mut rest = text;
        while !rest.is_empty() {
            let token = Token::first(rest, normalizer.in_identifier);
            let (text, after) = rest.split_at(token.length);
            normalizer.add(token.kind, text);
            rest = after;
        }
        StatementFingerprint(normalizer.digest.digest())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenKind {
    /// White space or a comment.
    Space,
    /// A string, a number or a parameter.
    Value,
    /// A name in double quotes.
    QuotedName,
    /// A character of a name or a keyword.
    Identifier,
    /// Any other character.
    Symbol,
}

struct Token {
    kind: TokenKind,
    /// The token's length in bytes, at least 1.
    length: usize,
}

impl Token {
    /// The first token of a text, which must not be empty. A digit within an identifier is part of it: `a1` keeps its `1`.
    fn first(text: &[u8], in_identifier: bool) -> Token {
        let (kind, length) = match text {
            [b'\'', ..] => (TokenKind::Value, quoted_length(text, b'\'')),
            [b'"', ..] => (TokenKind::QuotedName, quoted_length(text, b'"')),
            [b'-', b'-', ..] => (TokenKind::Space, line_length(text)),
            [b'/', b'*', ..] => (TokenKind::Space, comment_length(text)),
            [b'0'..=b'9', ..] if !in_identifier => (TokenKind::Value, number_length(text)),
            [b'$', b'0'..=b'9', ..] if !in_identifier => {
                (TokenKind::Value, 1 + number_length(&text[1..]))
            }
            [byte, ..] if byte.is_ascii_whitespace() => (TokenKind::Space, 1),
            [byte, ..] if is_identifier(*byte) => (TokenKind::Identifier, 1),
            _ => (TokenKind::Symbol, 1),
        };
        Token { kind, length }
    }
}

fn is_identifier(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

/// Digests tokens in their normalized form.
#[derive(Default)]
struct Normalizer {
    digest: Xxh3,
    /// Whether there was space since the last other token.
    after_space: bool,
    /// Whether the last token belongs to an identifier or a keyword.
    in_identifier: bool,
}

impl Normalizer {
    fn add(&mut self, kind: TokenKind, text: &[u8]) {
        self.in_identifier = kind == TokenKind::Identifier;
        if kind == TokenKind::Space {
            self.after_space = true;
            return;
        }
        // Space counts only before an identifier: it may separate two of them.
        if self.after_space && kind == TokenKind::Identifier {
            self.digest.update(b" ");
        }
        self.after_space = false;
        match kind {
            TokenKind::Value => self.digest.update(b"?"),
            TokenKind::QuotedName => self.digest.update(text),
            TokenKind::Space | TokenKind::Identifier | TokenKind::Symbol => {
                for byte in text {
                    self.digest.update(&[byte.to_ascii_lowercase()]);
                }
            }
        }
    }
}

/// The length of a comment up to the end of its line.
fn line_length(text: &[u8]) -> usize {
    text.iter()
        .position(|byte| *byte == b'\n')
        .unwrap_or(text.len())
}

/// The length of a quoted text, with its closing quote; a doubled quote is part of the text.
fn quoted_length(text: &[u8], quote: u8) -> usize {
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

/// The length of a block comment; block comments nest.
fn comment_length(text: &[u8]) -> usize {
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

/// The length of a number, with its exponent or suffix.
fn number_length(text: &[u8]) -> usize {
    text.iter()
        .take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'.')
        .count()
}

#[cfg(test)]
mod tests;
