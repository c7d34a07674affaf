//! The cases of the review: `cases N FOLDER` plays case N and writes FOLDER/record.txt. It ends with
//! 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod late_extra;
mod route_moves;
mod server;
mod slow_readers;
mod store;

use std::path::Path;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        std::process::exit(2);
    };
    // The daemons end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "1" => late_extra::run(has_trouble, Path::new(folder)),
        "2" => route_moves::run(has_trouble, Path::new(folder)),
        "3" => slow_readers::run(has_trouble, Path::new(folder)),
        _ => 2,
    };
    std::process::exit(code);
}
