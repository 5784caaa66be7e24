//! `bramley-bench plot` draws a JSON file of figures as curves.

use std::fs;
use std::process::Command;

fn plot(rows: &str, y: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("plot-{:x}", bramleyseam::util::nonce()));
    fs::create_dir_all(&folder).unwrap();
    let (figures, out) = (folder.join("f.json"), folder.join("f.svg"));
    fs::write(&figures, rows).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bramley-bench"));
    command
        .arg("plot")
        .arg(&figures)
        .args(["--x", "load", "--y", y, "--by", "way", "--out"]);
    let ended = command.arg(&out).output().unwrap();
    let drawn = fs::read_to_string(&out).unwrap_or_default();
    fs::remove_dir_all(&folder).unwrap();
    (ended.status.success(), drawn)
}

const ROWS: &str = r#"[
    {"way": "one", "load": 2, "share": 0.5}, {"way": "one", "load": 1, "share": 1.0},
    {"way": "two", "load": 1, "share": 0.9}, {"way": "two", "load": 2, "share": 0.7}
]"#;

#[test]
fn curve_a_way() {
    let (done, drawn) = plot(ROWS, "share");
    assert!(done);
    assert!(drawn.starts_with("<svg"));
    for name in ["one", "two", "load", "share"] {
        assert!(drawn.contains(name), "{name}");
    }
}

#[test]
fn no_such_field() {
    assert!(!plot(ROWS, "speed").0);
}
