//! Stand-ins and drivers for the cases of this review: `review-standins CASE RECORD_FILE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod http;
mod lab;
mod pipelined;
mod refused;
mod stalled;
mod store;
mod uploads;
mod upstream;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD_FILE");
        std::process::exit(lab::COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let lab = lab::Lab::new(record);
    let code = match case.as_str() {
        "uploads" => uploads::run(&lab, has_trouble),
        "refused" => refused::run(&lab, has_trouble),
        "stalled" => stalled::run(&lab, has_trouble),
        "pipelined" => pipelined::run(&lab, has_trouble),
        other => lab.cannot_run(&format!("there is no case {other}")),
    };
    lab.finish(code);
}
