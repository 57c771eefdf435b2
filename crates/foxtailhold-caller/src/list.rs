//! Paginated lists in the format of the OpenAI API.

use foxtailhold::refusal::{Refusal, Result};
use foxtailhold_http::body::{self, AnswerBody};
use http::{Response, StatusCode, Uri};
use serde::Serialize;

/// Page sizes of one kind of list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListLimits {
    /// Page size if the request has no `limit`.
    pub default: usize,
    /// Largest accepted `limit`.
    pub max: usize,
}

/// The page requested by the query parameters `after` and `limit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Page<'a> {
    /// Identifier of the last entry before the page; empty for the first page.
    pub after: &'a str,
    /// Maximum number of entries on the page.
    pub limit: usize,
}

impl<'a> Page<'a> {
    /// Parses the query parameters. A `limit` of 0 or above `limits.max` is refused.
    pub fn read(uri: &'a Uri, limits: ListLimits) -> Result<Self> {
        let after = query_value(uri, "after").unwrap_or_default();
        let Some(text) = query_value(uri, "limit") else {
            let limit = limits.default;
            return Ok(Page { after, limit });
        };
        match text.parse() {
            Ok(limit) if (1..=limits.max).contains(&limit) => Ok(Page { after, limit }),
            _ => Err(Refusal::invalid(format!(
                "limit must be a whole number from 1 to {}",
                limits.max
            ))),
        }
    }
}

#[derive(Debug, Serialize)]
struct ListBody<'a, T> {
    object: &'static str,
    data: Vec<T>,
    first_id: Option<&'a str>,
    last_id: Option<&'a str>,
    has_more: bool,
}

/// Builds the response with the first `limit` of `entries`. Callers fetch one entry more than
/// `limit` so that `has_more` can be set.
pub fn page<'a, E, T: Serialize>(
    entries: &'a [E],
    limit: usize,
    id: impl Fn(&'a E) -> &'a str,
    body: impl Fn(&'a E) -> T,
) -> Response<AnswerBody> {
    let page_entries = &entries[..entries.len().min(limit)];
    let list = ListBody {
        object: "list",
        data: page_entries.iter().map(body).collect(),
        first_id: page_entries.first().map(&id),
        last_id: page_entries.last().map(&id),
        has_more: entries.len() > limit,
    };
    body::json(StatusCode::OK, &list)
}

/// Returns the value of a query parameter without percent-decoding it.
pub fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    for pair in uri.query()?.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value);
        }
    }
    None
}
