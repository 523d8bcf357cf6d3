//! Guards against a JSON schema or an operators' reference whose fields differ from those that
//! [`check`] accepts.

use std::collections::BTreeSet;
use std::path::Path;

use googletest::prelude::*;
use serde_json::Value;
use zinniahinge_document::FaultKind;
use zinniahinge_document::check;

/// A document with an unknown field in one section, and the JSON pointer to the schema of that section.
struct SectionCase {
    text: &'static str,
    schema: &'static str,
}

#[rustfmt::skip]
const CASES: &[SectionCase] = &[
    SectionCase { text: "zz = 1", schema: "" },
    SectionCase { text: "kind = 'models'\nweight_store = { zz = 1 }", schema: "/$defs/weight_store" },
    SectionCase { text: "models = [{ zz = 1 }]", schema: "/$defs/model" },
    SectionCase { text: "models = [{ load_ms = { zz = 1 } }]", schema: "/$defs/load_ms" },
    SectionCase { text: "adapters = [{ zz = 1 }]", schema: "/$defs/adapter" },
    SectionCase { text: "routes = [{ zz = 1 }]", schema: "/$defs/route" },
    SectionCase { text: "routes = [{ target = { zz = 1 } }]", schema: "/$defs/target" },
    SectionCase { text: "accounts = [{ zz = 1 }]", schema: "/$defs/account" },
];

fn read_page(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    std::fs::read_to_string(folder.join(name)).expect(name)
}

/// Returns the fields of the section that contains the unknown field `zz`: all fields, which that fault
/// lists, and the required ones, which are reported as missing.
fn checked_fields(text: &str) -> (BTreeSet<String>, BTreeSet<String>) {
    let error = check(text, "test").expect_err("the field is unknown");
    let unknown = error
        .faults
        .iter()
        .find(|fault| fault.kind == FaultKind::UnknownField);
    let unknown = unknown.expect("the field is unknown");
    let known = unknown.expected.trim_start_matches("one of: ").split(", ");
    let section = unknown.field.trim_end_matches("zz");
    let missing = error
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::MissingField);
    let inside = missing.filter_map(|fault| fault.field.strip_prefix(section));
    let inside = inside.filter(|field| !field.contains(['.', '[']));
    (
        known.map(str::to_owned).collect(),
        inside.map(str::to_owned).collect(),
    )
}

#[gtest]
fn schema_and_reference_have_the_fields_of_the_check() {
    let schema: Value = serde_json::from_str(&read_page("document.schema.json")).expect("JSON");
    let reference = read_page("DOCUMENT.md");
    for SectionCase {
        text,
        schema: pointer,
    } in CASES
    {
        let section = schema.pointer(pointer).expect(pointer);
        let (known, missing) = checked_fields(text);
        let properties = section["properties"].as_object().expect(pointer);
        let properties: BTreeSet<String> = properties.keys().cloned().collect();
        expect_that!(properties, eq(&known), "{pointer}");
        let required = section["required"].as_array().expect(pointer).iter();
        let required: BTreeSet<String> = required
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect();
        expect_that!(required, eq(&missing), "{pointer}");
        for field in known {
            let is_named = reference.contains(&format!("`{field}`"))
                || reference.contains(&format!("[{field}]"))
                || reference.contains(&format!("{field} = "));
            expect_that!(is_named, eq(true), "{field} is not in DOCUMENT.md");
        }
    }
}
