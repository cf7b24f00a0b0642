//! `chervilfall explain --log` and `chervilfall report burn --log`, as processes.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

const LOG: &str = r#"{"unix_ms":1000,"node":"a","level":"INFO","part":"p","event":"accepted","job":"00000000000000aa"}
{"unix_ms":1400,"node":"a","level":"INFO","part":"p","event":"job finished","job":"00000000000000aa","queue":"reviews","outcome":"Completed","age_ms":400,"objective_ms":300}
"#;

fn run(arguments: &[&str], name: &str) -> Output {
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
fn log_files_alone_tell_of_jobs_and_objectives() {
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
            name: "burn for people",
            arguments: &["report", "burn"],
            code: 0,
            says: "reviews              1       1      100.000      100.000        0.000  yes",
        },
        Case {
            name: "burn as JSON",
            arguments: &["--json", "report", "burn"],
            code: 0,
            says: r#""bad": 1"#,
        },
        Case {
            name: "no budget",
            arguments: &["report", "burn", "--success-permille", "1000"],
            code: 1,
            says: "success-permille is 1000; allowed is 0 to 999",
        },
        Case {
            name: "a report that does not exist",
            arguments: &["report", "waste"],
            code: 1,
            says: "there is no report waste; there is: burn",
        },
        Case {
            name: "a job that no line is about",
            arguments: &["explain", "00000000000000bb"],
            code: 1,
            says: "none of 2 lines is about job 00000000000000bb",
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let output = run(case.arguments, &format!("explain-{number}.log"));
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
