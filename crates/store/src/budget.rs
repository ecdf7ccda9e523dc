//! Client-side rate limiting: a controller's share of the store's request and write rates, as token
//! buckets with request priorities.
//!
//! Times are in seconds on one monotonic clock of the caller's choice.

/// Priority of a request to the store, highest first. Each priority leaves a part of the burst to
/// the higher ones, so that renewals are never starved and decisions go before submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Lease renewals.
    Renewal,
    /// Scheduling decisions of the leader, cancellations, and reads.
    Decision,
    /// Job submissions by users.
    Submission,
}

/// Fractions of the burst, 0 to 1, that are reserved for higher priorities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// Fraction that decisions leave for renewals.
    pub decision: f64,
    /// Fraction that submissions leave for decisions and renewals.
    pub submission: f64,
}

impl Reserve {
    fn for_priority(self, priority: RequestPriority) -> f64 {
        match priority {
            RequestPriority::Renewal => 0.0,
            RequestPriority::Decision => self.decision,
            RequestPriority::Submission => self.submission,
        }
    }
}

/// A controller's share of one of the store's rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Fraction, 0 to 1, of the rate that the settings allow for all controllers together.
    pub fraction: f64,
    /// Burst size: what the share's rate yields in this many seconds.
    pub burst_s: f64,
    /// Fractions of the burst that lower priorities leave unused.
    pub reserve: Reserve,
}

/// A controller's shares of the store's request and write rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Share of the request rate.
    pub requests: Share,
    /// Share of the write rate.
    pub writes: Share,
}

/// Store rates that the settings allow for all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Puts and deletes per second.
    pub writes_per_s: f64,
}

/// Error of a request that the budget does not allow yet.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("the request budget is exhausted; the request is allowed in {wait_s:.2} s")]
pub struct BudgetExhausted {
    /// Seconds until the request is allowed if no other one is sent before.
    pub wait_s: f64,
}

/// A token bucket that holds back a reserve for higher priorities.
#[derive(Debug)]
struct TokenBucket {
    /// Refill rate in tokens per second.
    rate: f64,
    capacity: f64,
    reserve: Reserve,
    tokens: f64,
    /// Time of the last refill, in seconds.
    refilled_at: f64,
}

impl TokenBucket {
    fn new(total_rate: f64, share: Share) -> TokenBucket {
        let rate = total_rate * share.fraction;
        let capacity = rate * share.burst_s;
        TokenBucket {
            rate,
            capacity,
            reserve: share.reserve,
            tokens: capacity,
            refilled_at: 0.0,
        }
    }

    fn refill(&mut self, now: f64) {
        if now > self.refilled_at {
            self.tokens = (self.tokens + (now - self.refilled_at) * self.rate).min(self.capacity);
            self.refilled_at = now;
        }
    }

    /// Changes the share. The tokens stay as they are, so a larger burst is not available at once.
    /// A smaller burst limits them to its size.
    fn set_share(&mut self, total_rate: f64, share: Share, now: f64) {
        self.refill(now);
        let tokens = self.tokens;
        *self = TokenBucket::new(total_rate, share);
        self.tokens = tokens.min(self.capacity);
        self.refilled_at = now;
    }

    /// Returns the seconds until `tokens` can be taken without touching the reserve for higher
    /// priorities. If tokens and reserve exceed the capacity, a full bucket is enough.
    fn wait_s(&self, tokens: f64, priority: RequestPriority) -> f64 {
        let needed =
            (tokens + self.reserve.for_priority(priority) * self.capacity).min(self.capacity);
        ((needed - self.tokens) / self.rate).max(0.0)
    }

    fn drain(&mut self, now: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}

/// The budget of requests and writes that this controller may send to the store.
#[derive(Debug)]
pub struct Budget {
    rates: Rates,
    requests: TokenBucket,
    writes: TokenBucket,
}

impl Budget {
    /// Creates a budget whose buckets are full at time 0.
    pub fn new(rates: Rates, shares: Shares) -> Budget {
        let requests = TokenBucket::new(rates.requests_per_s, shares.requests);
        let writes = TokenBucket::new(rates.writes_per_s, shares.writes);
        Budget {
            rates,
            requests,
            writes,
        }
    }

    /// Changes the shares, for example when this controller becomes the leader.
    pub fn set_shares(&mut self, shares: Shares, now: f64) {
        self.requests
            .set_share(self.rates.requests_per_s, shares.requests, now);
        self.writes
            .set_share(self.rates.writes_per_s, shares.writes, now);
    }

    /// Records that the store refused a request because its rate was exceeded. The remaining tokens
    /// are dropped, since other controllers have used up the store's rate, or that rate is lower
    /// than in the settings. A renewal then waits at most until the bucket holds the tokens of one
    /// request.
    pub fn record_refusal(&mut self, now: f64, writes: usize) {
        if writes > 0 {
            self.writes.drain(now);
        } else {
            self.requests.drain(now);
        }
    }

    /// Takes one request with `writes` writes out of the budget.
    ///
    /// # Errors
    ///
    /// Fails without taking anything if the budget does not allow the request yet.
    pub fn take(
        &mut self,
        now: f64,
        writes: usize,
        priority: RequestPriority,
    ) -> Result<(), BudgetExhausted> {
        self.requests.refill(now);
        self.writes.refill(now);
        let writes_wait_s = if writes > 0 {
            self.writes.wait_s(writes as f64, priority)
        } else {
            0.0
        };
        let wait_s = self.requests.wait_s(1.0, priority).max(writes_wait_s);
        if wait_s > 0.0 {
            return Err(BudgetExhausted { wait_s });
        }
        self.requests.tokens -= 1.0;
        self.writes.tokens -= writes as f64;
        Ok(())
    }
}
