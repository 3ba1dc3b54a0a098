//! Bounds how deeply the expressions of a script nest, before it is parsed.
//!
//! The parser and the compiler recurse into nested brackets and chained operators, on either side, and a stack overflow
//! would kill the process. The count is an upper bound: each operator since the last comma counts as one more level,
//! and so it does for the brackets that follow it.

/// The deepest level of an expression that is accepted, and the most `elif`s of a script, as they nest too.
pub(crate) const MAX_EXPRESSION_DEPTH: usize = 200;

/// The line, counted from 1, where an expression exceeds [`MAX_EXPRESSION_DEPTH`]; `None` if none does.
pub(crate) fn line_beyond_max_depth(text: &str) -> Option<usize> {
    let mut scanner = Scanner::default();
    let mut rest = text.as_bytes();
    while !rest.is_empty() {
        let used = scanner.scan_token(rest);
        if scanner.is_too_deep() {
            return Some(scanner.newlines + 1);
        }
        rest = &rest[used..];
    }
    None
}

#[derive(Default)]
struct Scanner {
    /// The level at each open bracket.
    open_brackets: Vec<usize>,
    /// The level of the next token.
    level: usize,
    elifs: usize,
    newlines: usize,
}

impl Scanner {
    fn is_too_deep(&self) -> bool {
        self.level > MAX_EXPRESSION_DEPTH || self.elifs > MAX_EXPRESSION_DEPTH
    }

    /// Scans the token that the text begins with, and returns its length.
    fn scan_token(&mut self, text: &[u8]) -> usize {
        match text[0] {
            b'\n' => {
                self.newlines += 1;
                if self.open_brackets.is_empty() {
                    self.level = 0;
                }
            }
            b'#' => return length_while(text, |byte| byte != b'\n'),
            quote @ (b'"' | b'\'') => return self.scan_string(text, quote),
            b'(' | b'[' | b'{' => {
                self.open_brackets.push(self.level);
                self.level += 1;
            }
            b')' | b']' | b'}' => {
                self.level = self.open_brackets.pop().map_or(0, |level| level + 1);
            }
            b',' => self.level = self.open_brackets.last().map_or(0, |level| level + 1),
            b'+' | b'-' | b'*' | b'/' | b'%' | b'|' | b'&' | b'^' | b'~' | b'.' | b'<' | b'>'
            | b'=' | b'!' => self.level += 1,
            byte if byte.is_ascii_alphabetic() || byte == b'_' => return self.scan_name(text),
            _ => {}
        }
        1
    }

    /// Scans a string, which may have triple quotes and span lines, and returns its length; without a closing quote it
    /// extends to the end of the text.
    fn scan_string(&mut self, text: &[u8], quote: u8) -> usize {
        let triple = [quote; 3];
        let end: &[u8] = if text.starts_with(&triple) {
            &triple
        } else {
            &triple[..1]
        };
        let mut used = end.len();
        while used < text.len() && !text[used..].starts_with(end) {
            self.newlines += usize::from(text[used] == b'\n');
            used += if text[used] == b'\\' { 2 } else { 1 };
        }
        (used + end.len()).min(text.len())
    }

    /// Scans a name or keyword, and returns its length.
    fn scan_name(&mut self, text: &[u8]) -> usize {
        let length = length_while(text, |byte| byte.is_ascii_alphanumeric() || byte == b'_');
        match &text[..length] {
            b"not" | b"and" | b"or" | b"in" | b"if" | b"else" | b"for" | b"lambda" => {
                self.level += 1;
            }
            b"elif" => self.elifs += 1,
            _ => {}
        }
        length
    }
}

/// How many bytes at the beginning of a text fulfil a condition.
fn length_while(text: &[u8], condition: impl Fn(u8) -> bool) -> usize {
    text.iter()
        .position(|byte| !condition(*byte))
        .unwrap_or(text.len())
}
