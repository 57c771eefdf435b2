//! Streams that callers take up after an event: they go on only at the service and the software
//! version that began them.

use foxtailhold::ids::TargetName;
use foxtailhold::outage_return::return_after_ms;
use foxtailhold::routes::{Route, RouteTable};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::{AttemptHash, AttemptId, StreamOrigin};

use crate::dialect::Dialect;
use crate::fleet::BackendServer;
use crate::peers::{OnlyOrigin, OriginSearch, OriginSource};
use crate::relay::Relay;
use crate::request::{NotRunReason, OpaqueRequest};
use crate::tables::FollowedTable;

/// Where a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Destination {
    /// Service that serves it.
    pub(crate) service: TargetName,
    /// Software version of the backend server; `None` for any.
    pub(crate) version: Option<SoftwareVersion>,
    /// Attempt of the caller under which the origin of its stream is known.
    pub(crate) attempt: AttemptHash,
}

/// Result of choosing the destination of a request.
pub(crate) type Result<T> = std::result::Result<T, NotRunReason>;

impl<D: Dialect> Relay<D> {
    /// Chooses where a request of `route`, a route of `routes`, may run. A stream that is taken up
    /// stays where it began.
    pub(crate) async fn destination(
        &self,
        routes: &RouteTable,
        route: &Route,
        request: &OpaqueRequest,
    ) -> Result<Destination> {
        if !is_taken_up(routes, route, request) {
            return Ok(Destination {
                service: route.service(rand::random()).clone(),
                version: None,
                attempt: AttemptHash::from(request.id.as_str()),
            });
        }
        let OriginSearch {
            found,
            asked,
            is_unconfirmed,
        } = match &request.resumes {
            Some(attempt) => {
                let attempt = AttemptHash::from(attempt);
                self.peers.search_origin(attempt, &route.name).await
            }
            None => {
                let only = self.peers.confirm_only_origin(&route.name).await;
                let is_unconfirmed = only == OnlyOrigin::Unconfirmed;
                let found = match only {
                    OnlyOrigin::Only(origin) => Some((origin, OriginSource::OnlyVersion)),
                    OnlyOrigin::Unsure | OnlyOrigin::Unconfirmed => None,
                };
                OriginSearch {
                    found,
                    asked: 0,
                    is_unconfirmed,
                }
            }
        };
        let source = found
            .as_ref()
            .map_or("unknown", |(_, source)| source.as_str());
        self.metrics.stream_taken_up(source);
        let age_ms = |table| {
            let age = self.metrics.tables().age(table);
            age.map(|(age, _)| age.as_millis() as u64)
        };
        log::info!(
            request = request.id.as_str(),
            resumes = request.resumes.as_ref().map(AttemptId::as_str),
            service = found.as_ref().map(|(origin, _)| origin.service.as_str()),
            version = found.as_ref().map(|(origin, _)| origin.version.as_str()),
            backends_age_ms = age_ms(FollowedTable::Backends),
            record_age_ms = age_ms(FollowedTable::Instances),
            asked = asked,
            source = source;
            "stream taken up"
        );
        let Some((origin, _)) = found else {
            return Err(match is_unconfirmed {
                true => NotRunReason::UnconfirmedVersion,
                false => NotRunReason::UnknownVersion,
            });
        };
        if !self.backends.load().serves(route, &origin) {
            // The origin may be newer than the list of backend servers.
            if !self.peers.is_confirmed().await {
                return Err(NotRunReason::UnconfirmedVersion);
            }
            if !self.backends.load().serves(route, &origin) {
                return Err(NotRunReason::VersionGone);
            }
        }
        let StreamOrigin { service, version } = origin;
        let resumes = request.resumes.as_ref().map(AttemptHash::from);
        Ok(Destination {
            service,
            version: Some(version),
            attempt: resumes.unwrap_or_else(|| AttemptHash::from(request.id.as_str())),
        })
    }

    /// Delay after which a stream that could not be taken up may be: the store may answer then.
    pub(crate) fn retry_take_up_ms(
        &self,
        request: &OpaqueRequest,
        reason: NotRunReason,
    ) -> Option<u64> {
        if reason != NotRunReason::UnconfirmedVersion {
            return None;
        }
        let outage = self.metrics.tables().outage(FollowedTable::Backends);
        let outage_ms = outage.unwrap_or_default().as_millis() as u64;
        Some(return_after_ms(Some(outage_ms), request.caller_left_ms()))
    }

    /// Records where a resumable stream began, before its first event is passed on. The first streams
    /// of a version wait until it is on record in the store.
    pub(crate) async fn stream_began(
        &self,
        route: &Route,
        attempt: AttemptHash,
        backend: &BackendServer,
    ) {
        if !route.kind.is_resumable() {
            return;
        }
        let origin = backend.origin();
        self.peers.record_origin(attempt, &origin, &route.name);
        self.peers.wait_origin_recorded(&origin).await;
    }
}

/// Whether a request takes up a stream of an engine after an event that its caller has.
fn is_taken_up(routes: &RouteTable, route: &Route, request: &OpaqueRequest) -> bool {
    let has_events = request.after_event.is_some_and(|event| event > 0);
    let is_engine = |service| {
        routes
            .service(service)
            .is_some_and(|limits| limits.is_engine)
    };
    has_events && route.kind.is_resumable() && route.active_services().any(is_engine)
}
