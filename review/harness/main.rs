//! Cases of the review: each starts instances of the program, stand-ins for the platform, and consumers, and says whether a
//! rule was broken. Exit code: 1 broken, 0 held, 2 the case couldn't run.

mod client;
mod drill;
mod fleet;
mod http;
mod joined;
mod platform;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// How a run went.
pub enum Verdict {
    Broken(Vec<String>),
    Held,
}

/// Arguments of a case.
pub struct Setup {
    pub program: PathBuf,
    /// False for the control run without the disruption.
    pub has_trouble: bool,
    pub record: Record,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("record: {err}");
            return ExitCode::from(2);
        }
    };
    let setup = Setup {
        program: PathBuf::from("target/release/marigoldlock"),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: record.clone(),
    };
    record.say(format!(
        "case {case}, disruption {}",
        if setup.has_trouble { "on" } else { "off" }
    ));
    let result = match case.as_str() {
        "same-fence" => drill::same_fence(&setup),
        "joined" => joined::joined(&setup),
        "unseen-leaving" => drill::unseen_leaving(&setup),
        "duty-hangs" => drill::duty_hangs(&setup),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(Verdict::Held) => {
            record.say("verdict: held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(faults)) => {
            for fault in faults {
                record.say(format!("BROKEN: {fault}"));
            }
            record.say("verdict: broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.say(format!("could not run: {err}"));
            ExitCode::from(2)
        }
    }
}
