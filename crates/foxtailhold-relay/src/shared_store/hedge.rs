//! Two paths to the store side by side.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use foxtailhold_platform::{PlatformError, Result};

/// Starts `second` when `first` has failed, or has not answered within `delay_ms`. The first
/// success is returned, or the first refusal of the call itself; if both fail, an error that leaves the
/// effect unknown goes first.
pub(super) async fn hedge<T>(
    first: impl Future<Output = Result<T>>,
    second: impl Future<Output = Result<T>>,
    delay_ms: u64,
) -> Result<T> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let early = tokio::time::timeout(Duration::from_millis(delay_ms), &mut first).await;
    match early {
        Ok(Ok(answer)) => return Ok(answer),
        Ok(Err(error)) if error.is_rejected() => return Err(error),
        Ok(Err(error)) => return second.await.map_err(|other| graver(error, other)),
        Err(_) => {}
    }
    tokio::select! {
        answer = &mut first => match answer {
            Ok(answer) => Ok(answer),
            Err(error) if error.is_rejected() => Err(error),
            Err(error) => second.await.map_err(|other| graver(error, other)),
        },
        answer = &mut second => match answer {
            Ok(answer) => Ok(answer),
            Err(error) if error.is_rejected() => Err(error),
            Err(error) => first.await.map_err(|other| graver(other, error)),
        },
    }
}

fn graver(error: PlatformError, other: PlatformError) -> PlatformError {
    match !error.may_have_taken_effect() && other.may_have_taken_effect() {
        true => other,
        false => error,
    }
}
