//! Typed requests to the state service.

use crate::budget::{Budget, Rates, RequestPriority, Shares};
use http::client::{Client, RequestError, Response};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::cbor;
use wire::store::{Changes, Conflict, Item, LeaseAsk, LeaseId, Page, Revision, Txn, Value};

/// The status of a request beyond the store's rate.
pub const TOO_MANY_REQUESTS: u16 = 429;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const GONE: u16 = 410;
const FIRST_SERVER_ERROR: u16 = 500;

/// The text in a bad request's response that names a lease which has ended.
const NO_SUCH_LEASE: &str = "no such lease";

/// Idle connections kept for requests that are answered at once.
const MAX_IDLE_REQUEST_CONNECTIONS: usize = 4;
/// Largest body of such an response, in bytes.
const MAX_REQUEST_RESPONSE_BYTES: usize = 2 << 20;
/// Idle connections kept for watches, which wait for changes.
const MAX_IDLE_WATCH_CONNECTIONS: usize = 2;
/// Largest body of a watch's response, in bytes.
const MAX_WATCH_RESPONSE_BYTES: usize = 8 << 20;
/// Most keys in a page.
const PAGE_KEYS: u32 = 250;
/// Added to a wait for the budget, in seconds, so that rounding does not end it early.
const WAIT_SLACK_S: f64 = 0.002;

/// Why a request to the store did not give a result.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StoreError {
    /// The store did not carry the request out and answered with this status.
    #[error("the store did not execute the request (status {0})")]
    Refused(u16),
    /// The request did not reach the store; names the request and the cause.
    #[error("the request did not reach the store: {0}")]
    NotSent(String),
    /// Not sent: this controller's budget allows the request after so many seconds.
    #[error("own budget is used up for {0:.2} s")]
    BudgetExhausted(f64),
    /// The request may have been carried out, or may still be; names the request and the cause.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The response has so many bytes, more than the client accepts.
    #[error("the response of {0} bytes is larger than accepted")]
    ResponseTooLarge(usize),
    /// The lease has ended.
    #[error("no such lease")]
    LeaseNotFound,
    /// The store no longer keeps the changes after that revision.
    #[error("the revision asked for is too old")]
    RevisionTooOld,
}

impl StoreError {
    /// The error of a request, e.g. `POST /txn`, that was not answered.
    fn from_request_error(method: &str, path: &str, error: RequestError) -> StoreError {
        match error {
            RequestError::NotSent(cause) => {
                StoreError::NotSent(format!("{method} {path}: {cause}"))
            }
            RequestError::TooLarge(bytes) => StoreError::ResponseTooLarge(bytes),
            RequestError::Unknown(cause) => {
                StoreError::OutcomeUnknown(format!("{method} {path}: {cause}"))
            }
        }
    }
}

/// Result of a transaction that the store has decided.
#[derive(Debug, PartialEq)]
pub enum TxnOutcome {
    /// Applied at this revision, which is the new version of each key that was put.
    Applied(u64),
    /// Not applied: the versions of these keys did not match the conditions.
    Conflict(Vec<String>),
}

/// A client of the state service with this controller's budget.
pub struct Store {
    request_client: Client,
    watch_client: Client,
    budget: RefCell<Budget>,
    started_at: Instant,
    /// How long a request may take, the wait for the budget apart.
    pub request_timeout: Duration,
}

impl Store {
    /// A client of the service at an address.
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

    /// Changes the parts of the request and write rates that this controller may use.
    pub fn set_shares(&self, shares: Shares) {
        self.budget.borrow_mut().set_shares(shares, self.now_s());
    }

    /// Reads a key; none if it does not exist.
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

    /// Reads a page of the keys with a prefix, after the key `since`.
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

    /// Carries out a transaction; `LeaseNotFound` if one of its writes names a lease that has ended. Submissions are
    /// refused at once when the budget is used up; other ranks wait for it.
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

    /// Creates a lease; returns its id.
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

    /// Renews a lease; `LeaseNotFound` if it has ended.
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

    /// Ends a lease; one that has ended already is no error.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        self.wait_for_budget(0, RequestPriority::Renewal).await?;
        let path = format!("/grants/{lease}");
        self.request("DELETE", &path, &[]).await.map(drop)
    }

    /// Reads the changes after the revision `since`, waiting up to `wait` for the first one; `RevisionTooOld` if the
    /// store does not keep them any more.
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

    /// Sends a request; statuses that say nothing of the request itself are errors.
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

    /// Waits for the budget, at most as long as a request may take.
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

    /// Seconds on the budget's clock.
    fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// Decodes a response's body. The request was carried out even if its response can't be read.
fn decode<T: serde::de::DeserializeOwned>(response: &Response) -> Result<T, StoreError> {
    cbor::decode(&response.body)
        .map_err(|error| StoreError::OutcomeUnknown(format!("the response can't be read: {error}")))
}

/// Tells an ended lease from a transaction that the store can't accept, e.g. for a value that is too large.
fn bad_request_error(response: &Response) -> StoreError {
    let text = cbor::decode::<Value>(&response.body).map(|value| format!("{value:?}"));
    let text = text.unwrap_or_default();
    if text.contains(NO_SUCH_LEASE) {
        return StoreError::LeaseNotFound;
    }
    log::error!("event=store_malformed answer=\"{text}\"");
    StoreError::Refused(BAD_REQUEST)
}
