//! Keeps the types in `src/border/` up to date with the schemas in `schema/`.
//!
//! `UPDATE_GENERATED=1 cargo test --test generated` writes them.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use typify::{MapType, TypeSpace, TypeSpaceSettings};

/// Environment variable that is set to write the types instead of comparing them.
const UPDATE_VARIABLE: &str = "UPDATE_GENERATED";
/// Attributes at the start of each generated file.
const FILE_HEADER: &str = "#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]
";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn schemas() -> Vec<PathBuf> {
    let dir = std::fs::read_dir(root().join("schema")).unwrap();
    let paths = dir.map(|entry| entry.unwrap().path());
    let mut schemas: Vec<PathBuf> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "json")
        })
        .collect();
    schemas.sort();
    schemas
}

/// The types that a schema describes, as `cargo typify -B --map-type
/// '::std::collections::BTreeMap'` generates them.
fn generate_types(schema: &Path) -> String {
    let text = std::fs::read_to_string(schema).unwrap();
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text).unwrap();
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_struct_builder(false)
        .with_map_type("::std::collections::BTreeMap".parse::<MapType>().unwrap());
    // Sent twice a second to each peer: short names and no generated copy of the core's own types.
    settings.with_replacement("Control", "crate::control::wire::Frame", std::iter::empty());
    let mut types = TypeSpace::new(&settings);
    types.add_root_schema(schema).unwrap();
    let code = format!("{FILE_HEADER}\n{}", types.to_stream());
    prettyplease::unparse(&syn::parse_file(&code).unwrap())
}

#[test]
fn types_are_up_to_date() {
    let schemas = schemas();
    assert!(schemas.len() >= 2, "schemas found: {schemas:?}");
    let is_update = std::env::var_os(UPDATE_VARIABLE).is_some();
    let mut stale = Vec::new();
    for schema in schemas {
        let name = schema.file_stem().unwrap().to_str().unwrap();
        let file = root().join(format!("src/border/{name}.rs"));
        let wanted = generate_types(&schema);
        let committed = std::fs::read_to_string(&file).unwrap_or_default();
        if committed == wanted {
            continue;
        }
        if is_update {
            std::fs::write(&file, wanted).unwrap();
        } else {
            stale.push(file);
        }
    }
    assert!(
        stale.is_empty(),
        "stale: {stale:?}; run with {UPDATE_VARIABLE}=1"
    );
}
