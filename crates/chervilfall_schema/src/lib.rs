//! Types of the RPC, generated from the shared schema file `schema/chervilfall.schema.json`.

#[rustfmt::skip]
mod generated;

pub use generated::*;
