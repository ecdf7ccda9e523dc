//! HTTP client of the state service with typed requests, limited by this controller's budget.

use crate::budget::{Budget, Rates, RequestPriority, Shares};
use http::client::{Client, RequestError, Response};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::cbor;
use wire::store::{Changes, Conflict, Item, LeaseAsk, LeaseId, Page, Revision, Txn, Value};

/// Status of the response to a request that exceeds the store's rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const GONE: u16 = 410;
const FIRST_SERVER_ERROR: u16 = 500;

/// Text in the response to a bad request if the cause is a lease that has ended.
const NO_SUCH_LEASE: &str = "no such lease";

/// Maximum number of idle connections for requests that the store answers without waiting.
const MAX_IDLE_REQUEST_CONNECTIONS: usize = 4;
/// Maximum body size of the response to a request that the store answers without waiting, in bytes.
const MAX_REQUEST_RESPONSE_BYTES: usize = 2 << 20;
/// Maximum number of idle connections for watches, which are long polls.
const MAX_IDLE_WATCH_CONNECTIONS: usize = 2;
/// Maximum body size of a watch's response, in bytes.
const MAX_WATCH_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum number of keys in a page.
const PAGE_KEYS: u32 = 250;
/// Seconds added to a wait for the budget, so that rounding does not end the wait early.
const WAIT_SLACK_S: f64 = 0.002;

/// Error of a request to the store.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StoreError {
    /// The store did not execute the request and responded with this status.
    #[error("the store did not execute the request (status {0})")]
    Refused(u16),
    /// The request did not reach the store; holds the request and the cause.
    #[error("the request did not reach the store: {0}")]
    NotSent(String),
    /// The request was not sent: this controller's budget allows it after this many seconds.
    #[error("this controller's store budget is exhausted; the request is allowed in {0:.2} s")]
    BudgetExhausted(f64),
    /// The store may have executed the request, or may still do so; holds the request and the
    /// cause.
    #[error("the outcome of the store request is unknown: {0}")]
    OutcomeUnknown(String),
    /// The response is larger than the client accepts. Holds the declared size of the body, or the
    /// number of bytes received so far if none was declared.
    #[error("the store's response is too large: {0} bytes declared or received so far")]
    ResponseTooLarge(usize),
    /// The lease has ended.
    #[error("the store lease has ended")]
    LeaseNotFound,
    /// The store no longer keeps the changes after the requested revision.
    #[error("the store no longer keeps the changes after the requested revision")]
    RevisionTooOld,
}

impl StoreError {
    /// Converts the error of a request without a usable response and adds the method and the path.
    fn from_request_error(method: &str, path: &str, error: RequestError) -> StoreError {
        match error {
            RequestError::NotSent(cause) => {
                StoreError::NotSent(format!("{method} {path}: {cause}"))
            }
            RequestError::ResponseTooLarge(bytes) => StoreError::ResponseTooLarge(bytes),
            RequestError::OutcomeUnknown(cause) => {
                StoreError::OutcomeUnknown(format!("{method} {path}: {cause}"))
            }
        }
    }
}

/// Outcome of a transaction that the store has evaluated.
#[derive(Debug, PartialEq)]
pub enum TxnOutcome {
    /// Applied at this revision, which is the new version of every key that was put.
    Applied(u64),
    /// Not applied because the versions of these keys did not match the conditions.
    Conflict(Vec<String>),
}

/// Client of the state service that keeps to this controller's budget.
pub struct Store {
    request_client: Client,
    watch_client: Client,
    budget: RefCell<Budget>,
    started_at: Instant,
    /// Timeout of a request, not counting the wait for the budget.
    pub request_timeout: Duration,
}

impl Store {
    /// Creates a client of the service at an address.
    pub fn new(addr: SocketAddr, rates: Rates, shares: Shares, request_timeout: Duration) -> Store {
        Store {
            request_client: Client::new(
                addr,
                MAX_IDLE_REQUEST_CONNECTIONS,
                MAX_REQUEST_RESPONSE_BYTES,
            ),
            watch_client: Client::new(addr, MAX_IDLE_WATCH_CONNECTIONS, MAX_WATCH_RESPONSE_BYTES),
            budget: RefCell::new(Budget::new(rates, shares)),
            started_at: Instant::now(),
            request_timeout,
        }
    }

    /// Changes this controller's shares of the request and write rates.
    pub fn set_shares(&self, shares: Shares) {
        self.budget.borrow_mut().set_shares(shares, self.now_s());
    }

    /// Returns a key with its value, or `None` if the key does not exist.
    pub async fn get(
        &self,
        key: &str,
        priority: RequestPriority,
    ) -> Result<Option<Item>, StoreError> {
        self.wait_for_budget(0, priority).await?;
        let response = self.request("GET", &format!("/store/{key}"), &[]).await?;
        match response.status {
            OK => Ok(Some(decode(&response)?)),
            NOT_FOUND => Ok(None),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Returns one page of the keys that have a prefix, in key order: the first page, or the one
    /// that begins after the key `since`.
    pub async fn range(
        &self,
        prefix: &str,
        since: Option<&str>,
        priority: RequestPriority,
    ) -> Result<Page, StoreError> {
        self.wait_for_budget(0, priority).await?;
        let since = since.map(|key| format!("&since={key}")).unwrap_or_default();
        let path = format!("/store?prefix={prefix}{since}&most={PAGE_KEYS}");
        let response = self.request("GET", &path, &[]).await?;
        match response.status {
            OK => decode(&response),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Executes a transaction. Fails with `LeaseNotFound` if one of its writes names a lease that
    /// has ended. When the budget is exhausted, a submission fails at once, while a request of
    /// another priority waits up to the request timeout.
    pub async fn txn(
        &self,
        txn: &Txn,
        priority: RequestPriority,
    ) -> Result<TxnOutcome, StoreError> {
        let writes = txn.writes.len();
        match priority {
            RequestPriority::Submission => self.take_budget(writes, priority)?,
            RequestPriority::Renewal | RequestPriority::Decision => {
                self.wait_for_budget(writes, priority).await?
            }
        }
        let response = self.request("POST", "/txn", &cbor::encode(txn)).await;
        if matches!(response, Err(StoreError::Refused(TOO_MANY_REQUESTS))) {
            self.budget
                .borrow_mut()
                .record_refusal(self.now_s(), writes);
        }
        let response = response?;
        match response.status {
            OK => Ok(TxnOutcome::Applied(decode::<Revision>(&response)?.revision)),
            CONFLICT => Ok(TxnOutcome::Conflict(decode::<Conflict>(&response)?.failed)),
            BAD_REQUEST => Err(bad_request_error(&response)),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Creates a lease and returns its id.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.wait_for_budget(0, RequestPriority::Renewal).await?;
        let body = LeaseAsk {
            ttl_ms: ttl.as_millis() as u64,
        };
        let response = self
            .request("POST", "/grants", &cbor::encode(&body))
            .await?;
        match response.status {
            OK => Ok(decode::<LeaseId>(&response)?.lease),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Renews a lease. Fails with `LeaseNotFound` if it has ended.
    pub async fn renew(&self, lease: u64) -> Result<(), StoreError> {
        self.wait_for_budget(0, RequestPriority::Renewal).await?;
        let path = format!("/grants/{lease}/touch");
        let response = self.request("POST", &path, &[]).await?;
        match response.status {
            OK => Ok(()),
            NOT_FOUND => Err(StoreError::LeaseNotFound),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Ends a lease. It is no error if the lease has ended already.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        self.wait_for_budget(0, RequestPriority::Renewal).await?;
        let path = format!("/grants/{lease}");
        self.request("DELETE", &path, &[]).await.map(drop)
    }

    /// Returns the changes of the keys that have a prefix after the revision `since`, waiting up to
    /// `wait` for the first one. Fails with `RevisionTooOld` if the store no longer keeps them.
    pub async fn read_changes(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
        priority: RequestPriority,
    ) -> Result<Changes, StoreError> {
        self.wait_for_budget(0, priority).await?;
        let wait_ms = wait.as_millis();
        let path = format!("/follow?prefix={prefix}&since={since}&wait_ms={wait_ms}");
        let client = if wait.is_zero() {
            &self.request_client
        } else {
            &self.watch_client
        };
        let response = client
            .request("GET", &path, &[], self.request_timeout + wait)
            .await;
        let response =
            response.map_err(|error| StoreError::from_request_error("GET", &path, error))?;
        match response.status {
            OK => decode(&response),
            GONE => Err(StoreError::RevisionTooOld),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Sends a request. Rate limiting and server errors become `Refused`, since these statuses say
    /// nothing about the request itself; any other status is left to the caller.
    async fn request(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, StoreError> {
        let response = self
            .request_client
            .request(method, path, body, self.request_timeout)
            .await;
        let response =
            response.map_err(|error| StoreError::from_request_error(method, path, error))?;
        match response.status {
            status @ (TOO_MANY_REQUESTS | FIRST_SERVER_ERROR..) => Err(StoreError::Refused(status)),
            _ => Ok(response),
        }
    }

    fn take_budget(&self, writes: usize, priority: RequestPriority) -> Result<(), StoreError> {
        let taken = self
            .budget
            .borrow_mut()
            .take(self.now_s(), writes, priority);
        taken.map_err(|exhausted| StoreError::BudgetExhausted(exhausted.wait_s))
    }

    /// Waits until the budget allows a request, and takes the request out of it. Fails as soon as
    /// the wait would take longer than the request timeout.
    async fn wait_for_budget(
        &self,
        writes: usize,
        priority: RequestPriority,
    ) -> Result<(), StoreError> {
        let started_at = Instant::now();
        loop {
            match self.take_budget(writes, priority) {
                Err(StoreError::BudgetExhausted(wait_s))
                    if started_at.elapsed().as_secs_f64() + wait_s
                        < self.request_timeout.as_secs_f64() =>
                {
                    smol::Timer::after(Duration::from_secs_f64(wait_s + WAIT_SLACK_S)).await;
                }
                other => return other,
            }
        }
    }

    /// Returns the current time on the budget's clock, in seconds.
    fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// Decodes the body of a response. A body that can't be decoded is an unknown outcome and not a
/// refusal, since the store has processed the request.
fn decode<T: serde::de::DeserializeOwned>(response: &Response) -> Result<T, StoreError> {
    cbor::decode(&response.body).map_err(|error| {
        StoreError::OutcomeUnknown(format!("the response can't be decoded: {error}"))
    })
}

/// Returns the error for a bad request: either a lease has ended, or the store can't accept the
/// transaction, for example because of a value that is too large.
fn bad_request_error(response: &Response) -> StoreError {
    let text = cbor::decode::<Value>(&response.body).map(|value| format!("{value:?}"));
    let text = text.unwrap_or_default();
    if text.contains(NO_SUCH_LEASE) {
        return StoreError::LeaseNotFound;
    }
    log::error!("event=store_malformed answer=\"{text}\"");
    StoreError::Refused(BAD_REQUEST)
}
