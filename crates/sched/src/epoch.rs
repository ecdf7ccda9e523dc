//! The leader and its owners: who is heard, what authority they get, and the change of owners
//! under a new token.

use crate::leader::{Action, Leader, OwnerLink, Phase, Rostered, TaskLocation, UnresolvedGroup};
use crate::shard;
use crate::Secs;
use wire::peers::{MachineDescriptor, ToOwner};

/// Most jobs in one message of what is over, so that it stays small.
const TERMINAL_JOBS_PER_MESSAGE: usize = 1000;

impl Leader {
    /// A controller has connected, or was heard.
    pub fn owner_heard(&mut self, member: &str, now: Secs) {
        let link = self.links.entry(member.into()).or_insert(OwnerLink {
            since: now,
            last_heard: now,
            granted_until: f64::MIN,
        });
        link.last_heard = now;
    }

    /// How long this owner may be granted authority that ends before `until`; none if it is
    /// no owner under the present token.
    pub fn grant(&mut self, member: &str, now: Secs, until: Secs) -> Option<Secs> {
        if !self.epoch_set || !self.members.iter().any(|m| m == member) {
            return None;
        }
        let valid = until - now;
        if valid <= 0.0 {
            return None;
        }
        let link = self.links.get_mut(member)?;
        link.granted_until = link.granted_until.max(until);
        Some(valid)
    }

    /// The other controllers are probably starting as well: the first epoch waits for them a
    /// little. Each epoch that moves a machine to another owner costs two of its heartbeats before
    /// it is reconciled, and a worker makes haste for a new token only once in half a lease.
    pub fn expect_others(&mut self) {
        self.others_starting = true;
    }

    /// The connection to an owner is lost.
    pub fn owner_lost(&mut self, member: &str) {
        if let Some(link) = self.links.remove(member) {
            self.lost_until = self.lost_until.max(link.granted_until);
            if self.members.iter().any(|m| m == member) {
                self.epoch_broken = true;
                self.broken.insert(member.into());
            }
        }
    }

    /// Members that are heard and should be owners; the leader itself only if there are none.
    pub(crate) fn wanted_members(&self) -> Vec<String> {
        let mut v: Vec<String> = self.links.keys().cloned().collect();
        if v.is_empty() {
            v.push(self.member.clone());
        }
        v
    }

    pub(crate) fn review_epoch(&mut self, now: Secs, known: usize) {
        let silent: Vec<String> = self
            .links
            .iter()
            .filter(|(_, l)| now - l.last_heard > self.cluster.config.owner_silence_s())
            .map(|(m, _)| m.clone())
            .collect();
        for m in silent {
            log::info!("event=owner_silent member={m}");
            self.owner_lost(&m);
        }
        let wanted = self.wanted_members();
        if self.token_requested || (self.epoch_set && !self.epoch_broken && wanted == self.members)
        {
            return;
        }
        let mut settling_s = self.cluster.config.owner_silence_s() / 8.0;
        if self.others_starting
            && !self.epoch_set
            && now - self.started_at < self.cluster.config.owner_silence_s() * 2.0
        {
            settling_s = self.cluster.config.owner_silence_s();
        }
        let lost =
            self.epoch_broken || self.epoch_set && self.members.iter().any(|m| !wanted.contains(m));
        let newest = self
            .links
            .values()
            .map(|l| l.since)
            .fold(self.started_at, f64::max);
        if !lost && self.links.len() < known && now - newest < settling_s {
            return;
        }
        if self.epoch_set {
            self.token_requested = true;
            self.actions.push(Action::NewToken);
        } else {
            self.begin_epoch(now);
        }
    }

    /// A new token is durable, or could not be had for now.
    pub fn token_result(&mut self, token: Option<u64>, now: Secs) {
        self.token_requested = false;
        if let Some(token) = token {
            self.token = token;
            self.begin_epoch(now);
        }
    }

    pub(crate) fn begin_epoch(&mut self, now: Secs) {
        let wanted = self.wanted_members();
        let old_members = std::mem::replace(&mut self.members, wanted);
        let prev = self.epoch_token;
        self.epoch_token = self.token;
        self.epoch_set = true;
        self.epoch_at = now;
        self.epoch_broken = false;
        let broken = std::mem::take(&mut self.broken);
        // Any earlier owner may have prolonged leases until its authority ends for certain.
        let granted = self
            .links
            .values()
            .map(|l| l.granted_until)
            .fold(self.lost_until, f64::max);
        let extra_ms = ((granted - now).max(0.0) * 1000.0).ceil() as u64;
        log::info!(
            "event=epoch token={} owners={} extra_ms={extra_ms}",
            self.token,
            self.members.join(",")
        );
        let reserving: Vec<String> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, j)| matches!(j.phase, Phase::Reserving { .. } | Phase::Binding { .. }))
            .map(|(id, _)| id.clone())
            .collect();
        for id in reserving {
            self.end_reservation(&id, now, false);
        }
        // Tasks given to an owner and not yet seen may be on any machine that was its.
        for old in &old_members {
            let tasks: Vec<(String, u32)> = self
                .cluster
                .jobs
                .iter()
                .flat_map(|(id, j)| {
                    j.active
                        .iter()
                        .filter(|(_, a)| matches!(&a.location, TaskLocation::Assigned(o, _) if o == old))
                        .map(|(i, _)| (id.clone(), *i))
                })
                .collect();
            if tasks.is_empty() {
                continue;
            }
            let group = self.next_group;
            self.next_group += 1;
            for (id, i) in &tasks {
                if let Some(mut a) = self.cluster.remove_active(id, *i) {
                    a.location = TaskLocation::Unresolved(group);
                    self.cluster.set_active(id, *i, a);
                }
            }
            let machines = self
                .cluster
                .machines
                .iter()
                .filter(|(_, m)| m.owner == *old)
                .map(|(n, _)| n.clone())
                .collect();
            self.groups
                .insert(group, UnresolvedGroup { machines, tasks });
        }
        let token = self.token;
        self.cluster
            .dirty_machines
            .extend(self.cluster.machines.keys().cloned());
        for (name, m) in self.cluster.machines.iter_mut() {
            let owner = shard::owner(name, &self.members)
                .unwrap_or(&self.member)
                .to_string();
            if owner != m.owner || broken.contains(&owner) {
                m.owner = owner;
                m.since = token;
            }
            m.reconciled = false;
            // Owners learn from the cards what they may use; also what an earlier leader rostered.
            m.usable_sent = m.rostered == Rostered::Yes && !m.drain && !m.releasing;
            m.cleared.clear();
            m.confirmed_unusable = false;
        }
        for j in self.cluster.jobs.values_mut() {
            j.clears.clear();
            j.active.values_mut().for_each(|a| a.stop_sent = false);
        }
        let descriptors: Vec<MachineDescriptor> = self
            .cluster
            .machines
            .iter()
            .map(|(n, m)| MachineDescriptor {
                name: n.clone(),
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                usable: m.usable_sent,
            })
            .collect();
        let catalog = ToOwner::Catalog {
            types: self.cluster.types.values().cloned().collect(),
        };
        let terminal: Vec<String> = self.recently_terminal.keys().cloned().collect();
        for member in self.members.clone() {
            let continues = old_members.contains(&member) && !broken.contains(&member);
            let mine = |c: &&MachineDescriptor| {
                self.cluster
                    .machines
                    .get(&c.name)
                    .is_some_and(|m| m.owner == member)
            };
            let machines = descriptors.iter().filter(mine).cloned().collect();
            self.send(
                &member,
                ToOwner::Epoch {
                    token,
                    prev: if continues { prev } else { 0 },
                    members: self.members.clone(),
                    extra_ms,
                    machines,
                },
            );
            self.send(&member, catalog.clone());
            for jobs in terminal.chunks(TERMINAL_JOBS_PER_MESSAGE) {
                self.send(
                    &member,
                    ToOwner::Terminal {
                        jobs: jobs.to_vec(),
                    },
                );
            }
        }
        // Controllers that are no owners learn it too, so that they can redirect workers.
        let member = self.member.clone();
        if !self.members.contains(&member) {
            self.send(
                &member,
                ToOwner::Epoch {
                    token,
                    prev: 0,
                    members: self.members.clone(),
                    extra_ms,
                    machines: Vec::new(),
                },
            );
        }
        self.reconcile();
        self.wake = true;
    }
}
