//! The reference of all settings, made from the code.

use std::fmt::Write;

use crate::groups;
use crate::options::PLAIN_FIELDS;

/// One setting in the reference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldDoc {
    /// Group that it stands in; empty at the top.
    pub group: &'static str,
    /// Its name; the suffix is its unit.
    pub name: &'static str,
    /// Its default; empty if it must be given.
    pub default: &'static str,
    /// What is allowed.
    pub allowed: &'static str,
    /// What it means.
    pub doc: &'static str,
}

/// Returns the reference of all settings as Markdown.
///
/// # Panics
///
/// Never: writing to a string can't fail.
#[must_use]
pub fn markdown() -> String {
    let mut text = String::from(
        "# Settings of `chervilfalld`\n\n\
         Generated from the code by `chervilfall-dev generate`; not edited by hand.\n\n\
         The file is YAML. A key that is not listed here is refused, as is a value out of its\n\
         range or a combination that can't work; `chervilfalld --check FILE` says so with line\n\
         and reason and starts nothing. The suffix of a name is its unit.\n\n\
         | setting | default | allowed | meaning |\n|---|---|---|---|\n",
    );
    let groups = groups::all_docs();
    for field in PLAIN_FIELDS
        .iter()
        .chain(groups.iter().flat_map(|docs| docs.iter()))
    {
        let dot = if field.group.is_empty() { "" } else { "." };
        let default = if field.default.is_empty() {
            "must be given".to_owned()
        } else {
            format!("`{}`", field.default)
        };
        let doc = field.doc.trim();
        let (group, name, allowed) = (field.group, field.name, field.allowed);
        writeln!(
            text,
            "| `{group}{dot}{name}` | {default} | {allowed} | {doc} |"
        )
        .expect("writing to a string can't fail");
    }
    text
}
