//! Cases of the third review: each starts a platform of stand-ins and real instances, brings
//! one kind of disruption about, and checks a rule on what clients and minions have seen.
//!
//! `review-3 CASE` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` it leaves the disruption out.

mod cases;
mod http;
mod json;
mod minion;
mod store;
mod system;
mod wire;

use std::panic::catch_unwind;
use std::process::exit;

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
    CouldNotRun(String),
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = catch_unwind(|| play(&case, trouble));
    let verdict =
        verdict.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in has failed".into()));
    match verdict {
        Verdict::Held => {
            println!("the rule held");
            exit(0);
        }
        Verdict::Broken(faults) => {
            faults.iter().for_each(|fault| println!("BROKEN: {fault}"));
            exit(1);
        }
        Verdict::CouldNotRun(why) => {
            println!("the case could not run: {why}");
            exit(2);
        }
    }
}

/// Plays a case.
fn play(case: &str, trouble: bool) -> Verdict {
    match case {
        "moved" => cases::moved(trouble),
        "unseen" => cases::unseen(trouble),
        "undead" => cases::undead(trouble),
        "twice" => cases::twice(trouble),
        "expiry" => cases::expiry(trouble),
        "flap" => cases::flap(trouble),
        "tired" => cases::tired(trouble),
        "alone" => cases::alone(trouble),
        "starved" => cases::starved(trouble),
        _ => Verdict::CouldNotRun(format!("there is no case `{case}`")),
    }
}
