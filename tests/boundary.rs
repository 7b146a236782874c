//! Names of the users' platform stand in `platform/` and `deploy/` alone.

use std::path::{Path, PathBuf};

/// Spellings that only the platform uses, in lower case; put together here, so that this file holds none of them.
fn names_of_the_platform() -> Vec<String> {
    let prefix = ["x", "crocus", "wharf"].concat();
    let header = |name: &str| format!("{}-{name}", prefix.replacen('x', "x-", 1));
    vec![
        header("server-stamp"),
        header("prefix-hash"),
        header("token-counts"),
        header("kv-fetch"),
        header("cache-salt"),
        header("expect-instance"),
        ["path", "prefix\":"].concat(),
        ["kvcapacity", "tokens"].concat(),
        ["crocuswharf/", "objects"].concat(),
        ["traffic", "split"].concat(),
    ]
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn names_of_the_platform_stand_in_the_adapter_alone() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for folder in ["src", "soak", "standin", "tests", "benches"] {
        sources(&root.join(folder), &mut found);
    }
    assert!(found.len() > 100, "{} files were searched", found.len());
    for path in found {
        let text = std::fs::read_to_string(&path).unwrap().to_lowercase();
        for name in names_of_the_platform() {
            assert!(!text.contains(&name), "{} holds {name}", path.display());
        }
    }
}
