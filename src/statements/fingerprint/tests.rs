use super::*;

#[test]
fn fingerprint_depends_only_on_names_and_structure() {
    let fingerprint = |text: &str| StatementFingerprint::of(text.as_bytes());
    let one = fingerprint("SELECT payload FROM entries WHERE ref = '7f3a''x' /* id=9b,c=basket */");
    for same in [
        "select payload  from entries\nwhere ref='' /* a /* nested */ one */",
        "SELECT payload FROM entries WHERE ref = 'x' -- and more\n",
        "SELECT payload FROM entries WHERE ref = 12.5",
        "SELECT payload FROM entries WHERE ref = $1",
    ] {
        assert_eq!(fingerprint(same), one, "{same}");
    }
    for other in [
        "SELECT payload2 FROM entries WHERE ref = 'x'",
        "SELECT payload FROM entries2 WHERE ref = 'x'",
        "SELECT pay load FROM entries WHERE ref = 'x'",
        "SELECT \"Payload\" FROM entries WHERE ref = 'x'",
        "SELECT payload FROM entries WHERE ref = 'x' AND a = 1",
    ] {
        assert_ne!(fingerprint(other), one, "{other}");
    }
}

#[test]
fn unterminated_and_garbage_text_has_a_fingerprint() {
    for text in ["'", "\"", "/*", "/* /* */", "--", "$", "$1", "''", "1"] {
        StatementFingerprint::of(text.as_bytes());
    }
    let good = b"SELECT a, 'b' FROM \"c\" WHERE d = $1 /* e */ -- f";
    crate::fuzz::garbage(good, |bytes| {
        // Must terminate without a panic.
        let _ = StatementFingerprint::of(bytes);
    });
}
