//! Routing: the resource that a path refers to, and the methods that it accepts.

use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use http::Method;

use crate::gateway::RequestKind;
use crate::service;

/// Path of the list of instances to use. It is the only path that needs no API key.
pub const ENTRIES_PATH: &str = "/v1/entries";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";

/// A resource of the caller API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// List of instances to use.
    Entries,
    /// Completions. The path is the same at the engine.
    Inference(&'static str),
    /// List of models.
    Models,
    /// One model, by name.
    Model(&'a str),
    /// List of files; upload.
    Files,
    /// Metadata of one file, by identifier.
    File(&'a str),
    /// Content of one file, by identifier.
    FileContent(&'a str),
    /// List of batch jobs; creation.
    Batches,
    /// One batch job, by identifier.
    Batch(&'a str),
    /// Cancellation of a batch job, by identifier.
    BatchCancel(&'a str),
    /// Any path below [`service::PREFIX`], passed to a plain service.
    Service,
}

impl<'a> Route<'a> {
    /// Returns the resource at `path`, or a not-found refusal.
    pub fn of(path: &'a str) -> Result<Self> {
        if path.starts_with(service::PREFIX) {
            return Ok(Route::Service);
        }
        if let Some(name) = path.strip_prefix("/v1/models/") {
            return Ok(Route::Model(name));
        }
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        Ok(match segments.as_slice() {
            ["v1", "entries"] => Route::Entries,
            ["v1", "chat", "completions"] => Route::Inference(CHAT_PATH),
            ["v1", "completions"] => Route::Inference(COMPLETIONS_PATH),
            ["v1", "models"] => Route::Models,
            ["v1", "files"] => Route::Files,
            ["v1", "files", id] => Route::File(id),
            ["v1", "files", id, "content"] => Route::FileContent(id),
            ["v1", "batches"] => Route::Batches,
            ["v1", "batches", id] => Route::Batch(id),
            ["v1", "batches", id, "cancel"] => Route::BatchCancel(id),
            _ => return Err(not_found(path)),
        })
    }

    /// Returns the request kind under which metrics count the route.
    pub fn kind(&self) -> RequestKind {
        match self {
            Route::Entries => RequestKind::Entries,
            Route::Inference(_) => RequestKind::Inference,
            Route::Models | Route::Model(_) => RequestKind::Models,
            Route::Files | Route::File(_) | Route::FileContent(_) => RequestKind::Files,
            Route::Batches | Route::Batch(_) | Route::BatchCancel(_) => RequestKind::Batches,
            Route::Service => RequestKind::Service,
        }
    }

    /// Returns the methods that the resource accepts. An empty list means any method.
    pub fn methods(&self) -> &'static [Method] {
        match self {
            Route::Service => &[],
            Route::Inference(_) | Route::BatchCancel(_) => &[Method::POST],
            Route::Files | Route::Batches => &[Method::GET, Method::POST],
            Route::File(_) => &[Method::GET, Method::DELETE],
            _ => &[Method::GET],
        }
    }

    /// Refuses a method that the resource does not accept.
    pub fn check_method(&self, method: &Method) -> Result<()> {
        let methods = self.methods();
        if methods.is_empty() || methods.contains(method) {
            return Ok(());
        }
        let allow: Vec<&str> = methods.iter().map(Method::as_str).collect();
        Err(Refusal::not_run(RefusalReason::MethodNotAllowed {
            method: method.to_string(),
            allow: allow.join(", "),
        }))
    }
}

fn not_found(path: &str) -> Refusal {
    Refusal::not_run(RefusalReason::NotFound {
        kind: "path".into(),
        id: path.chars().take(200).collect(),
    })
}
