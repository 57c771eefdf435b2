//! An item's channel to the batch controller actor, which assigns slots.

use std::time::Duration;

use foxtailhold::batch_control::scheduler::{ItemKey, WaitingItem};
use foxtailhold::ids::BackendId;
use foxtailhold_platform::Platform;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::actors::log_undelivered;
use crate::messages::{BatchControllerMessage, SlotSignal};
use crate::shared::Shared;

/// Wait before sending again while the actor is not running.
const RESEND_DELAY_MS: u64 = 100;

/// The channel of one item. Dropping it releases the slot or ends the wait for one.
#[derive(Debug)]
pub struct SlotChannel<P: Platform> {
    shared: Shared<P>,
    item: ItemKey,
    sender: UnboundedSender<SlotSignal>,
    signals: UnboundedReceiver<SlotSignal>,
}

impl<P: Platform> SlotChannel<P> {
    /// Opens the channel of an item under a new key.
    pub fn new(shared: &Shared<P>) -> Self {
        let (sender, signals) = unbounded_channel();
        SlotChannel {
            shared: shared.clone(),
            item: shared.item_key(),
            sender,
            signals,
        }
    }

    fn send(&self, message: BatchControllerMessage) -> bool {
        let Some(actors) = self.shared.actors() else {
            return false;
        };
        let sent = actors.batch_controller.send_message(message);
        let delivered = sent.is_ok();
        log_undelivered(sent);
        delivered
    }

    /// Waits for a slot. Ignores a preemption that arrived after the item had left its last slot.
    pub async fn wait_for_slot(&mut self, waiting: &WaitingItem) -> BackendId {
        while !self.send(BatchControllerMessage::ItemWaiting(
            self.item,
            waiting.clone(),
            self.sender.clone(),
        )) {
            tokio::time::sleep(Duration::from_millis(RESEND_DELAY_MS)).await;
        }
        loop {
            if let Some(SlotSignal::Start(backend)) = self.signals.recv().await {
                return backend;
            }
        }
    }

    /// Waits until the item is preempted.
    pub async fn wait_for_preemption(&mut self) {
        while self.signals.recv().await != Some(SlotSignal::Preempt) {}
    }

    /// Releases the slot.
    pub fn release(&self) {
        self.send(BatchControllerMessage::ItemLeft(self.item));
    }
}

impl<P: Platform> Drop for SlotChannel<P> {
    fn drop(&mut self) {
        self.release();
    }
}
