//! `chervilfall explain --log`, as a process.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

const LOG: &str = r#"{"unix_ms":1000,"node":"a","level":"INFO","part":"p","event":"accepted","job":"00000000000000aa"}
{"unix_ms":1400,"node":"a","level":"INFO","part":"p","event":"job finished","job":"00000000000000aa"}
"#;

fn explain(arguments: &[&str], name: &str) -> Output {
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), name].iter().collect();
    fs::write(&path, LOG).expect("a file");
    Command::new(env!("CARGO_BIN_EXE_chervilfall"))
        .args(arguments)
        .arg("--log")
        .arg(&path)
        .output()
        .expect("the command line runs")
}

#[test]
fn a_job_is_explained_from_log_files_alone() {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        code: i32,
        says: &'static str,
    }
    let cases = [
        Case {
            name: "for people",
            arguments: &["explain", "00000000000000aa"],
            code: 0,
            says: "400 ms   a                  job finished",
        },
        Case {
            name: "as JSON",
            arguments: &["--json", "explain", "00000000000000aa"],
            code: 0,
            says: r#""at_ms": 400"#,
        },
        Case {
            name: "a job that no line is about",
            arguments: &["explain", "00000000000000bb"],
            code: 1,
            says: "none of 2 lines is about job 00000000000000bb",
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let output = explain(case.arguments, &format!("explain-{number}.log"));
        let said = [output.stdout, output.stderr].concat();
        let said = String::from_utf8_lossy(&said).into_owned();
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {said}",
            case.name
        );
        assert!(said.contains(case.says), "{}: {said}", case.name);
    }
}
