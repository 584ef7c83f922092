//! Stand-ins for the cases of the second review: `standin CASE RECORD` runs a case and exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.

mod caller;
mod cases;
mod hub;
mod platform;
mod record;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// The run may take 120 s; this leaves time to end what it started.
const LIMIT: Duration = Duration::from_secs(112);

/// Ends the run: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    platform::end_all();
    exit(2)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = record::Record::create(&record);
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        platform::end_all();
        exit(2)
    }));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        cannot_run("it did not end in time")
    });
    let folder = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    platform::set_folder(&folder);
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let broken = cases::run(&case, trouble, &folder, &record);
    platform::end_all();
    let Some(broken) = broken else { cannot_run("no such case") };
    for line in &broken {
        record.line(&format!("BROKEN: {line}"));
        println!("BROKEN: {line}");
    }
    let result = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.line(result);
    println!("{result}");
    exit(i32::from(!broken.is_empty()))
}
