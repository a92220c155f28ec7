//! Types generated from the schemas in `schema/`; see `tests/generated.rs` for how they are kept up
//! to date.

#[allow(dead_code, missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod configuration;
#[allow(dead_code, missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod frame;
#[allow(dead_code, missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod objects;
#[allow(dead_code, missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod settings;
