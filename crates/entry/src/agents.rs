//! Calls to agents, over control connections that are shared by all requests.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::agent::RunStatus;
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{EndpointName, OfferId, RequestId, Reservation, ReservationId};
use comfreyhaven_wire::preface::ServiceKind;
use comfreyhaven_wire::service::{AgentControlClient, ReserveReply};
use tarpc::client::{Config, NewClient, RpcError};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::link::Link;
use crate::pool::{Cell, LinkError, Pool, context_within};

/// Time within which an agent must answer any call except a reservation.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after a reservation's deadline for which the entry still waits for the agent to return it.
const RETURN_GRACE: Duration = Duration::from_millis(500);

/// Clients of the declared agents.
#[derive(Clone)]
pub(crate) struct Agents {
    fleet: watch::Receiver<Arc<Fleet>>,
    pool: Pool<Link>,
}

impl Agents {
    pub(crate) fn new(
        source: IpAddr,
        fleet: watch::Receiver<Arc<Fleet>>,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            fleet,
            pool: Pool::new(source, ServiceKind::Agent, tasks),
        }
    }

    /// Returns the address at which the endpoint's agent accepts bodies, or `None` if the endpoint
    /// is not declared.
    pub(crate) fn traffic_address(&self, endpoint: &EndpointName) -> Option<SocketAddr> {
        Some(self.fleet.borrow().endpoints.get(endpoint)?.traffic)
    }

    /// Returns the source address of this process's connections.
    pub(crate) fn source(&self) -> IpAddr {
        self.pool.source()
    }

    /// Places a reservation at an agent and waits for an offer. The pooled connection may belong to
    /// an agent process that has been replaced since, so a failed call is retried once on a new
    /// connection. The retry is safe because a reservation does not run the request.
    pub(crate) async fn reserve(
        &self,
        endpoint: &EndpointName,
        reservation: Reservation,
    ) -> Result<ReserveReply, LinkError> {
        match self.reserve_once(endpoint, reservation.clone()).await {
            Err(LinkError::Call(_)) => self.reserve_once(endpoint, reservation).await,
            answer => answer,
        }
    }

    async fn reserve_once(
        &self,
        endpoint: &EndpointName,
        reservation: Reservation,
    ) -> Result<ReserveReply, LinkError> {
        let timeout = reservation.remaining + RETURN_GRACE;
        let (cell, link) = self.client(endpoint).await?;
        let answer = tokio::select! {
            answer = link.client().reserve(context_within(timeout), reservation) => answer,
            () = link.unresponsive() => {
                self.pool.remove(&cell);
                return Err(LinkError::Silent);
            }
        };
        match answer {
            Err(RpcError::DeadlineExceeded) => Ok(ReserveReply::Returned(ReturnReason::Late)),
            answer => self.pool.check_answer(&cell, answer),
        }
    }

    pub(crate) async fn withdraw(
        &self,
        endpoint: &EndpointName,
        id: ReservationId,
    ) -> Result<(), LinkError> {
        let (cell, link) = self.client(endpoint).await?;
        let call = link.client().withdraw(context_within(CALL_TIMEOUT), id);
        self.pool.check_answer(&cell, call.await)
    }

    /// Declines an offer.
    pub(crate) async fn release(
        &self,
        endpoint: &EndpointName,
        offer: OfferId,
    ) -> Result<(), LinkError> {
        let (cell, link) = self.client(endpoint).await?;
        let call = link.client().release(context_within(CALL_TIMEOUT), offer);
        self.pool.check_answer(&cell, call.await)
    }

    /// Asks for the status of a request that was sent under an offer.
    pub(crate) async fn inquire(
        &self,
        endpoint: &EndpointName,
        request: RequestId,
        offer: OfferId,
    ) -> Result<RunStatus, LinkError> {
        let (cell, link) = self.client(endpoint).await?;
        let call = link
            .client()
            .inquire(context_within(CALL_TIMEOUT), request, offer);
        self.pool.check_answer(&cell, call.await)
    }

    async fn client(&self, endpoint: &EndpointName) -> Result<(Cell<Link>, Link), LinkError> {
        let target = self
            .fleet
            .borrow()
            .endpoints
            .get(endpoint)
            .map(|endpoint| endpoint.control);
        let target = target.ok_or(LinkError::Undeclared)?;
        let build = |transport| {
            let connection = AgentControlClient::new(Config::default(), transport);
            NewClient {
                client: Link::new(connection.client),
                dispatch: connection.dispatch,
            }
        };
        self.pool.get(target, build).await
    }
}
