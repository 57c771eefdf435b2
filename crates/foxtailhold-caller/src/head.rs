//! Parses the request headers that the system interprets.

use foxtailhold::ids::{IdempotencyKey, RequestId};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use http::{HeaderMap, header, request};

use crate::gateway::{Gateway, RequestContext};

/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that marks a request that must not be repeated; its only value is `never`.
pub const REPEAT: &str = "foxtailhold-repeat";
/// Header that carries the time for which the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "foxtailhold-deadline-ms";

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let invalid = |_| Refusal::invalid(format!("header {name} is not visible ASCII"));
    value.to_str().map(Some).map_err(invalid)
}

fn api_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>> {
    let Some(value) = header_text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let key = IdempotencyKey::try_from(value).map_err(|e| Refusal::invalid(e.to_string()))?;
    Ok(Some(key))
}

fn never_repeat(headers: &HeaderMap) -> Result<bool> {
    match header_text(headers, REPEAT)? {
        None => Ok(false),
        Some("never") => Ok(true),
        Some(other) => Err(Refusal::invalid(format!(
            "header {REPEAT} is {other:?}, its only value is \"never\""
        ))),
    }
}

fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>> {
    let Some(value) = header_text(headers, DEADLINE_MS)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(deadline_ms) if deadline_ms > 0 => Ok(Some(deadline_ms)),
        _ => Err(Refusal::invalid(format!(
            "header {DEADLINE_MS} is {value:?}, it must be a positive whole number"
        ))),
    }
}

/// Authenticates the caller by its API key and parses the request headers.
pub fn context<G: Gateway>(
    gateway: &G,
    id: &RequestId,
    head: &request::Parts,
) -> Result<RequestContext> {
    let headers = &head.headers;
    let api_key = api_key(headers).ok_or_else(|| Refusal::not_run(RefusalReason::Unauthorized))?;
    let context = RequestContext {
        id: id.clone(),
        contract: gateway.contract_of(api_key)?,
        idempotency_key: idempotency_key(headers)?,
        never_repeat: never_repeat(headers)?,
        deadline_ms: deadline_ms(headers)?,
    };
    if context.never_repeat && context.idempotency_key.is_none() {
        return Err(Refusal::invalid(format!(
            "a request with {REPEAT}: never needs an {IDEMPOTENCY_KEY} header"
        )));
    }
    Ok(context)
}
