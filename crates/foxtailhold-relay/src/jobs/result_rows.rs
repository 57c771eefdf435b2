//! Rows of the results of items.

use bytes::Bytes;
use foxtailhold::ids::JobId;
use foxtailhold_platform::{RowKey, VersionedRow};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::jobs::row_encoding::encode_row;
use crate::jobs::split::{ResultForm, split_text};
use crate::jobs::{ItemState, JobError, ListedResult, RESULTS_TABLE, Result};

/// Last part of a result whose key has two digits for it.
const MAX_SHORT_PART: usize = 99;

/// Part of a result in one row.
#[derive(Debug, Serialize, Deserialize)]
struct ResultPart {
    item: String,
    state: ItemState,
    text: String,
    is_last: bool,
    /// Hash of the whole text; `None` in rows of builds that did not record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text_hash: Option<u64>,
}

/// Keys are in the order of positions and parts.
pub(super) fn result_key(id: &JobId, position: usize, part: usize) -> String {
    match part {
        0..=MAX_SHORT_PART => format!("{id}/{position:05}.{part:02}"),
        _ => format!("{id}/{position:05}.{MAX_SHORT_PART}.{part:05}"),
    }
}

/// Job and position in the key of a result's row.
fn position_in_key(key: &str) -> Option<&str> {
    let position_at = key.rfind('/')? + 1;
    let part_at = position_at + key[position_at..].find('.')?;
    Some(&key[..part_at])
}

/// Encodes the rows of a result at `position`.
pub(super) fn result_rows(
    id: &JobId,
    position: usize,
    result: &ListedResult,
    form: ResultForm,
) -> Result<Vec<(RowKey, Bytes)>> {
    let texts = split_text(&result.text, form.max_text_bytes());
    let last = texts.len() - 1;
    let text_hash = xxh3_64(result.text.as_bytes());
    let rows = texts.into_iter().enumerate().map(|(number, text)| {
        let part = ResultPart {
            item: result.item.clone(),
            state: result.state,
            text: text.to_owned(),
            is_last: number == last,
            text_hash: Some(text_hash),
        };
        let key = result_key(id, position, number);
        Ok((RowKey::new(RESULTS_TABLE, &key), encode_row(id, &part)?))
    });
    rows.collect()
}

/// Decodes the results whose rows are complete, up to one whose rows are of several texts.
pub(super) fn decode_results(id: &JobId, rows: &[VersionedRow]) -> Result<Vec<ListedResult>> {
    let mut results = Vec::new();
    let mut text = String::new();
    let mut complete_position = None;
    let mut first_part: Option<(String, Option<u64>)> = None;
    for row in rows {
        // Rows of an earlier owner may be left behind the last one of the listed result.
        let position = position_in_key(&row.key.key);
        if position.is_some() && position == complete_position {
            continue;
        }
        let value = row.value.as_deref().unwrap_or_default();
        let part: ResultPart =
            serde_json::from_slice(value).map_err(|error| JobError::Malformed {
                job: id.clone(),
                detail: error.to_string(),
            })?;
        let of_text = (part.item.clone(), part.text_hash);
        if *first_part.get_or_insert_with(|| of_text.clone()) != of_text {
            log_mixed(id, &part.item);
            break;
        }
        text.push_str(&part.text);
        if !part.is_last {
            continue;
        }
        complete_position = position;
        if part
            .text_hash
            .is_some_and(|hash| hash != xxh3_64(text.as_bytes()))
        {
            log_mixed(id, &part.item);
            break;
        }
        first_part = None;
        results.push(ListedResult {
            item: part.item,
            state: part.state,
            text: std::mem::take(&mut text),
        });
    }
    Ok(results)
}

fn log_mixed(id: &JobId, item: &str) {
    log::error!(job = id.as_str(), item = item; "rows of a result are of several texts");
}
