//! All problems of a text are reported at once, each with its location and what is expected.

use comfreyhaven_config::lint::lint;
use comfreyhaven_config::settings::{AgentSettings, EntrySettings};
use comfreyhaven_config::{Document, check};

const DIGEST: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

const FLEET: &str = "[document]\nname = fleet\ngeneration = 1\n\n[tier high]\nrank = 0\n\n\
    [data-centre tb1]\nregion = tbilisi\n\n[host e1]\ndata centre = tb1\n\
    control = 10.0.0.1:7000\n\n[endpoint g1]\ndata centre = tb1\nkind = engine\nserves = hive\n\
    control = 10.0.0.2:7000\ntraffic = 10.0.0.2:7001\nwarm requests = 8\n";

const ROUTES: &str = "[document]\nname = routes\ngeneration = 1\n\n\
    [route plan]\npath = /v1/chat/completions\nmodel = hive\ntier = high\n";

/// Returns the problems of `text` when checked with the valid fleet and routes, one per line.
fn problems_of(name: &str, text: &str) -> String {
    let text = format!("[document]\nname = {name}\ngeneration = 1\n{text}");
    let others = [("fleet", FLEET), ("routes", ROUTES)];
    let others = others.into_iter().filter(|(other, _)| *other != name);
    match check(others.chain([(name, text.as_str())])) {
        Ok(_) => "none".to_owned(),
        Err(problems) => problems.to_string(),
    }
}

#[test]
fn accepts_a_valid_configuration() {
    assert_eq!(
        problems_of(
            "teams-0",
            &format!("[team a]\nrate = 1/s\nburst tokens = 9\nkeys = {DIGEST}\n")
        ),
        "none"
    );
}

#[test]
fn reports_all_problems_of_a_file_together() {
    let text = "\
rate = 5/s
[team open]
rate = 0/s
burst tokens = 0
weight = 0
keys = my-secret-key
routes = plan, nowhere

[team b]
rate = 10
rate = 20/s
burst tokens = 100 # enough
colour = red
  keys = abc

[team c]
rate = 1/s
burst tokens = 10
keys = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b, 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
routes = plan, nowhere

[host e9]
control = 10.0.0.9:7000
";
    let found = problems_of("teams-0", text);
    insta::assert_snapshot!(found);
    assert!(found.lines().count() >= 10);
    assert!(!found.contains("my-secret-key"), "the problems show a key");
}

#[test]
fn rejects_lines_that_the_ini_library_would_join_or_drop() {
    let text = "\u{feff}[document]\nname = teams-0\ngeneration = 1\n\
        [team a\nrate = 1/s\n[team b] rate = 2/s\n; a comment\n  ; an indented comment\n\
        routes\nburst tokens = 1\\\nweight = 3\n\
        keys: abc\nrate = \"1/s\"\nweight = 2 ; heavy\n  dropped at the end";
    let problems = check([("teams.ini", text)]).unwrap_err();
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn rejects_repeated_headers_and_documents() {
    let repeated = format!("{ROUTES}[document]\nname = routes\ngeneration = 7\n");
    insta::assert_snapshot!(Document::new(&repeated).unwrap_err().to_string());
    let problems = check([("a.ini", FLEET), ("b.ini", ROUTES), ("c.ini", ROUTES)]).unwrap_err();
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn rejects_invalid_headers() {
    let texts = [
        "",
        "[document]\nname = fleets\ngeneration = 0\n",
        "[document]\nname = fleet\ngeneration = -1\n",
        "[document]\nname = fleet\nname = routes\n",
    ];
    let found = texts.map(|text| Document::new(text).unwrap_err().to_string());
    insta::assert_snapshot!(found.join("\n\n"));
}

#[test]
fn rejects_a_document_over_one_megabyte() {
    let text = format!("{ROUTES}{}", "# filler\n".repeat(120_000));
    insta::assert_snapshot!(Document::new(&text).unwrap_err().to_string());
}

#[test]
fn reports_problems_in_the_fleet() {
    let text = "\
[tier high]
rank = 0
[tier mid]
rank = 0
[tier high]
rank = 1
[tier low]
rank = 256
[data-centre tb1]
region = the hill
state = maybe
[data-centre tb2]
region = tbilisi
[host e1]
data centre = tb9
control = 10.0.0.1:7000
[host e2]
data centre = tb2
control = 0.0.0.0:7000
[endpoint g1]
data centre = tb2
kind = engine
serves = hive, hive
control = 10.0.0.1:7000
traffic = 10.0.0.2:0
cold requests = 9
warm requests = 8
[endpoint g2]
data centre = tb2
kind = service
serves =
control = 10.0.0.3:7000
traffic = 10.0.0.3:7000
warm requests = 0
cache tokens = 5
[endpoint g3]
data centre = tb2
kind = service
serves = hive
control = 10.0.0.4:7000
traffic = 10.0.0.4:7001
warm requests = 1
cache tokens = 5
";
    insta::assert_snapshot!(problems_of("fleet", text));
}

#[test]
fn reports_problems_in_the_routes() {
    let text = "\
[route a]
path = /v1/chat
model = hive
tier = high
deadline = 0s
[route b]
path = /v1/chat
model = hive
tier = highest
[route c]
path = /v1/chat
model = hive
tier = high
output tokens = 0
[route d]
path = /v1/chat
service = orders
tier = high
[route e]
path = orders?x
service = orders
model = hive
tier = high
idempotent = yes
[route f]
path = /f
model = hive
idempotent = true
tier = high
deadline = 2h
access = everyone
[route g]
path = /g
model = not a name
tier = high
";
    insta::assert_snapshot!(problems_of("routes", text));
}

#[test]
fn rejects_a_key_shared_by_two_teams() {
    let team =
        |name: &str| format!("[team {name}]\nrate = 1/s\nburst tokens = 1\nkeys = {DIGEST}\n");
    insta::assert_snapshot!(problems_of("teams-f", &(team("a") + &team("b"))));
}

#[test]
fn warns_of_probable_mistakes() {
    let routes = format!("{ROUTES}[route care]\npath = /care\nmodel = bonsai\ntier = high\n");
    let fleet = FLEET.to_owned()
        + "[endpoint g2]\ndata centre = tb1\nkind = service\nserves = orders\n\
           control = 10.0.0.3:7000\ntraffic = 10.0.0.3:7001\nwarm requests = 8\n";
    let teams = "[document]\nname = teams-0\ngeneration = 1\n\
        [team a]\nrate = 1/s\nburst tokens = 9\nroutes = plan\n";
    let texts = [
        ("fleet", fleet.as_str()),
        ("routes", &routes),
        ("teams-0", teams),
    ];
    let fleet = check(texts).expect("the configuration is valid");
    let warnings: Vec<_> = lint(&fleet).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(warnings.join("\n"));
}

/// Returns the problems of a settings file, with its path replaced by `settings.ini`.
fn settings_problems(text: &str, load: impl Fn(&std::path::Path) -> String) -> String {
    let directory = tempfile::tempdir().expect("cannot create a temporary directory");
    let path = directory.path().join("settings.ini");
    std::fs::write(&path, text).expect("cannot write the file");
    load(&path).replace(&path.display().to_string(), "settings.ini")
}

#[test]
fn reports_problems_in_settings() {
    let text = "[process]\ndata centre = tb1\ncontrol = 0.0.0.0:7000\nadmin = here\n\
        configuration service = 10.0.9.1:0\nlog = info,comfreyhaven=loud\nlogs = debug\n\
        [entry]\nname = e 1\nlisten = 0.0.0.0:7000\n[process]\nadmin = 10.0.0.1:1\n[agent]\n";
    let load = |path: &std::path::Path| match EntrySettings::load(path) {
        Ok(settings) => format!("{settings:?}"),
        Err(error) => error.to_string(),
    };
    insta::assert_snapshot!(settings_problems(text, load));
}

#[test]
fn reports_settings_missing_from_an_empty_file() {
    let load = |path: &std::path::Path| match AgentSettings::load(path) {
        Ok(settings) => format!("{settings:?}"),
        Err(error) => error.to_string(),
    };
    insta::assert_snapshot!(settings_problems("", load));
}
