//! Errors of the operator API. They are sent as JSON and are printed by `foxtail`, so the codes and
//! texts are part of the interface.

use foxtailhold::contract::ContractError;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Result of an operator call.
pub type Result<T> = std::result::Result<T, OperatorError>;

/// Why an operator call failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum OperatorError {
    /// The token is missing or wrong.
    #[error("the operator token is missing or wrong")]
    #[diagnostic(help("pass the instance's token with --token or FOXTAIL_TOKEN"))]
    Unauthorized,
    /// The document is not a valid contract.
    #[error("{detail}")]
    #[diagnostic(help("the contract in force is unchanged; mend the field and set it again"))]
    BadContract {
        /// Description of the error, with field and line.
        detail: String,
    },
    /// The contract is not at the expected version, because another change was made before.
    #[error("customer {customer} is at version {current}, the change expected version {expected}")]
    #[diagnostic(help("read the current contract with `foxtail contract get {customer}`"))]
    Conflict {
        /// Customer whose contract was to be changed.
        customer: String,
        /// Version that the change expected; 0 stands for no contract.
        expected: u64,
        /// Version in force; 0 stands for no contract.
        current: u64,
    },
    /// An API key of the contract already belongs to another customer.
    #[error("an API key of the contract belongs to customer {customer}")]
    KeyTaken {
        /// Customer that the key belongs to.
        customer: String,
    },
    /// The object does not exist.
    #[error("there is no {kind} {id}")]
    NotFound {
        /// Kind of the object, such as `contract` or `path`.
        kind: String,
        /// Identifier of the object, shortened if it is long.
        id: String,
    },
    /// The path, a header or the body is invalid.
    #[error("{detail}")]
    BadRequest {
        /// Description of the error.
        detail: String,
    },
    /// The platform's store is unavailable. The change did not take effect.
    #[error("the platform's store is unavailable; the change has no effect")]
    #[diagnostic(help("try again"))]
    StoreUnavailable,
    /// The instance has no memory for the document. The call had no effect.
    #[error("the instance has no memory for the document; the call has no effect")]
    #[diagnostic(help(
        "try again in a second, or pass another instance's address with --instance"
    ))]
    NoMemory,
    /// The platform's answer was lost, and reading the store did not show whether the change took
    /// effect.
    #[error(
        "the platform's answer was lost; change {change_id} may be in force or come into force"
    )]
    #[diagnostic(help(
        "look with `foxtail contract get`; setting it again with the same expected version is safe"
    ))]
    EffectUnknown {
        /// Identifier of the change.
        change_id: String,
    },
    /// The resource does not accept the method.
    #[error("{method} is not allowed here, {allow} is")]
    MethodNotAllowed {
        /// Method of the call.
        method: String,
        /// Accepted methods, separated by commas.
        allow: String,
    },
    /// A change was sent to the instance, but no valid answer was received. Set by the client.
    #[error("{address}: the answer was lost, the change may be in force: {detail}")]
    #[diagnostic(help(
        "look with `foxtail contract get`; setting it again with the same --expected-version is safe"
    ))]
    AnswerLost {
        /// Operator address of the instance.
        address: String,
        /// Cause, such as the transport error.
        detail: String,
    },
    /// The instance cannot be reached, or its answer cannot be parsed. Set by the client.
    #[error("{address}: {detail}")]
    #[diagnostic(help("pass another instance's operator address with --instance"))]
    Unreachable {
        /// Operator address of the instance.
        address: String,
        /// Cause, such as the transport error.
        detail: String,
    },
}

impl From<ContractError> for OperatorError {
    fn from(error: ContractError) -> Self {
        let detail = error.to_string();
        OperatorError::BadContract { detail }
    }
}
