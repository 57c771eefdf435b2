//! A call to the store that another instance makes on behalf of this one.

use bytes::Bytes;
use foxtailhold_platform::{
    Changes, Committed, Feed, ObjectStore, PlatformError, Result, RowStore, Snapshot,
};
use serde::{Deserialize, Serialize};

/// The call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// See [`RowStore::commit`].
    Commit(Changes),
    /// See [`RowStore::read`].
    Read {
        /// Table.
        table: String,
        /// Partition.
        part: String,
        /// First key.
        from: String,
        /// Key after the last one.
        to: String,
    },
    /// See [`RowStore::follow`].
    Follow {
        /// Table.
        table: String,
        /// Version.
        after: u64,
        /// Longest wait.
        wait_ms: u64,
    },
    /// See [`ObjectStore::put_object`].
    Put(String, Bytes),
    /// See [`ObjectStore::get_object`].
    Get(String),
    /// See [`ObjectStore::delete_object`].
    Delete(String),
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// To a commit.
    Committed(Committed),
    /// To a read.
    Read(Snapshot),
    /// To a wait for changes.
    Followed(Feed),
    /// To a write or a deletion of an object.
    Written,
    /// To a read of an object.
    Object(Option<Bytes>),
    /// No answer, and nothing was done.
    Unavailable(String),
    /// No answer, and something may have been done.
    Unknown(String),
}

/// Name of the store in errors.
pub const SERVICE: &str = "store of another instance";

impl StoreCall {
    /// Makes the call.
    pub async fn make<S: RowStore + ObjectStore>(&self, store: &S) -> StoreAnswer {
        let made = match self {
            StoreCall::Commit(changes) => store.commit(changes).await.map(StoreAnswer::Committed),
            StoreCall::Read {
                table,
                part,
                from,
                to,
            } => store
                .read(table, part, from, to)
                .await
                .map(StoreAnswer::Read),
            StoreCall::Follow {
                table,
                after,
                wait_ms,
            } => {
                let followed = store.follow(table, *after, *wait_ms).await;
                followed.map(StoreAnswer::Followed)
            }
            StoreCall::Put(name, bytes) => {
                let put = store.put_object(name, bytes.clone()).await;
                put.map(|()| StoreAnswer::Written)
            }
            StoreCall::Get(name) => store.get_object(name).await.map(StoreAnswer::Object),
            StoreCall::Delete(name) => {
                let deleted = store.delete_object(name).await;
                deleted.map(|()| StoreAnswer::Written)
            }
        };
        made.unwrap_or_else(|error| match error.may_have_taken_effect() {
            true => StoreAnswer::Unknown(error.to_string()),
            false => StoreAnswer::Unavailable(error.to_string()),
        })
    }

    /// How long the store may take, beside its own limits.
    pub fn wait_ms(&self) -> u64 {
        match self {
            StoreCall::Follow { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

impl StoreAnswer {
    /// The answer, or the error that it tells.
    pub fn into_result(self) -> Result<StoreAnswer> {
        match self {
            StoreAnswer::Unavailable(detail) => Err(PlatformError::Unavailable {
                service: SERVICE,
                detail,
            }),
            StoreAnswer::Unknown(detail) => Err(PlatformError::Unknown {
                service: SERVICE,
                detail,
            }),
            answer => Ok(answer),
        }
    }
}
