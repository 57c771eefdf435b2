//! Plays one case of the review against the program of the deploy file and stand-ins.
//!
//! `review-standin CASE FOLDER RECORD`. The exit code is 0 if the rule held, 1 if it was broken and 2
//! if the case could not run. Without `TROUBLE=0` in the environment the disruption is played.

mod client;
mod crashes;
mod deadly_items;
mod deployment;
mod late_row;
mod moved_route;
mod outage;
mod proxy;
mod record;
mod replica;
mod silent_feed;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// Why a case could not run.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Result of a step of a case.
pub type Result<T> = std::result::Result<T, Error>;

/// What a case has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

async fn play(case: &str, folder: &Path, record: &Record) -> Result<Verdict> {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    match case {
        "outage" => outage::run(has_trouble, folder, record).await,
        "deadly-items" => deadly_items::run(has_trouble, folder, record).await,
        "silent-feed" => silent_feed::run(has_trouble, folder, record).await,
        "moved-route" => moved_route::run(has_trouble, folder, record).await,
        "late-row" => late_row::run(has_trouble, folder, record).await,
        "crashes" => crashes::run(has_trouble, folder, record).await,
        _ => Err(format!("there is no case {case}").into()),
    }
}

/// Plays the case unless SIGTERM comes before its end. Either way all processes are ended.
async fn play_until_stopped(case: &str, folder: &Path, record: &Record) -> Result<Verdict> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        verdict = play(case, folder, record) => verdict,
        _ = terminate.recv() => Err("stopped by SIGTERM".into()),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be created: {error}");
            return ExitCode::from(2);
        }
    };
    let (text, code) = match play_until_stopped(case, Path::new(folder), &record).await {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
