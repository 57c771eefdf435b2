//! Errors of the stand-ins and of the commands that use them.

use std::net::SocketAddr;

use foxtailhold::ids::IdError;
use foxtailhold::software_version::VersionError;
use foxtailhold_entry::EntryError;
use foxtailhold_http::client::SendError;
use foxtailhold_http::server::ServerError;
use miette::Diagnostic;
use plotters::drawing::DrawingAreaErrorKind;
use thiserror::Error;

use crate::load::scenario::ScenarioError;

/// Result of a stand-in's command.
pub type Result<T> = std::result::Result<T, StandinError>;

/// Error of a stand-in or a command.
#[derive(Debug, Error, Diagnostic)]
pub enum StandinError {
    /// An HTTP server could not be started.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// An embedded instance could not be started or stopped.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// An HTTP call got no response.
    #[error(transparent)]
    Send(#[from] SendError),
    /// A call was answered with an unexpected status or body.
    #[error("{address}{path} answered with status {status}: {body}")]
    Status {
        /// Address of the server.
        address: SocketAddr,
        /// Path of the call.
        path: String,
        /// Status of the response.
        status: u16,
        /// Start of the body, or why it could not be parsed.
        body: String,
    },
    /// An identifier has an invalid format.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A software version has an invalid format.
    #[error(transparent)]
    Version(#[from] VersionError),
    /// A step of a command had an unexpected result.
    #[error("{step}: {detail}")]
    #[diagnostic(help("set RUST_LOG=debug for a log of what the processes did before this step"))]
    Check {
        /// Name of the step.
        step: &'static str,
        /// The unexpected result.
        detail: String,
    },
    /// A system call failed, such as starting a process or reading a file.
    #[error("system call failed: {0}")]
    System(#[from] std::io::Error),
    /// A plot could not be drawn or written.
    #[error("the plot could not be drawn: {0}")]
    Plot(#[from] DrawingAreaErrorKind<std::io::Error>),
    /// The options of the load command are invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}
