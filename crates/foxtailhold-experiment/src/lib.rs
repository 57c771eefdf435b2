//! Compares placement policies on modelled engines in virtual time.
//!
//! Engines batch continuously: a step takes longer with each running request, and prompts are read
//! between steps. Online requests arrive at many instances at a rate that alternates between
//! off-peak and peak, together with batch jobs. A policy decides which engine gets which request
//! and when, with messages that take time. Each policy is played with the same arrivals, so
//! differences in the results come from the policy.
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
