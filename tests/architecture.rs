//! Checks that docs/ARCHITECTURE.md names only paths that exist, and only names that the file at the path defines.

use std::path::Path;

const PAGE: &str = include_str!("../docs/ARCHITECTURE.md");

/// The code spans of a line of Markdown.
fn code_spans(line: &str) -> Vec<&str> {
    line.split('`').skip(1).step_by(2).collect()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Whether a code span is a path within the repository.
fn is_path(span: &str) -> bool {
    let prefixes = ["src/", "control/", "docs/", "tests/", "testbench/"];
    prefixes.iter().any(|prefix| span.starts_with(prefix))
}

/// The paths on the page, each with the code span that follows it after a colon, if there is one.
fn paths_and_names() -> Vec<(&'static str, Option<&'static str>)> {
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
    let all = paths_and_names();
    assert!(all.len() > 50, "only {} paths", all.len());
    let missing: Vec<&str> = all
        .iter()
        .map(|(path, _)| *path)
        .filter(|path| !root().join(path).exists())
        .collect();
    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn architecture_names_are_defined() {
    let defines = |text: &str, name: &str| {
        let kinds = ["struct", "enum", "trait", "fn", "const", "type", "mod"];
        let defined = |kind: &&str| {
            let definition = format!("{kind} {name}");
            text.match_indices(&definition).any(|(at, _)| {
                let next = text[at + definition.len()..].chars().next();
                !next.is_some_and(|c| c.is_alphanumeric() || c == '_')
            })
        };
        kinds.iter().any(defined)
    };
    let mut checked = 0;
    for (path, name) in paths_and_names() {
        let Some(name) = name else { continue };
        let text = std::fs::read_to_string(root().join(path)).expect(path);
        for part in name.split("::") {
            assert!(defines(&text, part), "{path} does not define {part}");
            checked += 1;
        }
    }
    assert!(checked > 30, "only {checked} names");
}
