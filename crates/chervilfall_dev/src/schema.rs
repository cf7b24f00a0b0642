//! Generation of the RPC's types from the shared schema file.

use anyhow::Context;
use typify::{TypeSpace, TypeSpaceSettings};

/// First lines of the generated file.
const HEADER: &str = "//! Types of the RPC.\n//!\n//! Generated from `schema/chervilfall.schema.json` by `chervilfall-dev generate`; not edited by\n//! hand.\n\n#![allow(clippy::all, clippy::pedantic, missing_docs)]\n\n";

/// Returns the source of the RPC's types for a schema.
///
/// # Errors
///
/// Returns an error if the schema can't be read or holds something that has no type.
pub(crate) fn generate(schema: &str) -> anyhow::Result<String> {
    let root: schemars::schema::RootSchema =
        serde_json::from_str(schema).context("the schema is not a JSON schema")?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut types = TypeSpace::new(&settings);
    types
        .add_ref_types(root.definitions)
        .context("the schema holds something that has no type")?;
    let file = syn::parse2(types.to_stream()).context("the generated code can't be parsed")?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}
