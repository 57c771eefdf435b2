//! The daemon of one entry instance.

use std::process::ExitCode;

use foxtailhold_entry::cli::Cli;
use foxtailhold_entry::{Instance, Settings, logging};
use foxtailhold_platform::HttpPlatform;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match start(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn start(cli: Cli) -> miette::Result<()> {
    let settings = Settings::try_from(cli)?;
    logging::init(&settings.instance, logging::Output::Stderr)
        .map_err(foxtailhold_entry::EntryError::from)?;
    let runtime = runtime(settings.worker_threads);
    let runtime = runtime.map_err(foxtailhold_entry::EntryError::from)?;
    runtime.block_on(run(settings))
}

/// Builds a runtime with this number of worker threads; 0 starts one per core, and 1 uses the
/// current thread.
fn runtime(worker_threads: u64) -> std::io::Result<Runtime> {
    let mut builder = match worker_threads {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if worker_threads > 1 {
        builder.worker_threads(worker_threads as usize);
    }
    builder.enable_all().build()
}

async fn run(settings: Settings) -> miette::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(foxtailhold_entry::EntryError::from)?;
    let answer_bytes = settings.machine_limits.answer_bytes();
    let platform = HttpPlatform::with_answer_memory(settings.platform_address, answer_bytes);
    let instance = Instance::start(settings, platform).await?;
    println!("{}", instance.announcement());
    terminate.recv().await;
    instance.close().await?;
    Ok(())
}
