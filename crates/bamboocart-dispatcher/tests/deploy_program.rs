//! The dependencies of the program that is deployed on the platform.

use std::process::Command;

/// Guards against a slow start: the tracing library calibrates the processor's clock
/// before `main` until two readings agree, which never ends on an unstable clock, and a
/// metrics exporter calibrates it for up to 200 ms.
#[test]
fn the_deployed_program_has_no_clock_measurement() {
    let output = Command::new(env!("CARGO"))
        .args(["tree", "--locked", "--offline", "--edges", "normal", "--prefix", "none"])
        .args(["--package", "bamboocart-dispatcher", "--no-default-features"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    let tree = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(tree.contains("bamboocart-jobs"), "{tree}");
    for library in ["fastrace", "fastant", "minstant", "quanta"] {
        assert!(!tree.contains(library), "{library} is linked:\n{tree}");
    }
}
