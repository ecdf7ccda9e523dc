//! Plays one case: `world CASE ROOT FOLDER RECORD`, with `TROUBLE=0` without its disruption. Exits
//! with 1 if a rule was broken, 0 if all held, 2 if the case could not run.

mod cbor;
mod chaos;
mod cloud;
mod early_end;
mod fleet;
mod http;
mod judge;
mod late_machine;
mod late_start;
mod record;
mod store;
mod worker;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 5 {
        eprintln!("usage: world CASE ROOT FOLDER RECORD");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, folder, record) = (&args[2], &args[3], &args[4]);
    let result = match args[1].as_str() {
        "late_machine" => late_machine::run(root, folder, record, trouble),
        "late_start" => late_start::run(root, folder, record, trouble),
        "early_end" => early_end::run(root, folder, record, trouble),
        "chaos" => chaos::run(root, folder, record, trouble),
        _ => Err("no such case".to_string()),
    };
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            eprintln!("could not run: {why}");
            2
        }
    });
}
