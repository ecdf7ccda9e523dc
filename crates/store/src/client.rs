//! Typed requests to the state service.

use crate::budget::{Budget, Rank, Rates, Shares};
use http::client::{Client, RequestError};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::cbor;
use wire::store::{Changes, Conflict, Item, LeaseAsk, LeaseId, Page, Revision, Txn, Value};

/// The status of a request beyond the store's rate.
pub const TOO_MANY_REQUESTS: u16 = 429;

/// Why a request to the store did not give what was asked.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StoreError {
    #[error("the store did not execute the request (status {0})")]
    /// Not carried out, with the status; 0 if it was not sent.
    Refused(u16),
    #[error("own budget is used up for {0:.2} s")]
    /// Not sent; the budget allows it after so many seconds.
    Budget(f64),
    #[error("outcome unknown: {0}")]
    /// It may have been carried out, or may still be.
    Unknown(String),
    #[error("the answer of {0} bytes is larger than is taken")]
    /// The answer has more bytes than are taken.
    TooLarge(usize),
    #[error("no such lease")]
    /// The lease has ended.
    NoLease,
    #[error("the revision asked for is too old")]
    /// The changes after that revision are not kept any more.
    TooOld,
}

/// Result of a transaction that the store has decided.
#[derive(Debug, PartialEq)]
pub enum Decided {
    /// Carried out, at this revision.
    Applied(u64),
    /// The keys whose versions were not as the conditions say.
    Conflict(Vec<String>),
}

/// A client of the state service with this controller's budget.
pub struct Store {
    quick: Client,
    watch: Client,
    budget: RefCell<Budget>,
    start: Instant,
    /// How long a request may take.
    pub limit: Duration,
}

impl Store {
    /// A client of the service at an address.
    pub fn new(addr: SocketAddr, rates: Rates, shares: Shares, limit: Duration) -> Store {
        Store {
            quick: Client::new(addr, 4, 2 << 20),
            watch: Client::new(addr, 2, 8 << 20),
            budget: RefCell::new(Budget::new(rates, shares)),
            start: Instant::now(),
            limit,
        }
    }

    /// Changes the parts of the request and write rates that this controller may take.
    pub fn set_shares(&self, shares: Shares) {
        let now = self.start.elapsed().as_secs_f64();
        self.budget.borrow_mut().set_shares(shares, now);
    }

    fn take(&self, writes: usize, rank: Rank) -> Result<(), StoreError> {
        let now = self.start.elapsed().as_secs_f64();
        self.budget
            .borrow_mut()
            .take(now, writes, rank)
            .map_err(StoreError::Budget)
    }

    /// Waits for the budget, as far as `limit` allows.
    async fn wait(&self, writes: usize, rank: Rank, limit: Duration) -> Result<(), StoreError> {
        let started_at = Instant::now();
        loop {
            match self.take(writes, rank) {
                Err(StoreError::Budget(s))
                    if started_at.elapsed().as_secs_f64() + s < limit.as_secs_f64() =>
                {
                    smol::Timer::after(Duration::from_secs_f64(s + 0.002)).await;
                }
                other => return other,
            }
        }
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), StoreError> {
        match self.quick.request(method, path, body, self.limit).await {
            Ok(a) if a.status == 429 || a.status >= 500 => Err(StoreError::Refused(a.status)),
            Ok(a) => Ok((a.status, a.body)),
            Err(e) => Err(failed(e)),
        }
    }

    fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
        cbor::decode(body).map_err(|e| StoreError::Unknown(e.to_string()))
    }

    /// One key; none if it does not exist.
    pub async fn get(&self, key: &str, rank: Rank) -> Result<Option<Item>, StoreError> {
        self.wait(0, rank, self.limit).await?;
        match self.ask("GET", &format!("/store/{key}"), &[]).await? {
            (200, body) => Ok(Some(Self::read(&body)?)),
            (404, _) => Ok(None),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// A page of the keys with a prefix.
    pub async fn range(
        &self,
        prefix: &str,
        since: Option<&str>,
        rank: Rank,
    ) -> Result<Page, StoreError> {
        self.wait(0, rank, self.limit).await?;
        let since = since.map(|s| format!("&since={s}")).unwrap_or_default();
        match self
            .ask(
                "GET",
                &format!("/store?prefix={prefix}{since}&most=250"),
                &[],
            )
            .await?
        {
            (200, body) => Self::read(&body),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// A transaction. Waits for the budget unless the rank is that of submissions, which are
    /// refused at once instead.
    pub async fn txn(&self, txn: &Txn, rank: Rank) -> Result<Decided, StoreError> {
        match rank {
            Rank::Submission => self.take(txn.writes.len(), rank)?,
            _ => self.wait(txn.writes.len(), rank, self.limit).await?,
        }
        let answer = self.ask("POST", "/txn", &cbor::encode(txn)).await;
        if answer == Err(StoreError::Refused(TOO_MANY_REQUESTS)) {
            let now = self.start.elapsed().as_secs_f64();
            self.budget.borrow_mut().refused(now, txn.writes.len());
        }
        match answer? {
            (200, body) => Ok(Decided::Applied(Self::read::<Revision>(&body)?.revision)),
            (409, body) => Ok(Decided::Conflict(Self::read::<Conflict>(&body)?.failed)),
            (400, body) => {
                let text = cbor::decode::<Value>(&body)
                    .map(|v| format!("{v:?}"))
                    .unwrap_or_default();
                if text.contains("no such lease") {
                    Err(StoreError::NoLease)
                } else {
                    log::error!("event=store_malformed answer=\"{text}\"");
                    Err(StoreError::Refused(400))
                }
            }
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Takes a lease; its id.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.wait(0, Rank::Renewal, self.limit).await?;
        match self
            .ask(
                "POST",
                "/grants",
                &cbor::encode(&LeaseAsk {
                    ttl_ms: ttl.as_millis() as u64,
                }),
            )
            .await?
        {
            (200, body) => Ok(Self::read::<LeaseId>(&body)?.lease),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Renews a lease.
    pub async fn touch(&self, lease: u64) -> Result<(), StoreError> {
        self.wait(0, Rank::Renewal, self.limit).await?;
        match self
            .ask("POST", &format!("/grants/{lease}/touch"), &[])
            .await?
        {
            (200, _) => Ok(()),
            (404, _) => Err(StoreError::NoLease),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Ends a lease.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        self.wait(0, Rank::Renewal, self.limit).await?;
        self.ask("DELETE", &format!("/grants/{lease}"), &[])
            .await
            .map(|_| ())
    }

    /// Changes after a revision; with a wait of zero it answers at once.
    pub async fn follow(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
        rank: Rank,
    ) -> Result<Changes, StoreError> {
        self.wait(0, rank, self.limit).await?;
        let path = format!(
            "/follow?prefix={prefix}&since={since}&wait_ms={}",
            wait.as_millis()
        );
        let client = if wait.is_zero() {
            &self.quick
        } else {
            &self.watch
        };
        match client.request("GET", &path, &[], self.limit + wait).await {
            Ok(a) if a.status == 200 => Self::read(&a.body),
            Ok(a) if a.status == 410 => Err(StoreError::TooOld),
            Ok(a) => Err(StoreError::Refused(a.status)),
            Err(RequestError::NotSent(e)) => Err(StoreError::Unknown(e.cause.to_string())),
            Err(e) => Err(failed(e)),
        }
    }
}

fn failed(error: RequestError) -> StoreError {
    match error {
        RequestError::NotSent(_) => StoreError::Refused(0),
        RequestError::TooLarge(bytes) => StoreError::TooLarge(bytes),
        RequestError::Unknown(e) => StoreError::Unknown(e.cause.to_string()),
    }
}
