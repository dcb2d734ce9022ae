//! The `knapweedctl` program: flags, output and exit codes.

use std::process::Command;

/// Runs the program and returns its standard output, standard error and exit code.
fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_knapweedctl"))
        .args(arguments)
        .output()
        .expect("the program runs");
    let code = output.status.code().expect("the program exits");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    format!(
        "$ knapweedctl {}\n{out}\n{err}\nexit {code}\n",
        arguments.join(" ")
    )
}

#[test]
fn help_lists_commands_and_exit_codes() {
    insta::assert_snapshot!(run(&["--help"]));
}

#[test]
fn exit_codes_identify_the_outcome() {
    let small = "../rules/tests/data/small.kw";
    let faulty = "../rules/tests/data/malformed/06-hashes.kw";
    let runs = [
        run(&["check", small]),
        run(&["--json", "check", small]),
        run(&["check", faulty]),
        run(&["check", "no-such-file.kw"]),
        run(&["check", small, "--settings", "target"]),
        run(&["check", "../router.example.yaml", "--settings", "router"]),
        run(&[
            "drain",
            "target",
            "llm-1",
            "--asker",
            "operations",
            "--revision",
            "8",
        ]),
        run(&["drain", "target", "llm-1", "--asker", "operations"]),
        run(&["diff", small, small, "--json"]),
        run(&["why", "not-an-id", "--addr", "127.0.0.1:1"]),
        run(&["why", "00ff"]),
        run(&["status"]),
        run(&["restart"]),
    ];
    insta::assert_snapshot!(runs.join("\n"));
}
