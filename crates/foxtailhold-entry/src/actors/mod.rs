//! Actors that own the background state of an instance and publish snapshots of it for the request
//! path.

pub mod batch_controller;
pub mod contracts;
pub mod crashes;
pub mod fleet;
pub mod idempotency_sweep;
pub mod jobs;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod orders;

use std::time::Duration;

use ractor::{ActorRef, Message};
use rand::Rng;

/// Sends `message` to an actor at once and then every `period_ms` until the actor stops. A jitter
/// of up to a tenth of the period keeps instances that started together from acting in step.
pub(crate) fn tick<M: Message>(actor: &ActorRef<M>, message: fn() -> M, period_ms: u64) {
    let actor = actor.clone();
    tokio::spawn(async move {
        while actor.send_message(message()).is_ok() {
            let jitter_ms = rand::rng().random_range(0..=period_ms / 10);
            tokio::time::sleep(Duration::from_millis(period_ms + jitter_ms)).await;
        }
    });
}

/// Logs a message that could not be delivered because its actor has stopped.
pub(crate) fn log_undelivered<M>(sent: std::result::Result<(), ractor::MessagingErr<M>>) {
    if sent.is_err() {
        log::debug!("message dropped: its actor has stopped");
    }
}
