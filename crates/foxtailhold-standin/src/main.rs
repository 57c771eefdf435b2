//! Entry point of `foxtailhold-standin`.

use std::process::ExitCode;

use foxtailhold_standin::command;

#[tokio::main]
async fn main() -> ExitCode {
    match command::run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}
