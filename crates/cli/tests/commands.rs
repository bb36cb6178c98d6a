//! Output and exit codes of the subcommands.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use comfreyhaven_cli::ops::{diff, documents, starter};
use tempfile::TempDir;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyhaven"));
    command
        .args(arguments)
        .output()
        .expect("cannot run the program")
}

/// Returns the exit code and the output, with the directory's path replaced by `DIR`.
fn shown(directory: &Path, output: &Output) -> String {
    let code = output.status.code();
    let (out, err) = (&output.stdout, &output.stderr);
    let text = [String::from_utf8_lossy(out), String::from_utf8_lossy(err)].concat();
    format!("exit {code:?}\n{text}").replace(&directory.display().to_string(), "DIR")
}

fn starter_directory() -> TempDir {
    let directory = tempfile::tempdir().expect("cannot create a temporary directory");
    starter::write(directory.path()).expect("cannot write the documents");
    directory
}

fn path(directory: &TempDir) -> &str {
    directory.path().to_str().expect("the path is not UTF-8")
}

fn edit(file: PathBuf, from: &str, to: &str) {
    let text = std::fs::read_to_string(&file).expect("cannot read the file");
    assert!(text.contains(from), "the file does not contain {from:?}");
    std::fs::write(file, text.replace(from, to)).expect("cannot write the file");
}

#[test]
fn help_lists_commands_and_exit_codes() {
    insta::assert_snapshot!(comfreyhaven_cli::cli().render_help().to_string());
}

#[test]
fn starter_configuration_passes_the_check() {
    let directory = starter_directory();
    let output = run(&["check", path(&directory)]);
    insta::assert_snapshot!(shown(directory.path(), &output));
}

#[test]
fn new_does_not_overwrite() {
    let directory = starter_directory();
    let output = run(&["new", path(&directory)]);
    insta::assert_snapshot!(shown(directory.path(), &output));
}

#[test]
fn check_lists_problems_with_locations() {
    let directory = starter_directory();
    edit(
        directory.path().join("teams-0.ini"),
        "rate = 1000/s",
        "rate = 0/s",
    );
    edit(
        directory.path().join("routes.ini"),
        "tier = low",
        "tier = lowest",
    );
    let output = run(&["check", path(&directory)]);
    insta::assert_snapshot!(shown(directory.path(), &output));
    let output = run(&["check", "--output", "json", path(&directory)]);
    insta::assert_snapshot!(shown(directory.path(), &output));
}

#[test]
fn check_of_an_empty_directory_fails() {
    let directory = tempfile::tempdir().expect("cannot create a temporary directory");
    let output = run(&["check", path(&directory)]);
    insta::assert_snapshot!(shown(directory.path(), &output));
}

#[test]
fn diff_describes_changes() {
    let (old, new) = (starter_directory(), starter_directory());
    let file = |name: &str| new.path().join(name);
    edit(file("fleet.ini"), "state = in", "state = out");
    edit(
        file("fleet.ini"),
        "warm requests = 16",
        "warm requests = 32",
    );
    edit(file("routes.ini"), "access = open", "access = teams");
    edit(
        file("teams-0.ini"),
        "routes = assistant, orders",
        "routes = assistant",
    );
    edit(file("teams-0.ini"), "rate = 1000/s", "rate = 2000/s");
    edit(
        file("teams-0.ini"),
        "[team example]",
        "[team other]\nrate = 1/s\nburst tokens = 1\n[team example]",
    );
    let output = run(&["diff", path(&old), path(&new)]);
    insta::assert_snapshot!(shown(new.path(), &output));
    let output = run(&["diff", path(&old), path(&old)]);
    insta::assert_snapshot!(shown(old.path(), &output));
}

#[test]
fn render_preserves_the_configuration() {
    let (old, new) = (
        starter_directory(),
        tempfile::tempdir().expect("cannot create a temporary directory"),
    );
    let arguments = [
        "render",
        "--generation",
        "7",
        "--directory",
        path(&new),
        path(&old),
    ];
    assert!(run(&arguments).status.success());
    let load = |directory: &TempDir| documents::load(&[directory.path().to_owned()]);
    let (old, new) = (
        load(&old).expect("a valid configuration"),
        load(&new).expect("a valid configuration"),
    );
    assert_eq!(diff::diff(&old, &new), []);
    assert!(new.generations.values().all(|generation| generation.0 == 7));
    assert_eq!(new.generations.len(), 18);
}

#[test]
fn new_keys_differ_and_match_their_digests() {
    let new = || {
        let output = run(&["key", "new", "--output", "json"]);
        serde_json::from_slice::<serde_json::Value>(&output.stdout).expect("JSON")
    };
    let (one, other) = (new(), new());
    assert_ne!(one["key"], other["key"]);
    let digest = comfreyhaven_core::KeyDigest::of_key(one["key"].as_str().expect("a key"));
    assert_eq!(one["digest"], digest.to_string());
}

#[test]
fn status_and_state_report_an_unreachable_process() {
    let directory = Path::new("/none");
    // Port 1 of loopback has no listener.
    let output = run(&["status", "127.0.0.1:1"]);
    insta::assert_snapshot!(shown(directory, &output));
    let output = run(&["state", "127.0.0.1:1"]);
    insta::assert_snapshot!(shown(directory, &output));
}

#[test]
fn completion_lists_the_commands() {
    let output = run(&["completion", "bash"]);
    let script = String::from_utf8_lossy(&output.stdout).into_owned();
    for command in [
        "check", "diff", "explain", "key", "new", "render", "state", "status",
    ] {
        assert!(
            script.contains(&format!("comfreyhaven__subcmd__{command}"))
                || script.contains(command)
        );
    }
}

#[test]
fn explain_reads_logs_of_several_entries() {
    let directory = tempfile::tempdir().expect("cannot create a temporary directory");
    let write = |name: &str, lines: &[&str]| {
        let file = directory.path().join(name);
        std::fs::write(&file, lines.join("\n")).expect("cannot write the log");
        file.to_str().expect("the path is not UTF-8").to_owned()
    };
    let first = write(
        "entry-1.log",
        &[
            r#"{"time":100,"event":"configuration in force","version":45}"#,
            r#"{"time":150,"event":"the store is lost: no answer in time","section":"endpoints"}"#,
            r#"not a line of ours"#,
            r#"{"time":200,"event":"admitted","request":"4d93","route":"plans","level":"INFO"}"#,
            r#"{"time":201,"event":"admitted","request":"4d94","route":"plans"}"#,
            r#"{"time":560,"event":"refused","request":"4d93","cause":"overloaded","sends":0}"#,
        ],
    );
    let second = write(
        "entry-2.log",
        &[
            r#"{"time":90,"event":"started","boot":7}"#,
            r#"entry-2 {"time":1800,"event":"refused on arrival","request":"4d93","cause":"unavailable","age":4300}"#,
        ],
    );
    let output = run(&["explain", "4d93", "--log", &first, "--log", &second]);
    insta::assert_snapshot!(shown(directory.path(), &output));
    let unknown = run(&["explain", "4d95", "--log", &first]);
    insta::assert_snapshot!(shown(directory.path(), &unknown));
    let without_source = run(&["explain", "4d93"]);
    assert_eq!(without_source.status.code(), Some(2));
}

/// Returns a directory with a configuration of direct entries in force, and its damaged successor.
fn plan_directory() -> TempDir {
    let directory = tempfile::tempdir().expect("cannot create a temporary directory");
    let write = |name: &str, text: &str| {
        std::fs::write(directory.path().join(name), text).expect("cannot write the file");
    };
    write("now.json", include_str!("plans/now.json"));
    write("next.json", include_str!("plans/next.json"));
    directory
}

fn check_plan(arguments: &[&str]) -> String {
    let directory = plan_directory();
    let (now, next) = (
        directory.path().join("now.json"),
        directory.path().join("next.json"),
    );
    let mut all = vec!["check", next.to_str().expect("UTF-8"), "--in-force"];
    all.push(now.to_str().expect("UTF-8"));
    all.extend(arguments);
    shown(directory.path(), &run(&all))
}

#[test]
fn check_of_a_plan_lists_findings_and_dangerous_changes_first() {
    insta::assert_snapshot!(check_plan(&[]));
}

#[test]
fn check_of_a_plan_prints_json() {
    insta::assert_snapshot!(check_plan(&["--output", "json"]));
}

#[test]
fn check_of_a_sound_plan_succeeds() {
    let directory = plan_directory();
    let now = directory.path().join("now.json");
    let output = run(&["check", now.to_str().expect("UTF-8")]);
    insta::assert_snapshot!(shown(directory.path(), &output));
}

#[test]
fn check_of_a_plan_that_cannot_be_read_fails() {
    let directory = plan_directory();
    let file = directory.path().join("next.json");
    std::fs::write(&file, "{\"version\": 7, \"routes\": [{}]}").expect("cannot write the file");
    let output = run(&["check", file.to_str().expect("UTF-8")]);
    insta::assert_snapshot!(shown(directory.path(), &output));
    let output = run(&[
        "check",
        file.to_str().expect("UTF-8"),
        "--store",
        "127.0.0.1:1",
    ]);
    assert_eq!(output.status.code(), Some(2));
}
