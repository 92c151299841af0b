//! Tests of the example settings and contracts in the repository.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use redwinglatch_settings::{ContractFile, Settings};

fn examples_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn ini_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("the directory exists");
    let paths = entries.map(|entry| entry.expect("the directory can be read").path());
    let mut files: Vec<_> =
        paths.filter(|path| path.extension().is_some_and(|extension| extension == "ini")).collect();
    files.sort();
    files
}

/// Guards against examples that do not match the deployments of the design page, or that
/// differ between the instances of a deployment.
#[test]
fn examples_match_the_deployments_of_the_design_page() {
    let expected = [
        ("lakeshore", "great-lakes", ("scope-writer", 12), ("dispatch-desk", 3)),
        ("prirucka", "cz-morava", ("assistant-llm", 18), ("portal-app", 3)),
    ];
    for (name, region, engines, services) in expected {
        let files = ini_files(&examples_dir(name));
        let settings: Vec<_> = files
            .iter()
            .map(|file| Settings::from_file(file).unwrap_or_else(|error| panic!("{error:?}")))
            .collect();
        let have_state: Vec<_> = settings.iter().map(|settings| settings.state.is_some()).collect();
        assert_eq!(have_state, [true, false], "{name}: one instance with a disk and one without");
        for settings in &settings {
            assert_eq!(&*settings.instance.region, region);
            assert_eq!((settings.instances.len(), settings.replicas.len()), (12, 5));
            let centres: BTreeSet<_> =
                settings.instances.iter().map(|entry| &entry.data_centre).collect();
            assert_eq!(centres.len(), 3);
            let pools: BTreeSet<_> =
                settings.pools.iter().map(|pool| (&*pool.name, pool.backends.len())).collect();
            assert_eq!(pools, BTreeSet::from([engines, services]));
        }
        let [first, second] = &*settings else { panic!("two files") };
        assert_eq!((&first.instances, &first.replicas), (&second.instances, &second.replicas));
        assert_eq!((&first.cells, &first.pools), (&second.cells, &second.pools));
        assert_eq!(first.control, second.control);
    }
}

/// Guards against example contracts with problems, or with adapters or services of the other
/// deployment.
#[test]
fn example_contracts_are_valid() {
    for (name, service) in [("lakeshore", "dispatch-desk"), ("prirucka", "portal-app")] {
        let files = ini_files(&examples_dir(name).join("contracts"));
        assert!(!files.is_empty());
        for file in files {
            let contract = ContractFile::from_file(&file);
            let contract = contract.unwrap_or_else(|error| panic!("{error:?}")).contract;
            let stem = file.file_stem().and_then(|stem| stem.to_str());
            assert_eq!(stem, Some(&*contract.customer), "the file is named after the customer");
            assert!(contract.allows_service(service));
        }
    }
}

/// Guards against a setting or a contract key that docs/OPERATING.md does not list, or lists with
/// another default.
#[test]
fn every_key_is_documented_with_its_default() {
    let page = include_str!("../../../docs/OPERATING.md");
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect();
    let text = std::fs::read_to_string(examples_dir("lakeshore").join("instance-1.ini"));
    let text = text.expect("the example can be read");
    let settings = Settings::from_str("example", &text).expect("the example is valid").to_string();
    let contract = examples_dir("lakeshore/contracts").join("north-shore.ini");
    let contract = ContractFile::from_file(contract).expect("the example is valid").to_string();
    let mut undocumented = Vec::new();
    for (key, _) in
        settings.lines().chain(contract.lines()).filter_map(|line| line.split_once(" = "))
    {
        let row = rows.iter().find(|row| row[0].ends_with(&format!("`{key}`")));
        let Some(row) = row else {
            undocumented.push(key.to_owned());
            continue;
        };
        // Without its line, a key has its default in the parsed settings.
        let is_line_of_key = |line: &&str| line.split('=').next().map(str::trim) == Some(key);
        let remaining_lines: Vec<&str> =
            text.lines().filter(|line| !is_line_of_key(line)).collect();
        let Ok(parsed) = Settings::from_str("example", &remaining_lines.join("\n")) else {
            continue;
        };
        let parsed = parsed.to_string();
        let default = parsed.lines().find_map(|line| line.strip_prefix(&format!("{key} = ")));
        if default.is_some_and(|default| default != row[2]) {
            undocumented
                .push(format!("{key}: the default is {default:?}, the page says {}", row[2]));
        }
    }
    assert!(undocumented.is_empty(), "{undocumented:#?}");
}
