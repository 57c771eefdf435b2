//! Encoding of peer messages: one bincode value as the body of each request and answer.

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{PeerError, Result};

/// Size limit of a message. A snapshot of 31,000 contracts takes about a third of it.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

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

/// Reads a message body to its end; fails with [`PeerError::TooLarge`] above [`MAX_MESSAGE_BYTES`].
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
