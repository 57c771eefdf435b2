//! The `foxtail` command line for operators.

use std::process::ExitCode;

use foxtailhold_operator::cli::Cli;
use foxtailhold_operator::command;
use foxtailhold_operator::options::Options;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(cli: Cli) -> miette::Result<String> {
    let options = Options::try_from(cli)?;
    Ok(command::run(&options).await?)
}
