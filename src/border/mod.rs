//! Types generated from the schemas in `schema/`; see `tests/generated.rs` for how they are kept up
//! to date.

#[rustfmt::skip]
pub mod configuration;
#[rustfmt::skip]
pub mod settings;
