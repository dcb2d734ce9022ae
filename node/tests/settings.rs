//! Settings files: the documented examples, defaults, and every fault at once.

use std::path::Path;

use knapweed_node::settings::{
    AgentLimits, AgentSettings, RouterLimits, RouterSettings, Settings, load, parse,
};

fn root(file: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(file)
}

fn faults<T: Settings>(text: &str) -> String {
    match parse::<T>(text) {
        Ok(_) => "no fault".to_owned(),
        Err(faults) => {
            let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    }
}

#[test]
fn the_examples_are_valid_and_state_the_defaults() {
    let router: RouterSettings = load(&root("router.example.yaml")).expect("valid");
    assert_eq!(router.limits, RouterLimits::default());
    insta::assert_debug_snapshot!(router);
    let agent: AgentSettings = load(&root("agent.example.yaml")).expect("valid");
    assert_eq!(agent.limits, AgentLimits::default());
    insta::assert_debug_snapshot!(agent);
}

#[test]
fn what_is_not_stated_has_the_documented_default() {
    let stated: RouterSettings = load(&root("router.example.yaml")).expect("valid");
    let short = "name: router-1\ndata_centre: north\nlisten: 10.20.1.2:8080\n\
                 control: 10.20.1.2:7101\nservice: [http://10.20.0.9:8500/]\n";
    assert_eq!(parse::<RouterSettings>(short), Ok(stated));
}

#[test]
fn every_fault_is_listed() {
    let text = "\
name: router 1
data-centre: north
listen: localhost:8080
control: 0.0.0.0:7101
operators: 7190
service: http://10.20.0.9:8500
workers: 0
stop_limit: 30
limits:
  head_bytes: 16 KiB
  body_bytes: -1
  body_bytes: 5
  head_timeout: soon
  connection: 5
  connections: 1.5
";
    insta::assert_snapshot!(faults::<RouterSettings>(text));
}

#[test]
fn faults_between_keys_are_listed() {
    let text = "\
name: llm-01
data_centre: north
listen: 127.0.0.1:7100
control: 127.0.0.1:7100
operators: 127.0.0.1:0
service: [http://10.20.0.9:8500, https://10.20.0.9:8500]
target: http://127.0.0.1:0
limits: {answer_bytes: 20, answers_bytes: 10}
";
    insta::assert_snapshot!(faults::<AgentSettings>(text));
}

#[test]
fn what_is_not_a_section_is_a_fault() {
    let texts = [
        "",
        "- name",
        "name: a\nlimits: 5\n",
        "name: [a\n",
        "limits: null\nname: ~",
        "name: &x a\ndata_centre: *x\nservice: *y\n",
    ];
    let all: Vec<_> = texts
        .iter()
        .map(|text| format!("{text:?}\n{}", faults::<AgentSettings>(text)))
        .collect();
    insta::assert_snapshot!(all.join("\n\n"));
}

#[test]
fn a_file_that_cannot_be_read_is_a_fault() {
    let missing = Path::new("no-such-file.yaml");
    let faults = load::<RouterSettings>(missing).expect_err("there is no such file");
    insta::assert_snapshot!(faults);
}
