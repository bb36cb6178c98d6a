//! Pool of control connections for one tarpc service. A connection is opened on first use and
//! shared by all calls to its address.

use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use comfreyhaven_process::dial;
use comfreyhaven_wire::preface::ServiceKind;
use comfreyhaven_wire::transport::Control;
use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::client::{NewClient, RpcError};
use tarpc::context;
use tokio::sync::OnceCell;
use tokio_util::task::TaskTracker;

/// Reason why a call to another process failed.
#[derive(Debug, Display, Error)]
pub(crate) enum LinkError {
    /// The configuration in force does not declare the process.
    #[display("the process is not declared in the configuration")]
    Undeclared,
    /// The connection could not be opened.
    #[display("{_0}")]
    Dial(dial::DialError),
    /// The process accepts connections but does not answer pings.
    #[display("the process does not answer pings")]
    Silent,
    /// The connection broke, or no answer arrived in time.
    #[display("{_0}")]
    Call(RpcError),
}

/// Cell that holds the client of one connection once the connection is open.
pub(crate) type Cell<C> = Arc<OnceCell<C>>;

/// Connections by the address of the other process.
#[derive(Clone)]
pub(crate) struct Pool<C> {
    source: IpAddr,
    kind: ServiceKind,
    cells: Arc<Mutex<HashMap<SocketAddr, Cell<C>>>>,
    tasks: TaskTracker,
}

impl<C: Clone> Pool<C> {
    /// Creates an empty pool. The tasks of its connections are spawned on `tasks`.
    pub(crate) fn new(source: IpAddr, kind: ServiceKind, tasks: TaskTracker) -> Self {
        Self {
            source,
            kind,
            cells: Arc::default(),
            tasks,
        }
    }

    /// Returns the source address of this process's connections.
    pub(crate) fn source(&self) -> IpAddr {
        self.source
    }

    /// Returns the client for an address. Opens the connection if there is none yet.
    pub(crate) async fn get<Item, SinkItem, D, E>(
        &self,
        target: SocketAddr,
        build: impl FnOnce(Control<Item, SinkItem>) -> NewClient<C, D>,
    ) -> Result<(Cell<C>, C), LinkError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
        D: Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Display + 'static,
    {
        let cell = Arc::clone(self.lock().entry(target).or_default());
        let opening = async {
            let transport = dial::control(self.source, target, self.kind).await;
            let client = build(transport.map_err(LinkError::Dial)?);
            self.tasks.spawn(run_dispatch(client.dispatch, target));
            Ok(client.client)
        };
        let client = cell.get_or_try_init(|| opening).await?.clone();
        Ok((cell, client))
    }

    /// Removes the connection from the pool if the call failed, so that the next call opens a new
    /// one.
    pub(crate) fn check_answer<T>(
        &self,
        cell: &Cell<C>,
        answer: Result<T, RpcError>,
    ) -> Result<T, LinkError> {
        if answer.is_err() {
            self.remove(cell);
        }
        answer.map_err(LinkError::Call)
    }

    /// Removes a connection from the pool, so that the next call opens a new one.
    pub(crate) fn remove(&self, cell: &Cell<C>) {
        self.lock().retain(|_, other| !Arc::ptr_eq(other, cell));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Cell<C>>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn run_dispatch<E: std::fmt::Display>(
    dispatch: impl Future<Output = Result<(), E>>,
    target: SocketAddr,
) {
    if let Err(error) = dispatch.await {
        log::debug!("control connection to {target} ended: {error}");
    }
}

/// Returns the context of a call that must be answered within `timeout`.
pub(crate) fn context_within(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
