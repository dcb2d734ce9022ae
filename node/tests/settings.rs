//! Settings files: the documented examples, the defaults, and reporting of all errors.

use std::path::Path;
use std::time::Duration;

use knapweed_node::settings::{
    AgentLimits, AgentSettings, EdgeSettings, RouterLimits, RouterSettings, Settings, load, parse,
};

fn workspace_file(file: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(file)
}

fn errors<T: Settings>(text: &str) -> String {
    match parse::<T>(text) {
        Ok(_) => "no error".to_owned(),
        Err(errors) => {
            let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    }
}

#[test]
fn the_examples_are_valid_and_contain_the_defaults() {
    let router: RouterSettings = load(&workspace_file("router.example.yaml")).expect("valid");
    assert_eq!(router.limits, RouterLimits::default());
    insta::assert_debug_snapshot!(router);
    let agent: AgentSettings = load(&workspace_file("agent.example.yaml")).expect("valid");
    assert_eq!(agent.limits, AgentLimits::default());
    insta::assert_debug_snapshot!(agent);
}

#[test]
fn missing_keys_have_the_documented_defaults() {
    let example: RouterSettings = load(&workspace_file("router.example.yaml")).expect("valid");
    let minimal = "name: router-1\ndata_centre: north\nlisten: 10.20.1.2:8080\n\
                 control: 10.20.1.2:7101\nservice: [http://10.20.0.9:8500/]\n";
    assert_eq!(parse::<RouterSettings>(minimal), Ok(example));
}

#[test]
fn all_errors_are_reported() {
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
    insta::assert_snapshot!(errors::<RouterSettings>(text));
}

#[test]
fn conflicts_between_keys_are_reported() {
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
    insta::assert_snapshot!(errors::<AgentSettings>(text));
}

#[test]
fn a_value_in_place_of_a_section_is_an_error() {
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
        .map(|text| format!("{text:?}\n{}", errors::<AgentSettings>(text)))
        .collect();
    insta::assert_snapshot!(all.join("\n\n"));
}

#[test]
fn an_unreadable_file_is_an_error() {
    let missing = Path::new("no-such-file.yaml");
    let errors = load::<RouterSettings>(missing).expect_err("there is no such file");
    insta::assert_snapshot!(errors);
}

#[test]
fn bounds_of_an_edge_router_may_be_fractions() {
    let text = "name: a\ndata_centre: north\nlisten: 10.0.0.1:80\ncontrol: 10.0.0.1:7400\n\
                operators: 10.0.0.1:81\nstore: 10.0.0.9:8500\nstop_limit: 8.5s\nbounds:\n  \
                revoke: 2500.5ms\n  drain: 1.5s\n  retry_slack: 38.2608695652174\n";
    let settings: EdgeSettings = parse(text).expect("the settings are valid");
    assert_eq!(settings.stop_limit, Duration::from_millis(8_500));
    assert_eq!(settings.bounds.drain, Duration::from_millis(1_500));
    assert_eq!(
        settings.bounds.revoke,
        Some(Duration::from_micros(2_500_500))
    );
    assert!((settings.bounds.retry_slack - 38.260_869_565).abs() < 1e-6);
}

#[test]
fn a_time_that_is_no_decimal_number_is_refused() {
    for time in [
        "1.5.5s",
        ".s",
        "1.s",
        "-1s",
        "1e3s",
        "0.0s",
        "99999999999999999999h",
    ] {
        let text = format!("stop_limit: {time}\n");
        let errors = errors::<EdgeSettings>(&text);
        assert!(errors.contains("stop_limit: found"), "{time}: {errors}");
    }
}

#[test]
fn addresses_at_which_an_edge_router_listens_are_distinct() {
    for (control, operators, is_valid) in [
        ("10.0.0.1:7400", "10.0.0.1:81", true),
        ("10.0.0.1:7400", "10.0.0.1:7400", false),
        ("10.0.0.1:80", "10.0.0.1:81", false),
    ] {
        let text = format!(
            "name: a\ndata_centre: north\nlisten: 10.0.0.1:80\ncontrol: {control}\n\
             operators: {operators}\nstore: 10.0.0.9:8500\n"
        );
        let settings = parse::<EdgeSettings>(&text);
        assert_eq!(settings.is_ok(), is_valid, "{control} {operators}");
    }
}
