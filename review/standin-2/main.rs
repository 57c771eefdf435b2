//! Runs the cases of the second review that are scripts: `review-2 CASE`, from the repository's root, with
//! the folder for the record in `RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. `TROUBLE=0` does the same without the trouble.

mod cut_case;
mod cut_replica;
mod http;
mod items;
mod json;
mod node;
mod output_case;
mod record;
mod refusal_case;
mod replicas;
mod settings_case;
mod store;

use std::path::PathBuf;

/// Status of a case that could not run.
const NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [name, id, port] = &arguments[..]
        && name == "replica"
    {
        let port = port.parse().expect("the port is a number");
        return cut_replica::serve(id, port);
    }
    let case = arguments.first().cloned().unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(std::env::var("RECORD").unwrap_or_else(|_| ".".into()));
    let record = record::Record::create(&folder.join("record.txt"));
    let temporary = record::temporary_folder();
    record::seed_random();
    let status = match case.as_str() {
        "output" => output_case::run(&temporary, &record, has_trouble),
        "cut" => cut_case::run(&temporary, &record, has_trouble),
        "refusal" => refusal_case::run(&temporary, &record, has_trouble),
        "settings" => settings_case::run(&temporary, &record, has_trouble),
        other => {
            record.line(&format!("there is no case {other:?}"));
            NOT_RUN
        }
    };
    if let Err(error) = std::fs::remove_dir_all(&temporary) {
        record.line(&format!("{} is left: {error}", temporary.display()));
    }
    std::process::exit(status);
}
