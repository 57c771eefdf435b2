//! Actors that own the slow state of an instance and publish snapshots of it.

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

/// Sends a message to an actor now and then every `period_ms` until it stops, with a jitter of a
/// tenth, so that instances started together drift apart.
pub(crate) fn tick<M: Message>(actor: &ActorRef<M>, message: fn() -> M, period_ms: u64) {
    let actor = actor.clone();
    tokio::spawn(async move {
        while actor.send_message(message()).is_ok() {
            let jitter_ms = rand::rng().random_range(0..=period_ms / 10);
            tokio::time::sleep(Duration::from_millis(period_ms + jitter_ms)).await;
        }
    });
}

/// Notes that a message could not be delivered because the actor has stopped.
pub(crate) fn log_undelivered<M>(sent: std::result::Result<(), ractor::MessagingErr<M>>) {
    if sent.is_err() {
        log::debug!("a message came after its actor had stopped");
    }
}
