//! Request attributes, parsed from the request head.

use std::sync::atomic::{AtomicU64, Ordering};

use azuregate_core::{
    error::{Error, ErrorKind},
    home::HomeToken,
    names::{ServiceName, TenantName},
    route::hash,
};
use hyper::{HeaderMap, Method, Request, header};

use crate::{body::Body, metrics::RequestClass};

/// Identifies the request across retries.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The client's timeout, in milliseconds.
pub(crate) const TIMEOUT_MS: &str = "azuregate-timeout-ms";
/// Identifies the request in logs here and on the backend server.
pub(crate) const REQUEST_ID: &str = "azuregate-request-id";
/// Home token: the only instance and start that may run the request with this key.
pub(crate) const HOME: &str = "azuregate-home";
/// Set by an instance that forwards a request to the home of its key.
pub(crate) const HOME_HOP: &str = "azuregate-home-hop";

/// The tenant, for the histograms.
pub(crate) const TENANT: &str = "azuregate-tenant";

const MAX_TENANT_BYTES: usize = 63;
const MAX_KEY_BYTES: usize = 255;
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// The attributes of a request that routing, claims and metrics use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attributes {
    /// The service, from the Host header.
    pub service: ServiceName,
    /// The idempotency key, if the client set one.
    pub idempotency_key: Option<String>,
    /// The home of the key, if the client named one.
    pub home: Option<HomeToken>,
    /// The client's timeout in milliseconds, if it set one.
    pub timeout_ms: Option<u64>,
    /// The tenant, if the client named one.
    pub tenant: Option<TenantName>,
    /// Identifies the request in logs.
    pub request_id: String,
    /// Hash of service, method and path; the body is added by
    /// `Payload::fingerprint`.
    pub fingerprint: u64,
    /// The histogram that the request is recorded in.
    pub class: RequestClass,
    /// Whether it may run more than once: its method is idempotent and it has no
    /// key. A request with a key runs at most once, whatever its method.
    pub idempotent: bool,
}

impl Attributes {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`], naming the invalid header.
    pub fn read(request: &Request<Body>) -> Result<Attributes, Error> {
        let headers = request.headers();
        let service = service_of_host(request)?;
        let idempotency_key = idempotency_key(headers)?;
        let home = home(headers)?;
        let timeout_ms = timeout_ms(headers)?;
        let method = request.method();
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let fingerprint = hash::stable_hash(&[service.as_str(), method.as_str(), path]);
        let idempotent = method.is_idempotent() && idempotency_key.is_none();
        let class = class(method, idempotency_key.is_some());
        let tenant = tenant(headers)?;
        let request_id = request_id(headers)?;
        Ok(Attributes {
            service,
            idempotency_key,
            home,
            timeout_ms,
            tenant,
            request_id,
            fingerprint,
            class,
            idempotent,
        })
    }
}

/// Parses the service from a query such as `service=starter-desk`.
pub(crate) fn service_of_query(query: &str) -> Result<ServiceName, Error> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("service="));
    let Some(value) = value.filter(|value| !value.is_empty()) else {
        return Err(bad_request("the query has no service=NAME"));
    };
    Ok(ServiceName::new(value))
}

fn service_of_host(request: &Request<Body>) -> Result<ServiceName, Error> {
    let host = match request.headers().get(header::HOST) {
        Some(value) => value.to_str().map_err(|_| bad_request("Host is not ASCII"))?,
        None => request.uri().host().ok_or_else(|| bad_request("Host is missing"))?,
    };
    let name = host.split(':').next().unwrap_or_default();
    if name.is_empty() {
        return Err(bad_request("Host is empty"));
    }
    Ok(ServiceName::new(&name.to_ascii_lowercase()))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Error> {
    let Some(key) = header_str(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(bad_request(detail));
    }
    Ok(Some(key.to_owned()))
}

fn home(headers: &HeaderMap) -> Result<Option<HomeToken>, Error> {
    let Some(value) = header_str(headers, HOME)? else {
        return Ok(None);
    };
    let parsed = value.parse();
    parsed.map(Some).map_err(|_| bad_request(format!("Azuregate-Home names no home: {value:?}")))
}

fn timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let Some(value) = header_str(headers, TIMEOUT_MS)? else {
        return Ok(None);
    };
    let parsed = value.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    let Some(ms) = parsed else {
        let detail = format!(
            "Azuregate-Timeout-Ms must be a whole number from 1 to {MAX_TIMEOUT_MS}, \
             not {value:?}"
        );
        return Err(bad_request(detail));
    };
    Ok(Some(ms))
}

fn tenant(headers: &HeaderMap) -> Result<Option<TenantName>, Error> {
    let Some(tenant) = header_str(headers, TENANT)? else {
        return Ok(None);
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !(1..=MAX_TENANT_BYTES).contains(&tenant.len()) || !tenant.chars().all(is_allowed) {
        let detail = format!(
            "Azuregate-Tenant must be 1 to {MAX_TENANT_BYTES} letters, digits, dots, \
             hyphens or underscores"
        );
        return Err(bad_request(detail));
    }
    Ok(Some(TenantName::new(tenant)))
}

fn request_id(headers: &HeaderMap) -> Result<String, Error> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    if let Some(id) = header_str(headers, REQUEST_ID)? {
        return Ok(id.to_owned());
    }
    let sequence = NEXT.fetch_add(1, Ordering::Relaxed);
    Ok(format!("{:08x}-{sequence:x}", fastrand::u32(..)))
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad_request(format!("{name} is not ASCII")))?;
    Ok(Some(text.trim()))
}

fn class(method: &Method, keyed: bool) -> RequestClass {
    if keyed {
        return RequestClass::Keyed;
    }
    if method.is_safe() { RequestClass::Read } else { RequestClass::Write }
}

fn bad_request(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}
