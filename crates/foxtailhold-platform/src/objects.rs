//! Interfaces of the object store and the weight store.

use std::future::Future;

use bytes::Bytes;

use crate::error::Result;

/// Store of named, immutable objects. An object is written as a whole.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Writes an object. Idempotent for the same name and bytes.
    fn put_object(&self, name: &str, bytes: Bytes) -> impl Future<Output = Result<()>> + Send;

    /// Reads an object; `None` if it does not exist.
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Deletes an object. Succeeds if it does not exist.
    fn delete_object(&self, name: &str) -> impl Future<Output = Result<()>> + Send;

    /// Lists, in order, at most `limit` names that start with `prefix` and are greater than
    /// `after`.
    fn list_objects(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<String>>> + Send;
}

/// Store of model weights, which are served at a limited rate.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Lists the names of the models whose weights are stored.
    fn weights(&self) -> impl Future<Output = Result<Vec<String>>> + Send;
}
