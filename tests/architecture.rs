//! The page on the architecture names modules and types that exist: a path that is gone, or a name that its file does not
//! define any more, fails here.

use std::path::Path;

const PAGE: &str = include_str!("../docs/ARCHITECTURE.md");

/// The spans of a line that are set as code.
fn code_spans(line: &str) -> Vec<&str> {
    line.split('`').skip(1).step_by(2).collect()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Whether a span names a file or folder of the repository.
fn is_path(span: &str) -> bool {
    let begins = ["src/", "control/", "docs/", "tests/", "testbench/"];
    begins.iter().any(|begin| span.starts_with(begin))
}

/// The paths of the page, each with the name that follows it after a colon.
fn named() -> Vec<(&'static str, Option<&'static str>)> {
    let mut all = Vec::new();
    for line in PAGE.lines() {
        let spans = code_spans(line);
        for (at, span) in spans.iter().enumerate().filter(|(_, span)| is_path(span)) {
            let followed = line.contains(&format!("`{span}`: `"));
            let name = spans.get(at + 1).filter(|_| followed);
            all.push((*span, name.copied()));
        }
    }
    all
}

#[test]
fn architecture_paths_exist() {
    let all = named();
    assert!(all.len() > 50, "only {} paths", all.len());
    let gone: Vec<&str> = all
        .iter()
        .map(|(path, _)| *path)
        .filter(|path| !root().join(path).exists())
        .collect();
    assert_eq!(gone, Vec::<&str>::new());
}

#[test]
fn architecture_names_are_defined() {
    let defines = |text: &str, name: &str| {
        let kinds = ["struct", "enum", "trait", "fn", "const", "type", "mod"];
        let defined = |kind: &&str| {
            let wanted = format!("{kind} {name}");
            text.match_indices(&wanted).any(|(at, _)| {
                let next = text[at + wanted.len()..].chars().next();
                !next.is_some_and(|c| c.is_alphanumeric() || c == '_')
            })
        };
        kinds.iter().any(defined)
    };
    let mut checked = 0;
    for (path, name) in named() {
        let Some(name) = name else { continue };
        let text = std::fs::read_to_string(root().join(path)).expect(path);
        for part in name.split("::") {
            assert!(defines(&text, part), "{path} does not define {part}");
            checked += 1;
        }
    }
    assert!(checked > 30, "only {checked} names");
}
