//! Control connections of one service, opened when first needed and shared by all calls.

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

/// A process that cannot be asked.
#[derive(Debug, Display, Error)]
pub(crate) enum LinkError {
    /// The configuration does not declare it.
    #[display("it is not declared")]
    Undeclared,
    /// It cannot be connected to.
    #[display("{_0}")]
    Dial(dial::DialError),
    /// It accepts connections and answers nothing.
    #[display("it is silent")]
    Silent,
    /// The connection failed or there was no answer.
    #[display("{_0}")]
    Call(RpcError),
}

/// Where one connection is kept once it is open.
pub(crate) type Cell<C> = Arc<OnceCell<C>>;

/// Connections by address.
#[derive(Clone)]
pub(crate) struct Pool<C> {
    source: IpAddr,
    kind: ServiceKind,
    cells: Arc<Mutex<HashMap<SocketAddr, Cell<C>>>>,
    tasks: TaskTracker,
}

impl<C: Clone> Pool<C> {
    /// A pool without connections. Their tasks are spawned on `tasks`.
    pub(crate) fn new(source: IpAddr, kind: ServiceKind, tasks: TaskTracker) -> Self {
        Self {
            source,
            kind,
            cells: Arc::default(),
            tasks,
        }
    }

    /// The source of this process's connections.
    pub(crate) fn source(&self) -> IpAddr {
        self.source
    }

    /// The client of an address, connected if it was not yet.
    pub(crate) async fn get<Item, SinkItem, D, E>(
        &self,
        target: SocketAddr,
        make: impl FnOnce(Control<Item, SinkItem>) -> NewClient<C, D>,
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
            let client = make(transport.map_err(LinkError::Dial)?);
            self.tasks.spawn(drive(client.dispatch, target));
            Ok(client.client)
        };
        let client = cell.get_or_try_init(|| opening).await?.clone();
        Ok((cell, client))
    }

    /// Forgets a connection that has failed, so that the next call opens a new one.
    pub(crate) fn check<T>(
        &self,
        cell: &Cell<C>,
        answer: Result<T, RpcError>,
    ) -> Result<T, LinkError> {
        if answer.is_err() {
            self.forget(cell);
        }
        answer.map_err(LinkError::Call)
    }

    /// Lets the next call open a new connection.
    pub(crate) fn forget(&self, cell: &Cell<C>) {
        self.lock().retain(|_, known| !Arc::ptr_eq(known, cell));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Cell<C>>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn drive<E: std::fmt::Display>(
    dispatch: impl Future<Output = Result<(), E>>,
    target: SocketAddr,
) {
    if let Err(error) = dispatch.await {
        log::debug!("control connection to {target} ended: {error}");
    }
}

/// A call's context with a time limit.
pub(crate) fn within(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
