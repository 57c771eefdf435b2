//! Routing: the resource that a path of the operator API refers to, and the methods that it
//! accepts.

use http::Method;

use crate::error::{OperatorError, Result};

/// A resource of the operator API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// Liveness of the process.
    Health,
    /// Readiness of the instance to receive requests.
    Ready,
    /// Metrics in the OpenMetrics text format.
    Metrics,
    /// List of contracts.
    Contracts,
    /// Contract of a customer, by customer identifier.
    Contract(&'a str),
    /// List of instances.
    Instances,
    /// List of backend servers.
    Backends,
    /// List of batch jobs that are not finished.
    Jobs,
    /// List of desired states of engines.
    Orders,
    /// Desired state of an engine, by backend server identifier.
    Order(&'a str),
    /// Recent events of the instance.
    Timeline,
}

impl<'a> Route<'a> {
    /// Returns the resource at `path`, or a not-found error.
    pub fn of(path: &'a str) -> Result<Self> {
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        Ok(match segments.as_slice() {
            ["health"] => Route::Health,
            ["ready"] => Route::Ready,
            ["metrics"] => Route::Metrics,
            ["v1", "contracts"] => Route::Contracts,
            ["v1", "contracts", customer] => Route::Contract(customer),
            ["v1", "instances"] => Route::Instances,
            ["v1", "backends"] => Route::Backends,
            ["v1", "jobs"] => Route::Jobs,
            ["v1", "orders"] => Route::Orders,
            ["v1", "orders", backend] => Route::Order(backend),
            ["v1", "timeline"] => Route::Timeline,
            _ => {
                let (kind, id) = ("path".to_owned(), path.chars().take(200).collect());
                return Err(OperatorError::NotFound { kind, id });
            }
        })
    }

    /// Whether the resource can be read without the operator token.
    pub fn is_open(&self) -> bool {
        matches!(self, Route::Health | Route::Ready | Route::Metrics)
    }

    /// Refuses a method that the resource does not accept.
    pub fn check_method(&self, method: &Method) -> Result<()> {
        let methods: &[Method] = match self {
            Route::Contract(_) => &[Method::GET, Method::PUT, Method::DELETE],
            Route::Order(_) => &[Method::PUT],
            _ => &[Method::GET],
        };
        if methods.contains(method) {
            return Ok(());
        }
        let allow: Vec<&str> = methods.iter().map(Method::as_str).collect();
        Err(OperatorError::MethodNotAllowed {
            method: method.to_string(),
            allow: allow.join(", "),
        })
    }
}
