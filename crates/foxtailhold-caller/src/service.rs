//! Calls to plain services.

use bytes::Bytes;
use foxtailhold::ids::TargetName;
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use http::{HeaderMap, HeaderName, header, request};

use crate::gateway::{PlainCall, RequestContext};

/// Path prefix that is followed by the name of the service.
pub const PREFIX: &str = "/v1/services/";
/// Maximum size of the body of a call.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Headers that are not forwarded: connection headers (RFC 9110, section 7.6.1), and headers that
/// are meant for this system.
const NOT_FORWARDED: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded_headers = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if NOT_FORWARDED.contains(name) {
            continue;
        }
        forwarded_headers.append(name.clone(), value.clone());
    }
    forwarded_headers
}

/// Builds the call from the path, headers and body of a request.
pub fn read(context: RequestContext, head: &request::Parts, body: Bytes) -> Result<PlainCall> {
    let path = head.uri.path();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = TargetName::try_from(name).map_err(|_| {
        let name = name.to_owned();
        Refusal::not_run(RefusalReason::UnknownTarget { name })
    })?;
    let path_and_query = match head.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok(PlainCall {
        context,
        service,
        method: head.method.clone(),
        path_and_query,
        headers: forwarded_headers(&head.headers),
        body,
    })
}
