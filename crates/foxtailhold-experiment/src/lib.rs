//! Placement policies side by side on modelled engines, in virtual time.
//!
//! Engines batch continuously: a step takes longer with each request that runs, prompts are read in
//! between. Requests arrive in ebb and flood at many instances, batch jobs in between. A policy
//! decides, with messages that take time, which engine gets which request and when. The same
//! arrivals are played for each policy, so a difference is the policy's.
#![warn(clippy::unwrap_used)]

pub mod arrivals;
pub mod bound;
pub mod cli;
pub mod engine;
pub mod options;
pub mod placement;
pub mod plot;
pub mod report;
pub mod sheet;
pub mod statistics;
pub mod world;
