//! Control connections to agents, opened when first needed and shared by all requests.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use comfreyhaven_core::agent::RunStatus;
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{EndpointName, OfferId, RequestId, Reservation, ReservationId};
use comfreyhaven_process::dial;
use comfreyhaven_wire::preface::ServiceKind;
use comfreyhaven_wire::service::{AgentControlClient, ReserveReply};
use derive_more::{Display, Error};
use tarpc::client::{Config, RpcError};
use tarpc::context;
use tokio::sync::{OnceCell, watch};
use tokio_util::task::TaskTracker;

/// How long an agent may take to answer anything but a reservation.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond a reservation's deadline in which its agent gives it back.
const RETURN_GRACE: Duration = Duration::from_millis(500);

/// An agent that cannot be asked.
#[derive(Debug, Display, Error)]
pub(crate) enum LinkError {
    /// The configuration does not declare it.
    #[display("the endpoint is not declared")]
    Undeclared,
    /// It cannot be connected to.
    #[display("{_0}")]
    Dial(dial::DialError),
    /// The connection failed or the agent did not answer.
    #[display("{_0}")]
    Call(RpcError),
}

type Cell = Arc<OnceCell<AgentControlClient>>;

/// Connections to agents.
#[derive(Clone)]
pub(crate) struct Links {
    source: IpAddr,
    fleet: watch::Receiver<Arc<Fleet>>,
    cells: Arc<Mutex<HashMap<SocketAddr, Cell>>>,
    tasks: TaskTracker,
}

impl Links {
    pub(crate) fn new(
        source: IpAddr,
        fleet: watch::Receiver<Arc<Fleet>>,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            source,
            fleet,
            cells: Arc::default(),
            tasks,
        }
    }

    /// Where an agent takes bodies.
    pub(crate) fn traffic(&self, endpoint: &EndpointName) -> Option<SocketAddr> {
        Some(self.fleet.borrow().endpoints.get(endpoint)?.traffic)
    }

    /// The source of this process's connections.
    pub(crate) fn source(&self) -> IpAddr {
        self.source
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
        let (cell, client) = self.client(endpoint).await?;
        match client.reserve(within(limit), reservation).await {
            Err(RpcError::DeadlineExceeded) => Ok(ReserveReply::Returned(ReturnReason::Late)),
            answer => self.check(&cell, answer),
        }
    }

    /// Takes a reservation back.
    pub(crate) async fn withdraw(
        &self,
        endpoint: &EndpointName,
        id: ReservationId,
    ) -> Result<(), LinkError> {
        let (cell, client) = self.client(endpoint).await?;
        self.check(&cell, client.withdraw(within(CALL_TIMEOUT), id).await)
    }

    /// Declines an offer.
    pub(crate) async fn release(
        &self,
        endpoint: &EndpointName,
        offer: OfferId,
    ) -> Result<(), LinkError> {
        let (cell, client) = self.client(endpoint).await?;
        self.check(&cell, client.release(within(CALL_TIMEOUT), offer).await)
    }

    /// Asks what became of a request.
    pub(crate) async fn inquire(
        &self,
        endpoint: &EndpointName,
        request: RequestId,
        offer: OfferId,
    ) -> Result<RunStatus, LinkError> {
        let (cell, client) = self.client(endpoint).await?;
        self.check(
            &cell,
            client.inquire(within(CALL_TIMEOUT), request, offer).await,
        )
    }

    async fn client(
        &self,
        endpoint: &EndpointName,
    ) -> Result<(Cell, AgentControlClient), LinkError> {
        let target = self
            .fleet
            .borrow()
            .endpoints
            .get(endpoint)
            .map(|part| part.control);
        let target = target.ok_or(LinkError::Undeclared)?;
        let cell = Arc::clone(self.lock().entry(target).or_default());
        let client = cell.get_or_try_init(|| self.connect(target)).await?.clone();
        Ok((cell, client))
    }

    async fn connect(&self, target: SocketAddr) -> Result<AgentControlClient, LinkError> {
        let transport = dial::control(self.source, target, ServiceKind::Agent).await;
        let transport = transport.map_err(LinkError::Dial)?;
        let client = AgentControlClient::new(Config::default(), transport);
        let dispatch = client.dispatch;
        self.tasks.spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!("control connection to {target} ended: {error}");
            }
        });
        Ok(client.client)
    }

    /// Forgets a connection that has failed, so that the next call opens a new one.
    fn check<T>(&self, cell: &Cell, answer: Result<T, RpcError>) -> Result<T, LinkError> {
        if answer.is_err() {
            self.lock().retain(|_, known| !Arc::ptr_eq(known, cell));
        }
        answer.map_err(LinkError::Call)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Cell>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn within(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
