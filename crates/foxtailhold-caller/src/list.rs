//! Lists with pages in the OpenAI form.

use foxtailhold::refusal::{Refusal, Result};
use foxtailhold_http::body::{self, AnswerBody};
use http::{Response, StatusCode, Uri};
use serde::Serialize;

/// How many entries a page may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListLimits {
    /// Entries of a page that asks for no other number.
    pub default: usize,
    /// Most entries of a page.
    pub max: usize,
}

/// The page asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Page<'a> {
    /// Identifier of the last entry before the page; empty for the first page.
    pub after: &'a str,
    /// Most entries.
    pub limit: usize,
}

impl<'a> Page<'a> {
    /// Reads `after` and `limit`.
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

/// A list object.
#[derive(Debug, Serialize)]
struct ListBody<'a, T> {
    object: &'static str,
    data: Vec<T>,
    first_id: Option<&'a str>,
    last_id: Option<&'a str>,
    has_more: bool,
}

/// The page of at most `limit` of `entries`; one entry more tells that there are more.
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

/// The value of a query parameter, as sent.
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
