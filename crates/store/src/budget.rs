//! A controller's share of the store's request and write rates, in ranks.
//!
//! Times are seconds on one steady clock of the caller's choice.

/// What a request is for, most important first. Each priority leaves a part of the burst to the ranks before it,
/// so that renewals are never starved and decisions go before submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Renewals of leases.
    Renewal,
    /// The leader's decisions, cancellations and reads.
    Decision,
    /// Users' submissions.
    Submission,
}

/// Parts of the burst, 0 to 1, that each priority leaves to those before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// What decisions leave to renewals.
    pub decision: f64,
    /// What submissions leave to decisions and renewals.
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

/// What a controller may use of one of the store's rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Part, 0 to 1, of the rate that the settings give for all controllers.
    pub fraction: f64,
    /// The burst: as much as this part yields in so many seconds may be used at once.
    pub burst_s: f64,
    /// What lower ranks leave of the burst.
    pub reserve: Reserve,
}

/// What a controller may use of the store's request and write rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Share of the request rate.
    pub requests: Share,
    /// Share of the write rate.
    pub writes: Share,
}

/// The store's rates, as the settings give them for all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Puts and deletes per second.
    pub writes_per_s: f64,
}

/// The budget does not allow a request yet.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("the budget allows the request in {wait_s:.2} s")]
pub struct BudgetExhausted {
    /// Seconds until the request is allowed, if nothing else is sent.
    pub wait_s: f64,
}

/// A token bucket.
#[derive(Debug)]
struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    capacity: f64,
    reserve: Reserve,
    tokens: f64,
    /// The time, in seconds, up to which the bucket was filled.
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

    /// Changes the share; a larger burst is not available from the start.
    fn set_share(&mut self, total_rate: f64, share: Share, now: f64) {
        self.refill(now);
        let tokens = self.tokens;
        *self = TokenBucket::new(total_rate, share);
        self.tokens = tokens.min(self.capacity);
        self.refilled_at = now;
    }

    /// Seconds until so many tokens can be taken with the priority's reserve left. A request that is larger than
    /// the bucket is allowed when the bucket is full.
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

/// The requests and writes that this controller may still send.
#[derive(Debug)]
pub struct Budget {
    rates: Rates,
    requests: TokenBucket,
    writes: TokenBucket,
}

impl Budget {
    /// A budget that is full at time 0.
    pub fn new(rates: Rates, shares: Shares) -> Budget {
        let requests = TokenBucket::new(rates.requests_per_s, shares.requests);
        let writes = TokenBucket::new(rates.writes_per_s, shares.writes);
        Budget {
            rates,
            requests,
            writes,
        }
    }

    /// Changes the shares, e.g. when this controller becomes the leader.
    pub fn set_shares(&mut self, shares: Shares, now: f64) {
        self.requests
            .set_share(self.rates.requests_per_s, shares.requests, now);
        self.writes
            .set_share(self.rates.writes_per_s, shares.writes, now);
    }

    /// Notes that the store refused a request as beyond its rate: the rest of the burst is not available,
    /// since others used it or the rate is lower than the settings say. Renewals then wait for one request's
    /// worth at most.
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
    /// The budget does not allow it yet; nothing is taken.
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
