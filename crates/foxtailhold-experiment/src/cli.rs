//! Command-line arguments before validation.

use argh::FromArgs;

/// Play placement policies side by side on modelled engines, in virtual time.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// the deployment's sheet, a TOML file
    #[argh(option)]
    pub sheet: String,
    /// policies with commas between them, of allocator, shared-view, in-answers, alone; default all
    #[argh(
        option,
        default = "String::from(\"allocator,shared-view,in-answers,alone\")"
    )]
    pub policies: String,
    /// runs of each policy, with the seeds 1 to this; default 4
    #[argh(option, default = "4")]
    pub seeds: u64,
    /// length of a run in seconds; default 60
    #[argh(option, default = "60")]
    pub seconds: u64,
    /// factor of all rates of arrival; default 1
    #[argh(option, default = "1.0")]
    pub load: f64,
    /// second at which all instances are lost
    #[argh(option)]
    pub lost_at_s: Option<f64>,
    /// how long they are away in milliseconds; default 1300
    #[argh(option, default = "1300")]
    pub lost_for_ms: u64,
    /// directory for plots
    #[argh(option)]
    pub plots: Option<String>,
}
