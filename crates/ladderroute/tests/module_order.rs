//! The modules form layers: no module imports itself, directly or through others.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A module's path within the crate, such as `["controller", "shared_state"]`; that of the root is empty.
type Module = Vec<String>;

/// Reads the source of all modules below a directory, each up to its unit tests and without comment lines.
fn read_modules(directory: &Path, parent: &Module, sources: &mut BTreeMap<Module, String>) {
    for file in std::fs::read_dir(directory).unwrap() {
        let path = file.unwrap().path();
        let stem = path.file_stem().unwrap().to_str().unwrap().to_string();
        let mut module = parent.clone();
        if path.is_dir() {
            module.push(stem);
            read_modules(&path, &module, sources);
            continue;
        }
        if stem != "mod" {
            module.push(stem);
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let code = text.split("#[cfg(test)]").next().unwrap();
        let lines = code.lines().filter(|l| !l.trim_start().starts_with("//"));
        sources.insert(module, lines.collect::<Vec<_>>().join("\n"));
    }
}

/// Returns the paths of a `use` tree: `a::{b, c::d}` gives `a::b` and `a::c::d`.
fn expand(tree: &str) -> Vec<String> {
    let Some((prefix, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap();
        return vec![path.split_whitespace().collect()];
    };
    let inside = rest.rsplit_once('}').unwrap().0;
    let (mut depth, mut parts) = (0, vec![String::new()]);
    for c in inside.chars() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(String::new());
                continue;
            }
            _ => {}
        }
        parts.last_mut().unwrap().push(c);
    }
    let named = parts.iter().map(|part| part.trim());
    let named = named.filter(|part| !part.is_empty());
    let prefix = prefix.trim();
    named
        .flat_map(|part| expand(&format!("{prefix}{part}")))
        .collect()
}

/// Returns the paths that a module's source refers to: those of its `use` items, and all that begin with
/// `crate`.
fn referenced_paths(source: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for item in source.split(';') {
        let start = item.find("use ").filter(|at| {
            let line = item[..*at].rsplit('\n').next().unwrap();
            matches!(line.trim(), "" | "pub" | "pub(crate)" | "pub(super)")
        });
        if let Some(at) = start {
            paths.extend(expand(&item[at + "use ".len()..]));
        }
    }
    for (at, _) in source.match_indices("crate::") {
        let is_path = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
        paths.push(source[at..].chars().take_while(|c| is_path(*c)).collect());
    }
    paths
}

/// Returns the module that a path in module `from` refers to, or `None` if the path leads out of the crate.
fn resolve(path: &str, from: &Module, sources: &BTreeMap<Module, String>) -> Option<Module> {
    let mut segments = path.split("::").filter(|s| !s.is_empty()).peekable();
    let mut at = match *segments.peek()? {
        "crate" => Module::new(),
        "self" => from.clone(),
        "super" => {
            let mut at = from.clone();
            while segments.next_if_eq(&"super").is_some() {
                at.pop();
            }
            at
        }
        first => {
            let child: Module = from.iter().cloned().chain([first.to_string()]).collect();
            return sources
                .contains_key(&child)
                .then(|| resolve(&format!("self::{path}"), from, sources))
                .flatten();
        }
    };
    for segment in segments.filter(|s| !matches!(*s, "crate" | "self")) {
        at.push(segment.to_string());
        if !sources.contains_key(&at) {
            at.pop();
            break;
        }
    }
    Some(at)
}

/// Returns the imported modules of each module.
fn imports() -> BTreeMap<String, BTreeSet<String>> {
    let mut sources = BTreeMap::new();
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    read_modules(&src, &Module::new(), &mut sources);
    let mut imports = BTreeMap::new();
    for (module, source) in &sources {
        let paths = referenced_paths(source);
        let targets = paths
            .iter()
            .filter_map(|path| resolve(path, module, &sources))
            .filter(|target| target != module && !target.is_empty())
            .map(|target| target.join("::"));
        imports.insert(module.join("::"), targets.collect::<BTreeSet<_>>());
    }
    imports
}

/// Returns all modules that a module imports, directly or through others.
fn reachable_from(from: &str, imports: &BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
    let (mut found, mut pending) = (BTreeSet::new(), vec![from.to_string()]);
    while let Some(module) = pending.pop() {
        for target in &imports[&module] {
            if found.insert(target.clone()) {
                pending.push(target.clone());
            }
        }
    }
    found
}

/// Returns the modules of the import cycles that `module` is in, including `module`; empty if it is in none.
fn cycle_of(module: &str, imports: &BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    let imports_it = |other: &String| reachable_from(other, imports).contains(module);
    let others = reachable_from(module, imports).into_iter();
    others.filter(imports_it).collect()
}

#[test]
fn module_imports_are_acyclic() {
    let imports = imports();
    let cycles: BTreeSet<Vec<String>> = imports
        .keys()
        .map(|module| cycle_of(module, &imports))
        .filter(|cycle| !cycle.is_empty())
        .collect();
    assert!(
        cycles.is_empty(),
        "modules that import one another: {cycles:?}; all imports: {imports:#?}"
    );
}

/// Guards the test above: an import that it overlooked would hide a cycle.
#[test]
fn imports_are_read_from_the_sources() {
    let imports = imports();
    assert!(imports["leadership"].contains("controller"));
    assert!(imports["controller"].contains("controller::shared_state"));
    assert!(imports["controller::message_exchange"].contains("controller"));
    assert!(imports["controller::shared_state"].contains("writer::limits"));
    assert!(
        imports["startup"].contains("leadership"),
        "a path in code, outside of `use`, is an import, too"
    );
    assert_eq!(
        expand("crate::a::{b, c::{d, e as f}}"),
        ["crate::a::b", "crate::a::c::d", "crate::a::c::e"]
    );
}
