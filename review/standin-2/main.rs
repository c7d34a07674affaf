//! Stand-ins and plays of the cases of this folder's review. The first argument names the case, the second the file for
//! the record. Exits with 1 if the case's rule was broken, 0 if it held, 2 if the case could not run.

mod attempts;
mod client;
mod fleet;
mod http;
mod json;
mod quota;
mod server;
mod stop;
mod store;

use fleet::Record;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, path) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = || -> std::io::Result<bool> {
        let record = Record::new(&path)?;
        match case.as_str() {
            "attempts" => attempts::play(&record, is_troubled),
            "stop" => stop::play(&record, is_troubled),
            "quota" => quota::play(&record, is_troubled),
            other => Err(std::io::Error::other(format!("no case {other:?}"))),
        }
    };
    let code = match play() {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            println!("the case could not run: {e}");
            2
        }
    };
    std::process::exit(code);
}
