//! Encoding of peer messages: one bincode value as the body of each request and answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use foxtailhold_http::body::BodyParts;
use foxtailhold_http::memory::{GrowingReservation, MemoryBudget, MemoryExhausted};
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{PeerError, Result};

/// Size limit of a message. A snapshot of 31,000 contracts takes about a third of it.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Longest pause between two parts of a message.
const MAX_PAUSE_MS: u64 = 5_000;

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message as bincode.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = bincode::serde::encode_to_vec(message, config())?;
    Ok(bytes.into())
}

/// Decodes a message; fails with [`PeerError::Decode`] if it is malformed or over the size limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, _) = bincode::serde::decode_from_slice(bytes, config())?;
    Ok(message)
}

/// Decodes the message at the start of `bytes`, and returns the bytes after it. Later versions append
/// to messages there, so that earlier ones still read what they know.
pub fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8])> {
    let (message, length) = bincode::serde::decode_from_slice(bytes, config())?;
    Ok((message, &bytes[length..]))
}

/// Reads the message of a peer to its end, with memory from `memory` as long as the message is held. It
/// gives way to others while it makes no progress.
pub async fn read_message(body: RecvStream, memory: &MemoryBudget) -> Result<Bytes> {
    let mut reservation = memory.grow_body();
    let eviction = reservation.eviction();
    let reading = read_parts(body, &mut reservation);
    let parts = tokio::select! {
        parts = reading => parts?,
        () = eviction.cancelled() => return Err(MemoryExhausted { bytes: 0 }.into()),
    };
    Ok(reservation.close().keep_with(parts.into_bytes()))
}

async fn read_parts(
    mut body: RecvStream,
    reservation: &mut GrowingReservation,
) -> Result<BodyParts> {
    let mut parts = BodyParts::default();
    let idle = Duration::from_millis(MAX_PAUSE_MS);
    loop {
        let next = tokio::time::timeout(idle, body.data()).await;
        let idle_ms = MAX_PAUSE_MS;
        let Some(data) = next.map_err(|_| PeerError::Slow { idle_ms })? else {
            return Ok(parts);
        };
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        let total_bytes = parts.total_bytes() + data.len();
        if total_bytes > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge {
                limit_bytes: MAX_MESSAGE_BYTES,
            });
        }
        let needed_bytes = BodyParts::reserved_bytes(total_bytes);
        reservation.grow_to(needed_bytes).await?;
        parts.push(&data);
        reservation.record_progress(total_bytes);
    }
}

/// Reads the body of an answer to its end; fails with [`PeerError::TooLarge`] above [`MAX_MESSAGE_BYTES`].
pub async fn read_body(mut body: RecvStream) -> Result<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        if whole.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge {
                limit_bytes: MAX_MESSAGE_BYTES,
            });
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
