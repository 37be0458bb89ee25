//! Runs a case of the review: `review-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left
//! out.

mod cases;
mod executor;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// What a case has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Broken,
    Held,
}

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(Path::new(record)) {
        eprintln!("{record}: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record!("case {case}, disruption: {trouble}");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record!("the case takes too long");
        site::end_processes();
        std::process::exit(2);
    });
    let verdict = cases::run(case, trouble);
    match verdict {
        Ok(verdict) => {
            record!("verdict: {verdict:?}");
            println!("{case}: {verdict:?}");
            ExitCode::from(u8::from(verdict == Verdict::Broken))
        }
        Err(error) => {
            record!("the case could not run: {error}");
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
