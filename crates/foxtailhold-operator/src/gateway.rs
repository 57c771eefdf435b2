//! What the operator API needs of the instance.

use std::future::Future;

use foxtailhold::contract::Contract;
use foxtailhold::ids::{BackendId, CustomerId};
use foxtailhold::orders::EngineSetup;

use crate::error::Result;
use crate::view::OrderView;
use crate::view::{
    AcceptedChange, BackendView, ContractView, InstancesView, JobView, Readiness, TimelineView,
};

/// A change an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractUpdate {
    /// Whose contract.
    pub customer: CustomerId,
    /// The version it replaces; 0 for none.
    pub expected_version: u64,
    /// The new contract; `None` removes it.
    pub contract: Option<Contract>,
}

/// The instance behind the operator API.
pub trait OperatorGateway: Clone + Send + Sync + 'static {
    /// All contracts in force here, keys unmasked.
    fn contracts(&self) -> Vec<ContractView>;

    /// One contract in force here, keys unmasked.
    fn contract(&self, customer: &CustomerId) -> Option<ContractView>;

    /// Changes a contract everywhere.
    fn update_contract(
        &self,
        update: ContractUpdate,
    ) -> impl Future<Output = Result<AcceptedChange>> + Send;

    /// The instances known here.
    fn instances(&self) -> InstancesView;

    /// The backend servers known here.
    fn backends(&self) -> Vec<BackendView>;

    /// Batch jobs that are not finished.
    fn jobs(&self) -> impl Future<Output = Result<Vec<JobView>>> + Send;

    /// Sets the wanted state of an engine.
    fn set_order(
        &self,
        backend: &BackendId,
        setup: &EngineSetup,
    ) -> impl Future<Output = Result<OrderView>> + Send;

    /// Wanted states of all engines.
    fn orders(&self) -> impl Future<Output = Result<Vec<OrderView>>> + Send;

    /// Recent events here.
    fn timeline(&self) -> TimelineView;

    /// Metrics in the OpenMetrics text form.
    fn metrics(&self) -> String;

    /// Whether this instance should get requests.
    fn readiness(&self) -> Readiness;
}
