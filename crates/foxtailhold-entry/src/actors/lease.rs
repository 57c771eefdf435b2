//! Renews this instance's lease in the platform's table service.

use std::sync::Arc;

use foxtailhold::batch::transaction::{Condition, ConflictingRow, TransactionOutcome};
use foxtailhold::lease::{LEASE_RENEW_MS, LeaseRenewer, Renewal};
use foxtailhold::lease_row::LeaseRow;
use foxtailhold_platform::{Operation, Platform, PlatformError, Result, Transacted};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::actors::tick;
use crate::jobs::store;
use crate::shared::Shared;
use crate::tables;

/// Messages to the lease actor.
#[derive(Debug)]
pub enum LeaseMessage {
    /// Periodic: renew the lease.
    Renew,
    /// The instance stops: end the lease, so that others may take over at once. No renewal follows.
    End(RpcReplyPort<()>),
}

/// The actor that owns the lease.
#[derive(Debug)]
pub struct LeaseActor<P>(pub Shared<P>);

impl<P: Platform> Actor for LeaseActor<P> {
    type Msg = LeaseMessage;
    type State = LeaseRenewer;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> std::result::Result<LeaseRenewer, ActorProcessingErr> {
        tick(&myself, || LeaseMessage::Renew, LEASE_RENEW_MS);
        Ok(LeaseRenewer::new(self.0.settings.instance.clone()))
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        renewer: &mut LeaseRenewer,
    ) -> std::result::Result<(), ActorProcessingErr> {
        match message {
            LeaseMessage::Renew => {
                if let Err(error) = self.renew(renewer).await {
                    log::warn!("lease could not be renewed, retrying at the next period: {error}");
                }
                self.0.lease.store(Arc::new(renewer.held().clone()));
            }
            LeaseMessage::End(reply) => {
                let ended = renewer.end();
                self.0.lease.store(Arc::new(renewer.held().clone()));
                self.end(ended).await;
                let _ = reply.send(());
                myself.stop(None);
            }
        }
        Ok(())
    }
}

impl<P: Platform> LeaseActor<P> {
    async fn renew(&self, renewer: &mut LeaseRenewer) -> Result<()> {
        let key = tables::lease_key(&self.0.settings.instance);
        let found = match renewer.needs_read() {
            true => store::read(&self.0, tables::LEASE, key).await?,
            false => None,
        };
        let renewal = renewer.renewal(found, self.0.clock.mono());
        let sent = self.send(key, &renewal).await;
        let outcome = match &sent {
            Ok(outcome) => outcome.clone(),
            Err(error) if error.may_have_taken_effect() => TransactionOutcome::Unknown,
            Err(_) => TransactionOutcome::Unavailable,
        };
        renewer.handle_outcome(renewal, &outcome);
        sent.map(drop)
    }

    /// Writes the end of the lease, without retries: a lease whose end is not written expires.
    async fn end(&self, ended: Option<(Condition, LeaseRow)>) {
        let Some((condition, row)) = ended else {
            return;
        };
        let key = tables::lease_key(&self.0.settings.instance);
        let operation = Operation::put(tables::LEASE, key, store::expect(condition), &row);
        if let Err(error) = self.0.platform.transact(&[operation]).await {
            log::warn!(
                "end of the lease could not be written; others wait until it expires: {error}"
            );
        }
    }

    async fn send(
        &self,
        key: &str,
        renewal: &Renewal,
    ) -> std::result::Result<TransactionOutcome, PlatformError> {
        let expect = store::expect(renewal.condition);
        let operation = Operation::put(tables::LEASE, key, expect, &renewal.row);
        Ok(match self.0.platform.transact(&[operation]).await? {
            Transacted::Committed => TransactionOutcome::Committed,
            Transacted::Conflict { .. } => TransactionOutcome::Conflict {
                step: 0,
                found: ConflictingRow::Other,
            },
        })
    }
}
