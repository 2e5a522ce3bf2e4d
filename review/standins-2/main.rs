//! Drives the cases of the review: starts azuregate with stand-ins around it, and judges by what
//! clients and upstreams have seen.
//!
//! Usage: `standins CASE RECORD`. With `TROUBLE=0` in the environment the disruption is left out.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod download;
mod json;
mod length;
mod net;
mod record;
mod silent_store;
mod stop;
mod store;
mod upstream;
mod window;
mod world;

use std::{env, panic, sync::Arc, thread, time::Duration};

use crate::record::Record;

/// No case takes longer.
const TIME_LIMIT_S: u64 = 110;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        world::cannot_run("usage: standins CASE RECORD");
    };
    // Also of a panic, so that no process is left behind.
    panic::set_hook(Box::new(|info| world::cannot_run(&info.to_string())));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(TIME_LIMIT_S));
        world::cannot_run("the case takes too long");
    });
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(path, case == "silent-store"));
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    match case.as_str() {
        "download" => download::run(&record, has_trouble),
        "length" => length::run(&record, has_trouble),
        "silent-store" => silent_store::run(&record, has_trouble),
        "stop" => stop::run(&record, has_trouble),
        "window" => window::run(&record, has_trouble),
        _ => world::cannot_run("no such case"),
    }
}
