//! Returning machines: idle ones, faulty ones, lost ones, and those that never came up.

use super::MIN_CHARGE_S;
use crate::cluster::SLOW_BOOT_FACTOR;
use crate::leader::{Action, Leader, Rostered};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::MachineType;

/// A machine that takes this many times its nominal boot time is given up.
const MAX_BOOT_TIMES: f64 = 3.5;

/// Heartbeat intervals for which an idle machine is kept at least: work that was given to it may
/// show only then.
const MIN_RETENTION_HEARTBEATS: f64 = 1.25;

/// Part of all machines that a new leader returns soon if they are the only ones not heard.
const FEW_UNKNOWN_SHARE: f64 = 0.02;

/// Most names of one release (a figure of the protocol).
pub(super) const MAX_MACHINES_PER_RELEASE: usize = 100;

/// How many times cheaper than an ordinary machine one of this type and kind is.
fn price_advantage(t: &MachineType, spot: bool) -> f64 {
    if spot {
        t.price / t.spot_price.max(1e-9)
    } else {
        1.0
    }
}

impl Leader {
    /// How long machines are kept for the next gang of a class that has no other type, and that
    /// could hardly start in time on a machine that must boot first.
    fn gang_retention(&self, scarce: &BTreeSet<(String, bool)>) -> BTreeMap<(String, bool), f64> {
        let mut out: BTreeMap<(String, bool), f64> = BTreeMap::new();
        for (class, shape) in self.cluster.class_profiles.iter().filter(|(_, s)| s.gang) {
            let Some(within) = self.cluster.config.wait_s.get(class) else {
                continue;
            };
            for t in self
                .cluster
                .types
                .values()
                .filter(|t| shape.fits(t) && t.boot_s * SLOW_BOOT_FACTOR > within / 2.0)
            {
                for spot in [true, false]
                    .into_iter()
                    .filter(|spot| scarce.contains(&(t.name.clone(), *spot)))
                {
                    let retention = out.entry((t.name.clone(), spot)).or_default();
                    *retention = retention.max(*within);
                }
            }
        }
        out
    }

    pub(super) fn scale_in(&mut self, scarce: &BTreeSet<(String, bool)>, now: Secs) {
        // While work waits until all machines are known, idle ones are not idle for lack of work.
        let blocked = self.waits_for_unknown_machines();
        let retention = self.retention(scarce, now);
        let mut release = self.drain_and_release(&retention, blocked, now);
        if blocked && self.should_give_up_unknown(now) {
            release.extend(self.release_unknown());
        }
        release.extend(self.late_boots(now));
        release.retain(|n| self.autoscaler.releasing.insert(n.clone()));
        for names in release.chunks(MAX_MACHINES_PER_RELEASE) {
            self.actions.push(Action::Deprovision(names.to_vec()));
        }
    }

    /// How long idle machines of each type are kept.
    fn retention(&mut self, scarce: &BTreeSet<(String, bool)>, now: Secs) -> RetentionByType {
        let warm = self.gang_retention(scarce);
        let idle = self
            .cluster
            .machines
            .values()
            .filter(|m| m.open() && m.tasks.is_empty() && m.reserved.is_empty());
        let idle_cpus = idle
            .filter_map(|m| self.cluster.capacity(&m.kind))
            .map(|capacity| capacity.cpus)
            .sum();
        let boots = self.cluster.types.values();
        let longest_retention = boots
            .map(|t| t.boot_s * price_advantage(t, true))
            .fold(0.0, f64::max);
        self.autoscaler
            .forget_arrivals(now - longest_retention * self.cluster.config.idle_retention_boots);
        let least = self.cluster.config.heartbeat_s * MIN_RETENTION_HEARTBEATS;
        let retention_s = |boot_s: f64, price_advantage: f64, for_gangs: f64| {
            let retention_s = boot_s * self.cluster.config.idle_retention_boots * price_advantage;
            let retention_s =
                retention_s * self.autoscaler.demand_share(now - retention_s, idle_cpus);
            retention_s.max(for_gangs).max(least)
        };
        let by_type = self.cluster.types.iter().map(|(kind, t)| {
            let retention_for = |spot: bool| {
                let for_gangs = warm.get(&(kind.clone(), spot)).copied().unwrap_or(0.0);
                retention_s(t.boot_s, price_advantage(t, spot), for_gangs)
            };
            let retention = IdleRetention {
                boot_s: t.boot_s,
                ordinary_s: retention_for(false),
                spot_s: retention_for(true),
            };
            (kind.clone(), retention)
        });
        let unknown_s = retention_s(MIN_CHARGE_S, 1.0, 0.0);
        RetentionByType {
            by_type: by_type.collect(),
            unknown_type: IdleRetention {
                boot_s: MIN_CHARGE_S,
                ordinary_s: unknown_s,
                spot_s: unknown_s,
            },
        }
    }

    /// Has owners place nothing more on machines that were idle for too long, are faulty or lost; names
    /// those that can be returned now.
    fn drain_and_release(
        &mut self,
        retention: &RetentionByType,
        blocked: bool,
        now: Secs,
    ) -> Vec<String> {
        let (mut drained, mut release) = (Vec::new(), Vec::new());
        for (name, m) in self
            .cluster
            .machines
            .iter_mut()
            .filter(|(_, m)| !m.releasing)
        {
            let retention = retention.of(&m.kind);
            let in_use = !m.tasks.is_empty() || !m.reserved.is_empty() || !m.is_idle;
            if in_use || blocked || self.autoscaler.retained.contains(name) {
                m.idle_since = now;
            }
            let idle_s = now - m.idle_since;
            let faulty = m.failed_jobs.len() >= 2;
            let lost = m.lapsed_at.is_some_and(|at| now - at > retention.boot_s);
            let dispensable = idle_s > retention.retention_s(m.spot) || faulty;
            if (lost || m.rostered == Rostered::Yes && dispensable) && !m.drain {
                log::info!(
                    "event=drain machine={name} idle_s={idle_s:.0} faulty={faulty} lost={lost}"
                );
                m.drain = true;
                drained.push(name.clone());
                continue;
            }
            // Also of a lost machine its owner must show first that it places nothing there: it
            // may have come back meanwhile, and what is placed on a returned machine is lost.
            if m.drain && m.confirmed_unusable && m.reconciled && !in_use {
                m.releasing = true;
                release.push(name.clone());
            }
        }
        for name in drained {
            self.send_usable(&name);
        }
        release
    }

    /// Whether machines that were not heard under this leader are given up. Either it is long enough for a
    /// worker to give up twice on a controller that does not answer; or nearly all were heard, and the last
    /// of them a while ago, long enough for a worker whose heartbeat was lost to try again: the few that are
    /// left are dead, and all work would wait for them.
    fn should_give_up_unknown(&self, now: Secs) -> bool {
        let few = self.cluster.unknown.len() as f64
            <= self.cluster.machines.len() as f64 * FEW_UNKNOWN_SHARE;
        let last_heard = now - self.cluster.known_at.max(self.epochs.began_at())
            <= wire::ANSWER_DROPPED_S * 1.25;
        let long = now - self.epochs.began_at()
            > 2.0 * wire::ANSWER_DROPPED_S + 1.5 * self.cluster.config.heartbeat_s;
        long || few && !last_heard
    }

    /// Work waits for machines that do not heartbeat: once returned they are reconciled.
    fn release_unknown(&mut self) -> Vec<String> {
        let silent = self.cluster.machines.iter_mut();
        let silent = silent.filter(|(_, m)| m.unknown && !m.releasing);
        let names = silent.map(|(name, m)| {
            m.releasing = true;
            name.clone()
        });
        let names: Vec<String> = names.collect();
        for name in &names {
            log::info!("event=machine_silent machine={name}");
            // It may be heard after all before it is gone; nothing is to be placed on it.
            self.send_usable(name);
        }
        names
    }

    /// Machines that should have come up long ago.
    fn late_boots(&self, now: Secs) -> Vec<String> {
        let boot_s = |kind: &str| {
            self.cluster
                .types
                .get(kind)
                .map_or(MIN_CHARGE_S, |t| t.boot_s)
        };
        let booting = self.autoscaler.booting.iter();
        let late = booting.filter(|(_, b)| now - b.requested_at > MAX_BOOT_TIMES * boot_s(&b.kind));
        let names: Vec<String> = late.map(|(name, _)| name.clone()).collect();
        for name in &names {
            log::info!("event=boot_timeout machine={name}");
        }
        names
    }
}

/// How long idle machines of a type are kept, and its boot time.
struct IdleRetention {
    boot_s: f64,
    ordinary_s: f64,
    spot_s: f64,
}

impl IdleRetention {
    fn retention_s(&self, spot: bool) -> f64 {
        if spot {
            self.spot_s
        } else {
            self.ordinary_s
        }
    }
}

/// The same for all types.
struct RetentionByType {
    by_type: BTreeMap<String, IdleRetention>,
    /// For machines whose type the cloud does not list.
    unknown_type: IdleRetention,
}

impl RetentionByType {
    fn of(&self, kind: &str) -> &IdleRetention {
        self.by_type.get(kind).unwrap_or(&self.unknown_type)
    }
}
