//! Control connections to agents, opened when first needed and shared by all requests.

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
use crate::pool::{Cell, LinkError, Pool, within};

/// How long an agent may take to answer anything but a reservation.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond a reservation's deadline in which its agent gives it back.
const RETURN_GRACE: Duration = Duration::from_millis(500);

/// Connections to agents.
#[derive(Clone)]
pub(crate) struct Links {
    fleet: watch::Receiver<Arc<Fleet>>,
    pool: Pool<Link>,
}

impl Links {
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

    /// Where an agent takes bodies.
    pub(crate) fn traffic(&self, endpoint: &EndpointName) -> Option<SocketAddr> {
        Some(self.fleet.borrow().endpoints.get(endpoint)?.traffic)
    }

    /// The source of this process's connections.
    pub(crate) fn source(&self) -> IpAddr {
        self.pool.source()
    }

    /// Waits at an agent for an offer. A kept connection may be one to an agent that has been
    /// replaced, so a failed call is made once more on a new one; a reservation runs nothing.
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
        let limit = reservation.remaining + RETURN_GRACE;
        let (cell, link) = self.client(endpoint).await?;
        let answer = tokio::select! {
            answer = link.client().reserve(within(limit), reservation) => answer,
            () = link.silent() => {
                self.pool.forget(&cell);
                return Err(LinkError::Silent);
            }
        };
        match answer {
            Err(RpcError::DeadlineExceeded) => Ok(ReserveReply::Returned(ReturnReason::Late)),
            answer => self.pool.check(&cell, answer),
        }
    }

    /// Takes a reservation back.
    pub(crate) async fn withdraw(
        &self,
        endpoint: &EndpointName,
        id: ReservationId,
    ) -> Result<(), LinkError> {
        let (cell, link) = self.client(endpoint).await?;
        let call = link.client().withdraw(within(CALL_TIMEOUT), id);
        self.pool.check(&cell, call.await)
    }

    /// Declines an offer.
    pub(crate) async fn release(
        &self,
        endpoint: &EndpointName,
        offer: OfferId,
    ) -> Result<(), LinkError> {
        let (cell, link) = self.client(endpoint).await?;
        let call = link.client().release(within(CALL_TIMEOUT), offer);
        self.pool.check(&cell, call.await)
    }

    /// Asks what became of a request.
    pub(crate) async fn inquire(
        &self,
        endpoint: &EndpointName,
        request: RequestId,
        offer: OfferId,
    ) -> Result<RunStatus, LinkError> {
        let (cell, link) = self.client(endpoint).await?;
        let call = link.client().inquire(within(CALL_TIMEOUT), request, offer);
        self.pool.check(&cell, call.await)
    }

    async fn client(&self, endpoint: &EndpointName) -> Result<(Cell<Link>, Link), LinkError> {
        let target = self
            .fleet
            .borrow()
            .endpoints
            .get(endpoint)
            .map(|part| part.control);
        let target = target.ok_or(LinkError::Undeclared)?;
        let make = |transport| {
            let connection = AgentControlClient::new(Config::default(), transport);
            NewClient {
                client: Link::new(connection.client),
                dispatch: connection.dispatch,
            }
        };
        self.pool.get(target, make).await
    }
}
