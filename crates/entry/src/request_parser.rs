//! Reads a caller's HTTP request: determines its team, route, cost and prompt prefixes, and refuses
//! it if it is malformed or not permitted.

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

/// Largest accepted request body.
const BODY_LIMIT_BYTES: usize = 4 << 20;

/// Time within which a caller must send its complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Number of prompt bytes that each prefix digest covers beyond the previous one.
const PREFIX_BLOCK_BYTES: usize = 1_024;

/// Maximum number of prefix digests of one request.
const PREFIX_LIMIT: usize = 8;

/// Caller's headers that are forwarded to the endpoint.
const FORWARDED_HEADERS: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "user-agent",
];

/// A parsed request, with the method, target, headers and body to forward to the endpoint.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) arrival: Arrival,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) team: String,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize, Hash)]
struct ChatMessage {
    role: String,
    content: String,
}

/// The API key sent with a request, and the team to which the key belongs.
#[derive(Debug)]
pub(crate) struct Credentials<'a> {
    key: Option<String>,
    digest: Option<KeyDigest>,
    team: Option<&'a Team>,
}

impl<'a> Credentials<'a> {
    /// Reads the API key from the headers and looks up its team.
    pub(crate) fn new(headers: &HeaderMap, fleet: &'a Fleet) -> Self {
        let key = bearer_key(headers);
        let digest = key.as_deref().map(KeyDigest::of_key);
        let team = digest.as_ref().and_then(|digest| fleet.team_of_key(digest));
        Self { key, digest, team }
    }

    /// Returns the name of the key's team for log lines, or a dash if the key is missing or
    /// unknown.
    pub(crate) fn logged_team(&self) -> &'a str {
        self.team.map_or("-", |team| team.name.as_str())
    }

    /// Returns the name of the team that the request is charged to.
    fn team_name(&self) -> &'a str {
        self.team.map_or(OPEN_TEAM, |team| team.name.as_str())
    }
}

/// Reads and parses a request. The API key is checked before the body is read.
pub(crate) async fn parse(
    id: RequestId,
    request: Request<Incoming>,
    fleet: &Fleet,
    credentials: &Credentials<'_>,
) -> Result<ParsedRequest, Refusal> {
    let path = request.uri().path().to_owned();
    let has_route = fleet
        .routes
        .values()
        .any(|route| path.starts_with(&route.path));
    if !has_route {
        return Err(Refusal::new(RefusalKind::NoRoute));
    }
    let team = credentials.team;
    let is_open =
        |route: &Route| route.access == RouteAccess::Open && path.starts_with(&route.path);
    if team.is_none() && !fleet.routes.values().any(is_open) {
        return Err(Refusal::new(RefusalKind::Unauthenticated));
    }
    let method = request.method().clone();
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    let headers = forwarded_headers(request.headers());
    let idempotency_key = request.headers().get("idempotency-key").cloned();
    let body = read_body(request.into_body()).await?;
    let key = credentials.key.as_deref();
    if key.is_some_and(|key| leaks_key(key, &target, &headers, &body)) {
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
    let owner_bound = idempotency::is_owner_bound(fleet, &route.name);
    let call = idempotency_key
        .filter(|key| owner_bound && !key.is_empty())
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
    Ok(ParsedRequest {
        arrival,
        method: method.to_string(),
        target,
        headers,
        body,
        team,
    })
}

fn bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |name: &str| {
        Some((
            name.to_owned(),
            headers.get(name)?.to_str().ok()?.to_owned(),
        ))
    };
    FORWARDED_HEADERS.into_iter().filter_map(text).collect()
}

/// Returns whether the API key occurs anywhere in the data that would be sent to the endpoint.
fn leaks_key(key: &str, target: &str, headers: &[(String, String)], body: &[u8]) -> bool {
    !key.is_empty()
        && (target.contains(key)
            || headers.iter().any(|(_, value)| value.contains(key))
            || body
                .windows(key.len())
                .any(|window| window == key.as_bytes()))
}

async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
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
    let chat = serde_json::from_slice::<ChatRequest>(body).ok();
    let model = chat.as_ref().map(|chat| chat.model.as_str());
    let route = fleet.route_for(path, model);
    match (route, &chat) {
        (Some(route), Some(chat)) if matches!(route.service, Service::Model(_)) => {
            if method != Method::POST {
                return Err(Refusal::new(RefusalKind::Malformed));
            }
            Ok((route, chat_cost(chat, route), prefix_digests(chat)))
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

fn chat_cost(chat: &ChatRequest, route: &Route) -> Cost {
    let bytes: usize = chat
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    let prompt = u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    let output = chat.max_tokens.unwrap_or(route.output).min(route.output);
    Cost { prompt, output }
}

fn prefix_digests(chat: &ChatRequest) -> Vec<PrefixDigest> {
    let mut text = String::new();
    for message in &chat.messages {
        text.extend([message.role.as_str(), "\n", message.content.as_str(), "\n"]);
    }
    let blocks = (text.len() / PREFIX_BLOCK_BYTES).min(PREFIX_LIMIT);
    let digest = |block| PrefixDigest(hash(&&text.as_bytes()[..block * PREFIX_BLOCK_BYTES]));
    (1..=blocks).map(digest).collect()
}

/// Returns the digest of a value. All processes of the same version compute the same digest,
/// because the hasher has fixed keys.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
