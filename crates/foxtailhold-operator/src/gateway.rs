//! The interface between the operator API and the instance.

use std::future::Future;

use foxtailhold::contract::Contract;
use foxtailhold::ids::{BackendId, CustomerId};
use foxtailhold::orders::EngineSetup;

use crate::error::Result;
use crate::view::OrderView;
use crate::view::{
    AcceptedChange, BackendView, ContractView, InstancesView, JobView, Readiness, TimelineView,
};

/// A contract change requested by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractUpdate {
    /// Customer whose contract is changed.
    pub customer: CustomerId,
    /// Version that the change replaces; 0 stands for no contract.
    pub expected_version: u64,
    /// New contract; `None` removes the contract.
    pub contract: Option<Contract>,
}

/// Provides the state of an instance and processes the requests of operators.
pub trait OperatorGateway: Clone + Send + Sync + 'static {
    /// Returns all contracts in force at this instance. API keys are not masked yet.
    fn contracts(&self) -> Vec<ContractView>;

    /// Returns the contract of a customer that is in force at this instance, or `None`. API keys
    /// are not masked yet.
    fn contract(&self, customer: &CustomerId) -> Option<ContractView>;

    /// Changes a contract on all instances.
    fn update_contract(
        &self,
        update: ContractUpdate,
    ) -> impl Future<Output = Result<AcceptedChange>> + Send;

    /// Returns the instances known to this instance.
    fn instances(&self) -> InstancesView;

    /// Returns the backend servers known to this instance.
    fn backends(&self) -> Vec<BackendView>;

    /// Returns the batch jobs that are not finished.
    fn jobs(&self) -> impl Future<Output = Result<Vec<JobView>>> + Send;

    /// Sets the desired state of an engine.
    fn set_order(
        &self,
        backend: &BackendId,
        setup: &EngineSetup,
    ) -> impl Future<Output = Result<OrderView>> + Send;

    /// Returns the desired states of all engines.
    fn orders(&self) -> impl Future<Output = Result<Vec<OrderView>>> + Send;

    /// Returns the recent events of this instance.
    fn timeline(&self) -> TimelineView;

    /// Returns the metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Returns whether this instance should receive requests.
    fn readiness(&self) -> Readiness;
}
