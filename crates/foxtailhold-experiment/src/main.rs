//! Command-line program that simulates the policies and prints the report.

use std::process::ExitCode;

use foxtailhold_experiment::bound::online_load;
use foxtailhold_experiment::cli::Cli;
use foxtailhold_experiment::options::Options;
use foxtailhold_experiment::plot;

fn main() -> ExitCode {
    match run(argh::from_env()) {
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

fn run(cli: Cli) -> miette::Result<String> {
    let options = Options::try_from(cli)?;
    let report = options.simulate()?;
    if let Some(directory) = &options.plots {
        plot::write(&report, directory)?;
    }
    let (off_peak, peak) = online_load(&options.sheet);
    let head = format!(
        "{}: online needs {:.0}% of all slots in the ebb, {:.0}% in the flood; {} seeds of {} s\n\n",
        report.deployment,
        off_peak * 100.0,
        peak * 100.0,
        options.seeds,
        options.length_us / 1_000_000
    );
    Ok(head + &report.table())
}
