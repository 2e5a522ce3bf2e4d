//! The pages for people: their links lead somewhere, and nothing is left out.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{
    fs,
    path::{Path, PathBuf},
};

use azuregate_core::error::ErrorKind;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn pages(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

/// The targets of `[text](target)`, without their anchors.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    targets.filter_map(|target| target.split('#').next()).filter(|target| !target.is_empty())
}

#[test]
fn links_lead_somewhere() {
    let root = Path::new(ROOT);
    let mut found = vec![root.join("README.md"), root.join("CHANGELOG.md")];
    pages(&root.join("docs"), &mut found);
    let mut broken = Vec::new();
    for page in &found {
        let text = fs::read_to_string(page).unwrap();
        for link in links(&text).filter(|link| !link.contains("://")) {
            if !page.parent().unwrap().join(link).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The row of each error kind on the page for whoever is on call.
#[test]
fn every_error_kind_is_explained() {
    let page = fs::read_to_string(format!("{ROOT}/docs/OPERATING.md")).unwrap();
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let row = format!("| `{kind}` | {} | {} |", answer.status, answer.outcome.as_str());
        assert!(page.contains(&row), "docs/OPERATING.md lacks {row}");
    }
}

#[test]
fn every_decision_is_in_the_index() {
    let dir = Path::new(ROOT).join("docs/design");
    let index = fs::read_to_string(dir.join("README.md")).unwrap();
    let mut found = Vec::new();
    pages(&dir, &mut found);
    for page in found.iter().filter(|page| !page.ends_with("README.md")) {
        let name = page.file_name().unwrap().to_str().unwrap();
        assert!(index.contains(&format!("({name})")), "docs/design/README.md lacks {name}");
    }
}
