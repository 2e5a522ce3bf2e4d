//! The text of `--help`: gumdrop's usage text, with examples added.

use gumdrop::Options;

use super::args::Args;

/// The exit statuses, printed at the end of every help text.
const EXIT_STATUS: &str = "\
Exit status:
  0  done
  1  failed: a defect, or a row or file that is not understood
  2  usage: the command line, the settings or the request is wrong
  3  refused: not allowed now; nothing was changed
  4  conflict: another change came first; nothing was changed
  5  unreachable: no instance, or not the platform; nothing was changed
  6  unknown: the change may have been made; repeat it with its operation id";

/// The environment variables of commands that call an instance.
const ENVIRONMENT: &str = "\
Environment:
  AZUREGATE_AT  operators' addresses, separated by commas, if --at is left out";

/// An example for each command.
const EXAMPLES: &[(&str, &str)] = &[
    ("", "azuregate check --settings entry-1.jsonc"),
    (" run", "azuregate run --settings entry-1.jsonc"),
    (" serve", "azuregate serve --settings node.conf --check"),
    (" check", "azuregate check --settings entry-1.jsonc"),
    (" status", "azuregate status --at 127.0.10.1:8082,127.0.10.2:8082"),
    (" policy", "azuregate policy list --at 127.0.10.1:8082"),
    (
        " policy get",
        "azuregate policy get --at 127.0.10.1:8082 --service starter-desk > policy.jsonc",
    ),
    (" policy list", "azuregate policy list --at 127.0.10.1:8082 --output json"),
    (
        " policy set",
        "azuregate policy set --at 127.0.10.1:8082 --file policy.jsonc --based-on 7 --dry-run",
    ),
    (
        " policy history",
        "azuregate policy history --at 127.0.10.1:8082 --service starter-desk --limit 5",
    ),
    (" shift", "azuregate shift show --at 127.0.10.1:8082 --service starter-desk"),
    (
        " shift start",
        "azuregate shift start --at 127.0.10.1:8082 --service starter-desk \\\n    \
         --to-share-ppm sofia-a=500000,varna-a=500000 --cap-ppm 50000 --window-ms 10000 --dry-run",
    ),
    (" shift stop", "azuregate shift stop --at 127.0.10.1:8082 --service starter-desk"),
    (" shift show", "azuregate shift show --at 127.0.10.1:8082 --service starter-desk"),
    (" drain", "azuregate drain show --at 127.0.10.1:8082"),
    (
        " drain start",
        "azuregate drain start --at 127.0.10.1:8082 --service starter-desk \\\n    \
         --backend starter-desk-01 --backend starter-desk-02 --operation-id night-1",
    ),
    (
        " drain stop",
        "azuregate drain stop --at 127.0.10.1:8082 --service starter-desk --backend starter-desk-01",
    ),
    (" drain show", "azuregate drain show --at 127.0.10.1:8082 --service starter-desk"),
    (" entries", "azuregate entries --at 127.0.10.1:8082 --service starter-desk"),
    (" histograms", "azuregate histograms --at 127.0.10.1:8082 --service starter-desk"),
];

/// Returns the help text of the command in `args`.
pub(super) fn text(args: &Args) -> String {
    let mut command = args as &dyn Options;
    let mut path = String::new();
    while let Some(inner) = command.command() {
        command = inner;
        if let Some(name) = inner.command_name() {
            path.push(' ');
            path.push_str(name);
        }
    }
    let mut text = format!("Usage: azuregate{path} [OPTIONS]\n\n{}\n", command.self_usage());
    if let Some(commands) = command.self_command_list() {
        text.push_str(&format!("\nCommands:\n{commands}\n"));
    }
    if let Some((_, example)) = EXAMPLES.iter().find(|(name, _)| *name == path) {
        text.push_str(&format!("\nExample:\n  {example}\n"));
    }
    if command.self_usage().contains("--at") {
        text.push_str(&format!("\n{ENVIRONMENT}\n"));
    }
    format!("{text}\n{EXIT_STATUS}")
}
