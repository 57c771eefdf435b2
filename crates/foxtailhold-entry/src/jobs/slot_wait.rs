//! An item's line to the actor that gives places.

use std::time::Duration;

use foxtailhold::batch_control::scheduler::{ItemKey, WaitingItem};
use foxtailhold::ids::BackendId;
use foxtailhold_platform::Platform;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::actors::log_undelivered;
use crate::messages::{BatchControllerMessage, SlotSignal};
use crate::shared::Shared;

/// Pause while the actor is not there.
const NO_ACTOR_PAUSE_MS: u64 = 100;

/// The line of one item. Dropping it gives up the place or the wait.
#[derive(Debug)]
pub struct PlaceLine<P: Platform> {
    shared: Shared<P>,
    item: ItemKey,
    sender: UnboundedSender<SlotSignal>,
    signals: UnboundedReceiver<SlotSignal>,
}

impl<P: Platform> PlaceLine<P> {
    /// A line of a new item.
    pub fn new(shared: &Shared<P>) -> Self {
        let (sender, signals) = unbounded_channel();
        PlaceLine {
            shared: shared.clone(),
            item: shared.item_key(),
            sender,
            signals,
        }
    }

    fn tell(&self, message: BatchControllerMessage) -> bool {
        let Some(actors) = self.shared.actors() else {
            return false;
        };
        let sent = actors.batch_controller.send_message(message);
        let delivered = sent.is_ok();
        log_undelivered(sent);
        delivered
    }

    /// Waits for a place. A cut that came after the item had left its last place is passed over.
    pub async fn place(&mut self, waiting: &WaitingItem) -> BackendId {
        while !self.tell(BatchControllerMessage::ItemWaiting(
            self.item,
            waiting.clone(),
            self.sender.clone(),
        )) {
            tokio::time::sleep(Duration::from_millis(NO_ACTOR_PAUSE_MS)).await;
        }
        loop {
            if let Some(SlotSignal::Start(backend)) = self.signals.recv().await {
                return backend;
            }
        }
    }

    /// Waits until the place is lost.
    pub async fn cut(&mut self) {
        while self.signals.recv().await != Some(SlotSignal::Preempt) {}
    }

    /// Gives the place back.
    pub fn leave(&self) {
        self.tell(BatchControllerMessage::ItemLeft(self.item));
    }
}

impl<P: Platform> Drop for PlaceLine<P> {
    fn drop(&mut self) {
        self.leave();
    }
}
