//! A controller's share of the store's request and write rates, in ranks.

/// What a request is for, most important first. Each rank leaves a part of the burst to the
/// ranks before it, so that renewals are never starved and decisions go before submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    Renewal,
    Decision,
    Submission,
}

impl Rank {
    /// Part of the burst that must remain untouched by this rank.
    fn reserve(self) -> f64 {
        match self {
            Rank::Renewal => 0.0,
            Rank::Decision => 0.15,
            Rank::Submission => 0.35,
        }
    }
}

/// A token bucket with one second's worth of burst.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, level: rate, at: 0.0 }
    }

    fn fill(&mut self, now: f64) {
        if now > self.at {
            self.level = (self.level + (now - self.at) * self.rate).min(self.rate);
            self.at = now;
        }
    }

    /// Seconds until `n` can be taken with the rank's reserve left; 0 if at once. What is
    /// larger than the bucket is let through when the bucket is full.
    fn wait(&self, n: f64, rank: Rank) -> f64 {
        let need = (n + rank.reserve() * self.rate).min(self.rate);
        ((need - self.level) / self.rate).max(0.0)
    }
}

/// Requests and writes that this controller may still make.
#[derive(Debug)]
pub struct Budget {
    requests: Bucket,
    writes: Bucket,
}

impl Budget {
    /// This controller's parts of the rates that the settings give for all.
    pub fn new(rps: f64, write_rps: f64) -> Budget {
        Budget { requests: Bucket::new(rps), writes: Bucket::new(write_rps) }
    }

    /// Changes the parts, e.g. when this controller becomes the leader.
    pub fn set_shares(&mut self, rps: f64, write_rps: f64, now: f64) {
        for (bucket, rate) in [(&mut self.requests, rps), (&mut self.writes, write_rps)] {
            bucket.fill(now);
            bucket.rate = rate;
            bucket.level = bucket.level.min(bucket.rate);
        }
    }

    /// Takes one request with `writes` writes, or says how long to wait.
    pub fn take(&mut self, now: f64, writes: usize, rank: Rank) -> Result<(), f64> {
        self.requests.fill(now);
        self.writes.fill(now);
        let wait = self.requests.wait(1.0, rank).max(if writes > 0 { self.writes.wait(writes as f64, rank) } else { 0.0 });
        if wait > 0.0 {
            return Err(wait);
        }
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranks_leave_room_for_the_ranks_before_them() {
        let mut b = Budget::new(20.0, 10.0);
        let mut taken = [0; 3];
        for (i, rank) in [Rank::Submission, Rank::Decision, Rank::Renewal].into_iter().enumerate() {
            while b.take(0.0, 0, rank).is_ok() {
                taken[i] += 1;
            }
        }
        assert_eq!(taken, [13, 4, 3]);
        let wait = b.take(0.0, 0, Rank::Renewal).unwrap_err();
        assert!(b.take(wait + 1e-6, 0, Rank::Renewal).is_ok());
    }

    #[test]
    fn never_more_than_rate_and_burst() {
        let mut b = Budget::new(10.0, 5.0);
        let (mut now, mut writes) = (0.0, 0);
        while now < 10.0 {
            if b.take(now, 1, Rank::Renewal).is_ok() {
                writes += 1;
            }
            now += 0.01;
        }
        assert!((50..=56).contains(&writes), "{writes}");
    }
}
