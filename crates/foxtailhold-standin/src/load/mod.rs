//! The load command: open-loop arrivals through real processes, with batch beside online, for each
//! batch policy in the same run.

pub mod batch;
pub mod caller;
pub mod fault;
pub mod plot;
pub mod recorder;
pub mod report;
pub mod run;
pub mod scenario;

pub use run::run;
