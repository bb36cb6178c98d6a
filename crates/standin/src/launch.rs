//! The command line, runtime and HTTP server that all stand-ins share.

use std::future::Future;
use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use comfreyhaven_process::answer::Answer;
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_process::{logging, server, shutdown};
use hyper::Request;
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

const CONNECTION_LIMIT: usize = 4_096;

/// Creates the command line of a stand-in, with the argument `--listen`.
#[must_use]
pub fn cli(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .help("IP and port to listen on; port 0 selects a free port")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
    )
}

/// Creates a numeric argument with a default.
#[must_use]
pub fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Returns the value of a [`number_arg`].
#[must_use]
pub fn number_value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Runs a stand-in on a multi-threaded runtime until it ends.
///
/// # Errors
/// Returns a [`ProcessError`] if the runtime cannot start or the stand-in fails.
pub fn block_on(run: impl Future<Output = Result<(), ProcessError>>) -> Result<(), ProcessError> {
    logging::init("warn");
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(run)
}

/// Serves HTTP on the address of the argument `--listen` until the process receives a signal.
///
/// # Errors
/// Returns a [`ProcessError`] if the listener cannot be opened.
pub async fn serve<H, F>(matches: &ArgMatches, handler: H) -> Result<(), ProcessError>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = matches
        .get_one::<SocketAddr>("listen")
        .copied()
        .unwrap_or(fallback);
    let listener = server::bind(address).await?;
    server::announce("listen", &listener);
    let stop = CancellationToken::new();
    let closing = stop.clone();
    let accepting = server::accept(listener, CONNECTION_LIMIT, stop, move |stream, _| {
        server::http(stream, closing.clone(), handler.clone())
    });
    tokio::select! {
        () = accepting => {}
        result = shutdown::wait_for_signal() => result?,
    }
    Ok(())
}
