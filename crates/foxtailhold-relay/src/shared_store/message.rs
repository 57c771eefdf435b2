//! Store calls that another instance makes on behalf of this one.

use bytes::Bytes;
use foxtailhold_platform::{
    Changes, Committed, Feed, ObjectStore, PlatformError, Result, RowStore, Snapshot,
};
use serde::{Deserialize, Serialize};

/// A store call, encoded with bincode: the order of variants and fields is the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// See [`RowStore::commit`].
    Commit(Changes),
    /// See [`RowStore::read`].
    Read {
        /// Name of the table.
        table: String,
        /// Partition of the table.
        part: String,
        /// First key.
        from: String,
        /// End of the key range, exclusive.
        to: String,
    },
    /// See [`RowStore::follow`].
    Follow {
        /// Name of the table.
        table: String,
        /// Version after which changes are requested.
        after: u64,
        /// Longest wait for a change.
        wait_ms: u64,
    },
    /// See [`ObjectStore::put_object`].
    Put(String, Bytes),
    /// See [`ObjectStore::get_object`].
    Get(String),
    /// See [`ObjectStore::delete_object`].
    Delete(String),
}

/// Answer of the store to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// Answers a commit.
    Committed(Committed),
    /// Answers a read.
    Read(Snapshot),
    /// Answers a wait for changes.
    Followed(Feed),
    /// Answers a write or deletion of an object.
    Written,
    /// Answers a read of an object.
    Object(Option<Bytes>),
    /// The call failed and had no effect.
    Unavailable(String),
    /// The call failed and may have had an effect.
    Unknown(String),
    /// The store refuses the call itself. It is sent to other instances as a status, which earlier
    /// versions take for an error without effect.
    Rejected(String),
}

/// Name of the store in error messages.
pub const SERVICE: &str = "store of another instance";

impl StoreCall {
    /// Executes the call at `store`.
    pub async fn execute<S: RowStore + ObjectStore>(&self, store: &S) -> StoreAnswer {
        let result = match self {
            StoreCall::Commit(changes) => {
                let committed = store.commit(changes).await;
                committed.map(|committed| match committed {
                    Committed::Refused(detail) => StoreAnswer::Rejected(detail),
                    committed => StoreAnswer::Committed(committed),
                })
            }
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
                let written = store.put_object(name, bytes.clone()).await;
                written.map(|()| StoreAnswer::Written)
            }
            StoreCall::Get(name) => store.get_object(name).await.map(StoreAnswer::Object),
            StoreCall::Delete(name) => {
                let deleted = store.delete_object(name).await;
                deleted.map(|()| StoreAnswer::Written)
            }
        };
        result.unwrap_or_else(|error| match error {
            PlatformError::Rejected { detail, .. } => StoreAnswer::Rejected(detail),
            PlatformError::Unavailable { .. } => StoreAnswer::Unavailable(error.to_string()),
            _ => StoreAnswer::Unknown(error.to_string()),
        })
    }

    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StoreCall::Commit(_) => "commit",
            StoreCall::Read { .. } => "read",
            StoreCall::Follow { .. } => "follow",
            StoreCall::Put(..) => "put_object",
            StoreCall::Get(_) => "get_object",
            StoreCall::Delete(_) => "delete_object",
        }
    }

    /// Table of a read or a wait for changes; of a commit, that of the first row that it changes.
    pub fn table(&self) -> Option<&str> {
        match self {
            StoreCall::Commit(changes) => {
                let mut keys = changes
                    .puts
                    .iter()
                    .map(|(key, _)| key)
                    .chain(&changes.deletes);
                keys.next().map(|key| key.table.as_str())
            }
            StoreCall::Read { table, .. } | StoreCall::Follow { table, .. } => Some(table),
            _ => None,
        }
    }

    /// Time that the call itself may wait, in addition to the limits of the store.
    pub fn wait_ms(&self) -> u64 {
        match self {
            StoreCall::Follow { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

impl StoreAnswer {
    /// Returns the answer, or the error that it carries.
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
            StoreAnswer::Rejected(detail) => Err(PlatformError::Rejected {
                service: SERVICE,
                detail,
            }),
            answer => Ok(answer),
        }
    }
}
