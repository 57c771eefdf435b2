//! An item's line to the actor that gives places.

use std::time::Duration;

use foxtailhold::batch_control::scheduler::{ItemKey, WaitingItem};
use foxtailhold::ids::BackendId;
use foxtailhold_platform::Platform;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::actors::note_undelivered;
use crate::messages::{PlaceSignal, StewardMessage};
use crate::shared::Shared;

/// Pause while the actor is not there.
const NO_ACTOR_PAUSE_MS: u64 = 100;

/// The line of one item. Dropping it gives up the place or the wait.
#[derive(Debug)]
pub struct PlaceLine<P: Platform> {
    shared: Shared<P>,
    item: ItemKey,
    sender: UnboundedSender<PlaceSignal>,
    signals: UnboundedReceiver<PlaceSignal>,
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

    fn tell(&self, message: StewardMessage) -> bool {
        let Some(actors) = self.shared.actors() else {
            return false;
        };
        let sent = actors.steward.send_message(message);
        let delivered = sent.is_ok();
        note_undelivered(sent);
        delivered
    }

    /// Waits for a place. A cut that came after the item had left its last place is passed over.
    pub async fn place(&mut self, waiting: &WaitingItem) -> BackendId {
        while !self.tell(StewardMessage::Wait(
            self.item,
            waiting.clone(),
            self.sender.clone(),
        )) {
            tokio::time::sleep(Duration::from_millis(NO_ACTOR_PAUSE_MS)).await;
        }
        loop {
            if let Some(PlaceSignal::Start(backend)) = self.signals.recv().await {
                return backend;
            }
        }
    }

    /// Waits until the place is lost.
    pub async fn cut(&mut self) {
        while self.signals.recv().await != Some(PlaceSignal::Cut) {}
    }

    /// Gives the place back.
    pub fn leave(&self) {
        self.tell(StewardMessage::Leave(self.item));
    }
}

impl<P: Platform> Drop for PlaceLine<P> {
    fn drop(&mut self) {
        self.leave();
    }
}
