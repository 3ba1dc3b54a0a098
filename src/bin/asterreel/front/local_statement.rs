//! Statements that the gateway answers itself, without a server.

/// A statement that is answered here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LocalStatement {
    /// Nothing but whitespace and semicolons.
    Empty,
    /// A statement about the session's settings, with the tag of its CommandComplete.
    SessionSetting(&'static str),
}

/// Which statement of those that are answered here this is, if any.
pub(super) fn local_statement(text: &[u8]) -> Option<LocalStatement> {
    let text = text.trim_ascii();
    let is_separator = |byte: &u8| byte.is_ascii_whitespace() || *byte == b';';
    if text.iter().all(is_separator) {
        return Some(LocalStatement::Empty);
    }
    let keyword = text.split(is_separator).next().unwrap_or_default();
    ["SET", "RESET", "DISCARD"]
        .into_iter()
        .find(|tag| keyword.eq_ignore_ascii_case(tag.as_bytes()))
        .map(LocalStatement::SessionSetting)
}
