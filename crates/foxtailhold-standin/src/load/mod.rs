//! The load command: sends open-loop online requests, with batch jobs beside them, through a
//! deployment of separate processes, and compares the batch policies.

pub mod batch;
pub mod caller;
pub mod fault;
pub mod plot;
pub mod recorder;
pub mod report;
pub mod run;
pub mod scenario;

pub use run::run;
