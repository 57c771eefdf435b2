//! What happens in the world, and what is under way between its processes.

use foxtailhold::batch_control::{BatchSlotGrant, BatchSlotRequest, OnlineLoadNotice};
use foxtailhold::time::MonoMs;

#[derive(Debug, Clone)]
pub enum Step {
    Advance {
        ms: u64,
    },
    Offer {
        owner: usize,
        items: u8,
        slack_s: u64,
    },
    End {
        owner: usize,
        nth: usize,
    },
    Stop {
        owner: usize,
        nth: usize,
    },
    OwnerTick {
        owner: usize,
    },
    StewardTick {
        steward: usize,
    },
    Report {
        steward: usize,
        lag_ms: u64,
    },
    Burst {
        requests: u8,
        told: usize,
        pressed: bool,
    },
    OnlineEnds {
        requests: u8,
    },
    Deliver {
        nth: usize,
    },
    Lose {
        nth: usize,
    },
    Repeat {
        nth: usize,
    },
    Follow {
        owner: usize,
        steward: usize,
    },
    Kill {
        steward: usize,
    },
}

#[derive(Debug, Clone)]
pub enum Message {
    Ask {
        steward: usize,
        ask: BatchSlotRequest,
        sent_at: MonoMs,
    },
    Answer {
        owner: usize,
        grant: BatchSlotGrant,
        asked_at: MonoMs,
    },
    Push {
        owner: usize,
        steward: usize,
        grant: BatchSlotGrant,
    },
    Told {
        steward: usize,
        ask: BatchSlotRequest,
    },
    Notice {
        steward: usize,
        notice: OnlineLoadNotice,
    },
}
