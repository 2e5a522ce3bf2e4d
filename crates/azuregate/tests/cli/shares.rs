//! Property tests of zone shares on the command line and of policy files.

use std::fs;

use proptest::{prelude::*, test_runner::Config};

use crate::server::azuregate;

fn run(line: &str) -> (i32, String) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let run = runtime.block_on(azuregate(line));
    (run.exit, run.stderr)
}

proptest! {
    // Few cases, because each one starts a process.
    #![proptest_config(Config::with_cases(24))]

    #[test]
    fn arbitrary_shares_are_accepted_or_rejected(shares in "[a-z=,0-9 -]{0,16}") {
        let shares = shares.replace(' ', "");
        // The address has no listener, so valid shares fail as unreachable.
        let line = format!("shift start --service s --at 127.0.0.1:1 --to-share-ppm={shares}");
        let (exit, stderr) = run(&line);
        prop_assert!(exit == 2 || exit == 5, "{exit}: {stderr}");
    }

    #[test]
    fn arbitrary_policy_files_are_rejected(
        key in "(service|cap|drains|shift|timeout_ms|[a-z_]{1,8})",
        value in r#"(null|7|-1|1.5|"x"|\[\]|\[7\]|\{\}|\{"a":1\}|\{"share_ppm":1,"window_ms":1\}|[a-z\{\}]{0,4})"#,
    ) {
        let path = format!("{}/any-{}.jsonc", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        fs::write(&path, format!("{{ \"queue_ms\": 1, \"{key}\": {value} }}")).unwrap();
        let (exit, stderr) = run(&format!("policy set --file {path} --at 127.0.0.1:1"));
        prop_assert_eq!(exit, 2, "{}", stderr);
        prop_assert!(stderr.contains(".jsonc:1:"), "{}", stderr);
    }
}
