//! The steps of the simulation and the messages in transit between its processes.

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
    ControllerTick {
        controller: usize,
    },
    Report {
        controller: usize,
        lag_ms: u64,
    },
    Burst {
        requests: u8,
        notified: usize,
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
    SwitchController {
        owner: usize,
        controller: usize,
    },
    Kill {
        controller: usize,
    },
}

#[derive(Debug, Clone)]
pub enum Message {
    SlotRequest {
        controller: usize,
        request: BatchSlotRequest,
        sent_at: MonoMs,
    },
    Response {
        owner: usize,
        grant: BatchSlotGrant,
        requested_at: MonoMs,
    },
    PushedGrant {
        owner: usize,
        controller: usize,
        grant: BatchSlotGrant,
    },
    Usage {
        controller: usize,
        request: BatchSlotRequest,
    },
    Notice {
        controller: usize,
        notice: OnlineLoadNotice,
    },
}
