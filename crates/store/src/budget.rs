//! A controller's share of the store's request and write rates, in ranks.

/// What a request is for, most important first. Each rank leaves a part of the burst to the
/// ranks before it, so that renewals are never starved and decisions go before submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Renewals of leases, which always come first.
    Renewal,
    /// The leader's decisions, cancellations and reads.
    Decision,
    /// Users' submissions.
    Submission,
}

/// Parts of a burst that must remain untouched by each rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// What decisions leave to renewals.
    pub decision: f64,
    /// What submissions leave to decisions and renewals.
    pub submission: f64,
}

impl Reserve {
    fn of(self, rank: Rank) -> f64 {
        match rank {
            Rank::Renewal => 0.0,
            Rank::Decision => self.decision,
            Rank::Submission => self.submission,
        }
    }
}

/// What a controller may take of one of the store's rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Part of the rate that the settings give for all controllers.
    pub part: f64,
    /// Seconds' worth of that part that may be taken at once.
    pub burst_s: f64,
    /// What is kept back from the lower ranks.
    pub reserve: Reserve,
}

/// What a controller may take of the store's request and write rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Of the requests.
    pub requests: Share,
    /// Of the puts and deletes.
    pub writes: Share,
}

/// The store's rates, as the settings give them for all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Puts and deletes a second.
    pub writes_per_s: f64,
}

/// A token bucket.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    capacity: f64,
    reserve: Reserve,
    level: f64,
    filled_at: f64,
}

impl Bucket {
    fn new(rate_of_all: f64, share: Share) -> Bucket {
        let rate = rate_of_all * share.part;
        let capacity = rate * share.burst_s;
        Bucket {
            rate,
            capacity,
            reserve: share.reserve,
            level: capacity,
            filled_at: 0.0,
        }
    }

    fn fill(&mut self, now: f64) {
        if now > self.filled_at {
            self.level = (self.level + (now - self.filled_at) * self.rate).min(self.capacity);
            self.filled_at = now;
        }
    }

    /// Another share from now on; what it allows at once is not there from the start.
    fn change(&mut self, rate_of_all: f64, share: Share, now: f64) {
        self.fill(now);
        let level = self.level;
        *self = Bucket::new(rate_of_all, share);
        self.level = level.min(self.capacity);
        self.filled_at = now;
    }

    /// Seconds until `n` can be taken with the rank's reserve left; 0 if at once. What is
    /// larger than the bucket is let through when the bucket is full.
    fn wait(&self, n: f64, rank: Rank) -> f64 {
        let need = (n + self.reserve.of(rank) * self.capacity).min(self.capacity);
        ((need - self.level) / self.rate).max(0.0)
    }
}

/// Requests and writes that this controller may still make.
#[derive(Debug)]
pub struct Budget {
    rates: Rates,
    requests: Bucket,
    writes: Bucket,
}

impl Budget {
    /// A budget that is full at first.
    pub fn new(rates: Rates, shares: Shares) -> Budget {
        let requests = Bucket::new(rates.requests_per_s, shares.requests);
        let writes = Bucket::new(rates.writes_per_s, shares.writes);
        Budget {
            rates,
            requests,
            writes,
        }
    }

    /// Changes the shares, e.g. when this controller becomes the leader.
    pub fn set_shares(&mut self, shares: Shares, now: f64) {
        self.requests
            .change(self.rates.requests_per_s, shares.requests, now);
        self.writes
            .change(self.rates.writes_per_s, shares.writes, now);
    }

    /// The store has refused a request for going beyond its rate: what was left of the burst is not there,
    /// since others took it or the rate is lower than the settings say. Renewals wait for one request's
    /// worth at most.
    pub fn refused(&mut self, now: f64, writes: usize) {
        let bucket = if writes > 0 {
            &mut self.writes
        } else {
            &mut self.requests
        };
        bucket.fill(now);
        bucket.level = bucket.level.min(0.0);
    }

    /// Takes one request with `writes` writes, or says how long to wait.
    pub fn take(&mut self, now: f64, writes: usize, rank: Rank) -> Result<(), f64> {
        self.requests.fill(now);
        self.writes.fill(now);
        let wait_for_writes = if writes > 0 {
            self.writes.wait(writes as f64, rank)
        } else {
            0.0
        };
        let wait = self.requests.wait(1.0, rank).max(wait_for_writes);
        if wait > 0.0 {
            return Err(wait);
        }
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
        Ok(())
    }
}
