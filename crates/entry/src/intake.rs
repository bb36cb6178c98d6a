//! Reading a caller's request: key, route, cost and prefix.

use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use comfreyhaven_core::entry::{Arrival, OPEN_TEAM};
use comfreyhaven_core::fleet::{Fleet, Route, RouteAccess, Service, Team};
use comfreyhaven_core::idempotency::{self, CallKey};
use comfreyhaven_core::refusal::{Refusal, RefusalKind};
use comfreyhaven_core::request::{BodyDigest, PrefixDigest};
use comfreyhaven_core::{Cost, KeyDigest, RequestId};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request};
use serde::Deserialize;
use std::time::Duration;

/// Largest body of a caller, in bytes.
const BODY_LIMIT_BYTES: usize = 4 << 20;

/// How long a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt that one prefix digest covers beyond the one before.
const PREFIX_BLOCK_BYTES: usize = 1_024;

/// Prefix digests of one request at most.
const PREFIXES_LIMIT: usize = 8;

/// Headers of a caller that an endpoint may see.
const PASSED_HEADERS: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "user-agent",
];

/// A request that was read, with what its endpoint will be sent.
#[derive(Debug)]
pub(crate) struct Intake {
    pub(crate) arrival: Arrival,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) team: String,
}

#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize, Hash)]
struct Message {
    role: String,
    content: String,
}

/// The key that came with a request, and the team that it belongs to.
#[derive(Debug)]
pub(crate) struct Credentials<'a> {
    key: Option<String>,
    digest: Option<KeyDigest>,
    team: Option<&'a Team>,
}

impl<'a> Credentials<'a> {
    /// Looks the key of a request up.
    pub(crate) fn new(headers: &HeaderMap, fleet: &'a Fleet) -> Self {
        let key = key(headers);
        let digest = key.as_deref().map(KeyDigest::of_key);
        let team = digest.as_ref().and_then(|digest| fleet.team_of_key(digest));
        Self { key, digest, team }
    }

    /// The name of the key's team for a log line, or a dash.
    pub(crate) fn logged_team(&self) -> &'a str {
        self.team.map_or("-", |team| team.name.as_str())
    }

    /// The name of the team that the request runs for.
    fn team_name(&self) -> &'a str {
        self.team.map_or(OPEN_TEAM, |team| team.name.as_str())
    }
}

/// Reads a request. The key is checked before the body is read.
pub(crate) async fn read(
    id: RequestId,
    request: Request<Incoming>,
    fleet: &Fleet,
    credentials: &Credentials<'_>,
) -> Result<Intake, Refusal> {
    let path = request.uri().path().to_owned();
    let known = fleet
        .routes
        .values()
        .any(|route| path.starts_with(&route.path));
    if !known {
        return Err(Refusal::new(RefusalKind::NoRoute));
    }
    let team = credentials.team;
    let open = |route: &Route| route.access == RouteAccess::Open && path.starts_with(&route.path);
    if team.is_none() && !fleet.routes.values().any(open) {
        return Err(Refusal::new(RefusalKind::Unauthenticated));
    }
    let method = request.method().clone();
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    let headers = passed(request.headers());
    let repeated = request.headers().get("idempotency-key").cloned();
    let body = body(request.into_body()).await?;
    let key = credentials.key.as_deref();
    if key.is_some_and(|key| leaks(key, &target, &headers, &body)) {
        return Err(Refusal::new(RefusalKind::Malformed));
    }
    let (route, cost, prefixes) = match_route(fleet, &path, &method, &body)?;
    if team.is_none() && route.access != RouteAccess::Open {
        return Err(Refusal::new(RefusalKind::Unauthenticated));
    }
    if !fleet.may_use(team, route) {
        return Err(Refusal::new(RefusalKind::Forbidden));
    }
    let team = credentials.team_name();
    let homed = idempotency::is_owner_bound(fleet, &route.name);
    let call = repeated
        .filter(|key| homed && !key.is_empty())
        .map(|key| CallKey::new(team, &route.name, key.as_bytes()));
    let arrival = Arrival {
        id,
        key: credentials.digest,
        route: route.name.clone(),
        cost,
        prefixes,
        body: BodyDigest(hash(&(team, &target, &body))),
        call,
    };
    let team = team.to_owned();
    Ok(Intake {
        arrival,
        method: method.to_string(),
        target,
        headers,
        body,
        team,
    })
}

fn key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn passed(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |name: &str| {
        Some((
            name.to_owned(),
            headers.get(name)?.to_str().ok()?.to_owned(),
        ))
    };
    PASSED_HEADERS.into_iter().filter_map(text).collect()
}

/// Whether a key stands anywhere in what the endpoint would see.
fn leaks(key: &str, target: &str, headers: &[(String, String)], body: &[u8]) -> bool {
    !key.is_empty()
        && (target.contains(key)
            || headers.iter().any(|(_, value)| value.contains(key))
            || body
                .windows(key.len())
                .any(|window| window == key.as_bytes()))
}

async fn body(body: Incoming) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, BODY_LIMIT_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(RefusalKind::TooLarge))
        }
        Ok(Err(_)) | Err(_) => Err(Refusal::new(RefusalKind::Malformed)),
    }
}

fn match_route<'a>(
    fleet: &'a Fleet,
    path: &str,
    method: &Method,
    body: &[u8],
) -> Result<(&'a Route, Cost, Vec<PrefixDigest>), Refusal> {
    let chat = serde_json::from_slice::<Chat>(body).ok();
    let model = chat.as_ref().map(|chat| chat.model.as_str());
    let route = fleet.route_for(path, model);
    match (route, &chat) {
        (Some(route), Some(chat)) if matches!(route.service, Service::Model(_)) => {
            if method != Method::POST {
                return Err(Refusal::new(RefusalKind::Malformed));
            }
            Ok((route, chat_cost(chat, route), prefixes(chat)))
        }
        (Some(route), _) => Ok((
            route,
            Cost {
                prompt: 0,
                output: 1,
            },
            Vec::new(),
        )),
        (None, None) => Err(Refusal::new(RefusalKind::Malformed)),
        (None, Some(_)) => Err(Refusal::new(RefusalKind::NoRoute)),
    }
}

fn chat_cost(chat: &Chat, route: &Route) -> Cost {
    let bytes: usize = chat
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    let prompt = u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    let output = chat.max_tokens.unwrap_or(route.output).min(route.output);
    Cost { prompt, output }
}

fn prefixes(chat: &Chat) -> Vec<PrefixDigest> {
    let mut text = String::new();
    for message in &chat.messages {
        text.extend([message.role.as_str(), "\n", message.content.as_str(), "\n"]);
    }
    let blocks = (text.len() / PREFIX_BLOCK_BYTES).min(PREFIXES_LIMIT);
    let digest = |block| PrefixDigest(hash(&&text.as_bytes()[..block * PREFIX_BLOCK_BYTES]));
    (1..=blocks).map(digest).collect()
}

/// Every process of one version computes the same digest, since the hasher has fixed keys.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
