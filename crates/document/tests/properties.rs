//! Guards against malformed documents that crash the process which reads them.

use std::borrow::Cow;
use std::path::Path;

use proptest::prelude::*;
use zinniahinge_document::CompiledDocument;
use zinniahinge_document::check;
use zinniahinge_document::normalize_path;

fn example_bytes() -> Vec<u8> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read(folder.join("demo-llm.toml")).expect("demo-llm.toml")
}

/// Validates, indexes and looks up, or prints the faults, whose lines must lie inside the text.
fn exercise(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    match check(&text, "random") {
        Ok(document) => {
            let compiled = CompiledDocument::new(document);
            compiled.route("GET", &text);
            compiled.account_by_digest(&[0; 32]);
        }
        Err(error) => {
            let lines = text.split('\n').count();
            assert!(
                error
                    .faults
                    .iter()
                    .all(|fault| (1..=lines).contains(&fault.line))
            );
            assert!(!format!("{:?}", miette::Report::new(error)).is_empty());
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        exercise(&bytes);
    }

    #[test]
    fn mutated_documents_never_panic(
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0..3_u8, any::<u8>()), 1..20),
    ) {
        let mut bytes = example_bytes();
        for (position, action, byte) in edits {
            let position = position.index(bytes.len());
            match action {
                0 => bytes[position] = byte,
                1 => bytes.insert(position, byte),
                _ => drop(bytes.remove(position)),
            }
        }
        exercise(&bytes);
    }

    #[test]
    fn lines_in_any_order_never_panic(seed in any::<u64>()) {
        let text = String::from_utf8(example_bytes()).expect("text");
        let mut lines: Vec<(u64, &str)> = text
            .lines()
            .zip(1_u64..)
            .map(|(line, number)| (seed.wrapping_mul(2 * number + 1).rotate_left(17), line))
            .collect();
        lines.sort();
        let shuffled: Vec<&str> = lines.into_iter().map(|(_, line)| line).collect();
        exercise(shuffled.join("\n").as_bytes());
    }

    /// Guards against a doubly encoded path that passes the access check: normalizing a second time must
    /// not change the path.
    #[test]
    fn normal_paths_stay_as_they_are(path in "[/%.a-f0-9é\\\\]{0,40}") {
        let normal = normalize_path(&path).map(Cow::into_owned);
        let again = normal.as_deref().and_then(normalize_path);
        prop_assert_eq!(again.as_deref(), normal.as_deref());
    }
}

/// Guards against deeply nested text that overflows the parser's stack.
#[test]
fn deep_nesting_is_a_fault() {
    for open in ["[", "{a="] {
        let text = format!("service = {}", open.repeat(100_000));
        exercise(text.as_bytes());
        assert!(check(&text, "deep").is_err());
    }
}
