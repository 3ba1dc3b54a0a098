//! Statements that the gateway answers itself, without a server.

/// A kind of statement that the gateway answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LocalStatement {
    /// Nothing but whitespace and semicolons.
    Empty,
    /// A SET, RESET or DISCARD statement, with the tag of its CommandComplete. The gateway keeps no session settings.
    SessionSetting(&'static str),
}

/// The kind of a statement that the gateway answers itself; `None` for every other statement.
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
