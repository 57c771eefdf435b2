//! HTTP handler of the caller API: authenticates and routes requests and writes the responses.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use foxtailhold::ids::{AvailabilityZone, RequestId};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_http::body::{self, AnswerBody, BodyError, RequestTerms};
use foxtailhold_http::machine::MachineLimits;
use foxtailhold_http::memory::MemoryBudget;
use foxtailhold_http::server::Handler;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, request};
use hyper::body::Incoming;

use crate::files::UploadTerms;
use crate::gateway::{EntriesQuery, Gateway, RequestContext, RequestKind};
pub use crate::route::{CHAT_PATH, COMPLETIONS_PATH};
use crate::route::{ENTRIES_PATH, Route};
use crate::{batches, error_body, files, head, inference, list, models, no_memory, service};

/// Maximum pause between two parts of a request body.
pub const BODY_IDLE_MS: u64 = 30_000;
/// Response header that carries the request identifier; set on every response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// HTTP handler of the caller API of one instance.
#[derive(Debug, Clone)]
pub struct CallerHandler<G> {
    gateway: G,
    body_idle_ms: u64,
    memory: MemoryBudget,
}

impl<G: Gateway> CallerHandler<G> {
    /// Creates a handler that passes requests to `gateway`, on a machine with the default limits.
    pub fn new(gateway: G) -> Self {
        CallerHandler {
            gateway,
            body_idle_ms: BODY_IDLE_MS,
            memory: MachineLimits::default().request_memory(),
        }
    }

    /// Sets the memory for bodies of requests.
    pub fn memory(self, memory: MemoryBudget) -> Self {
        CallerHandler { memory, ..self }
    }

    /// Overrides [`BODY_IDLE_MS`].
    pub fn body_idle_ms(self, body_idle_ms: u64) -> Self {
        CallerHandler {
            body_idle_ms,
            ..self
        }
    }

    async fn route(
        &self,
        remote: SocketAddr,
        id: &RequestId,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        if head.uri.path() == ENTRIES_PATH {
            Route::Entries.check_method(&head.method)?;
            return self.entries(remote, head);
        }
        let context = head::context(&self.gateway, id, head)?;
        let route = Route::of(head.uri.path())?;
        route.check_method(&head.method)?;
        match route {
            Route::Entries => Err(Refusal::invalid("the path has an empty segment")),
            Route::Inference(path) => self.infer(context, path, head, incoming).await,
            Route::Models => Ok(models::list(&self.gateway, &context.contract)),
            Route::Model(name) => models::get(&self.gateway, &context.contract, name),
            Route::Files => self.files(&context, head, incoming).await,
            Route::File(id) => self.file(&context, &head.method, id).await,
            Route::FileContent(id) => {
                let id = files::id(id)?;
                let source = self.gateway.download(&context.contract, &id).await?;
                files::content(source).await
            }
            Route::Batches => self.batches(context, head, incoming).await,
            Route::Batch(id) => {
                let job = batches::id(id)?;
                let batch = self.gateway.batch(&context.contract, &job).await?;
                Ok(batches::object(&batch))
            }
            Route::BatchCancel(id) => {
                let job = batches::id(id)?;
                let batch = self.gateway.cancel_batch(&context.contract, &job).await?;
                Ok(batches::object(&batch))
            }
            Route::Service => self.service(context, head, incoming).await,
        }
    }

    fn entries(&self, remote: SocketAddr, head: &request::Parts) -> Result<Response<AnswerBody>> {
        let availability_zone = match list::query_value(&head.uri, "availability_zone") {
            None => None,
            Some(text) => Some(
                AvailabilityZone::try_from(text).map_err(|e| Refusal::invalid(e.to_string()))?,
            ),
        };
        let query = EntriesQuery {
            availability_zone,
            remote: remote.ip(),
        };
        Ok(body::json(StatusCode::OK, &self.gateway.entries(&query)))
    }

    async fn infer(
        &self,
        context: RequestContext,
        path: &'static str,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        let limit_bytes = inference::MAX_BODY_BYTES;
        let body = self.read_body(head, incoming, limit_bytes).await?;
        let request = inference::read(context, path, body)?;
        inference::answer(&self.gateway, request).await
    }

    async fn service(
        &self,
        context: RequestContext,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        let limit_bytes = service::MAX_BODY_BYTES;
        let body = self.read_body(head, incoming, limit_bytes).await?;
        let call = service::read(context, head, body)?;
        let answer = self.gateway.call_service(call).await?;
        Ok(inference::whole(answer))
    }

    async fn files(
        &self,
        context: &RequestContext,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        if head.method == Method::POST {
            let terms = UploadTerms {
                idle_ms: self.body_idle_ms,
                memory: &self.memory,
            };
            let file = files::upload(&self.gateway, context, head, incoming, &terms).await?;
            return Ok(files::object(&file));
        }
        let page = list::Page::read(&head.uri, files::LIST_LIMITS)?;
        let contract = &context.contract;
        let found = self.gateway.files(contract, page.after, page.limit + 1);
        Ok(files::list(&found.await?, page.limit))
    }

    async fn file(
        &self,
        context: &RequestContext,
        method: &Method,
        id: &str,
    ) -> Result<Response<AnswerBody>> {
        let (contract, id) = (&context.contract, files::id(id)?);
        if method == Method::DELETE {
            self.gateway.delete_file(contract, &id).await?;
            return Ok(files::deleted(&id));
        }
        let file = self.gateway.file(contract, &id).await?;
        Ok(files::object(&file))
    }

    async fn batches(
        &self,
        context: RequestContext,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        if head.method == Method::POST {
            let limit_bytes = batches::MAX_BODY_BYTES;
            let body = self.read_body(head, incoming, limit_bytes).await?;
            let digest = self.gateway.digest(&body);
            let request = batches::read(context, &body, digest)?;
            let batch = self.gateway.create_batch(request).await?;
            return Ok(batches::object(&batch));
        }
        let page = list::Page::read(&head.uri, batches::LIST_LIMITS)?;
        let contract = &context.contract;
        let found = self.gateway.batches(contract, page.after, page.limit + 1);
        Ok(batches::list(&found.await?, page.limit))
    }

    async fn read_body(
        &self,
        head: &request::Parts,
        incoming: &mut Incoming,
        limit_bytes: usize,
    ) -> Result<Bytes> {
        let extensions = &head.extensions;
        let terms = RequestTerms::new(limit_bytes, self.body_idle_ms, &self.memory, extensions);
        let read = body::read_request(incoming, &terms).await;
        read.map_err(|error| match error {
            BodyError::TooLarge { limit_bytes } => {
                let limit_bytes = limit_bytes as u64;
                Refusal::not_run(RefusalReason::BodyTooLarge { limit_bytes })
            }
            BodyError::Slow { idle_ms } => Refusal::not_run(RefusalReason::BodyTimeout { idle_ms }),
            BodyError::NoMemory(_) | BodyError::Evicted => no_memory::refusal(&error),
            BodyError::Late | BodyError::Ended(_) => Refusal::invalid(error.to_string()),
        })
    }
}

impl<G: Gateway> Handler for CallerHandler<G> {
    async fn handle(&self, remote: SocketAddr, request: Request<Incoming>) -> Response<AnswerBody> {
        let start = Instant::now();
        let (head, mut incoming) = request.into_parts();
        let id = self.gateway.request_id();
        let answer = self.route(remote, &id, &head, &mut incoming).await;
        body::drain(incoming, &head.extensions);
        let kind = Route::of(head.uri.path()).map_or(RequestKind::Unknown, |route| route.kind());
        let refusal = answer.as_ref().err();
        self.gateway.record_answer(kind, refusal, start.elapsed());
        let mut response = answer.unwrap_or_else(|refusal| {
            self.gateway.refused(&id, &refusal);
            error_body::response(&refusal)
        });
        if let Ok(id) = HeaderValue::try_from(id.as_str()) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }
}
