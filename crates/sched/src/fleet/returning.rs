//! Returning machines: idle ones, faulty ones, lost ones, and those that never came up.

use super::patience::SLOW_BOOT;
use super::LEAST_CHARGE_S;
use crate::leader::{Action, Leader, Rostered};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::MachineType;

/// A machine that takes this many times its nominal boot time is given up.
const BOOTS_TO_WAIT: f64 = 3.5;

/// Report intervals for which an idle machine is kept at least: work that was given to it may
/// show only then.
const REPORTS_KEPT: f64 = 1.25;

/// Part of all machines that a new leader returns soon if they are the only ones not heard.
const FEW_UNKNOWN: f64 = 0.02;

/// Most names of one release (a figure of the protocol).
pub(super) const MOST_RELEASED: usize = 100;

/// How many times cheaper than an ordinary machine one of this type and kind is.
fn cheapness(t: &MachineType, spot: bool) -> f64 {
    if spot {
        t.price / t.spot_price.max(1e-9)
    } else {
        1.0
    }
}

impl Leader {
    /// How long machines are kept for the next gang of a class that has no other type, and that
    /// could hardly start in time on a machine that must boot first.
    fn kept_warm(&self, scarce: &BTreeSet<(String, bool)>) -> BTreeMap<(String, bool), f64> {
        let mut out: BTreeMap<(String, bool), f64> = BTreeMap::new();
        for (class, shape) in self.fleet.shapes.iter().filter(|(_, s)| s.gang) {
            let Some(within) = self.setup.wait_s.get(class) else {
                continue;
            };
            for t in self
                .types
                .values()
                .filter(|t| shape.fits(t) && t.boot_s * SLOW_BOOT > within / 2.0)
            {
                for spot in [true, false]
                    .into_iter()
                    .filter(|spot| scarce.contains(&(t.name.clone(), *spot)))
                {
                    let keep = out.entry((t.name.clone(), spot)).or_default();
                    *keep = keep.max(*within);
                }
            }
        }
        out
    }

    pub(super) fn return_idle(&mut self, scarce: &BTreeSet<(String, bool)>, now: Secs) {
        let mut release: Vec<String> = Vec::new();
        let warm = self.kept_warm(scarce);
        // While work waits until all machines are known, idle ones are not idle for lack of work.
        let blocked = self.waits_for_unknown();
        let idle = self
            .machines
            .values()
            .filter(|m| m.open() && m.tasks.is_empty() && m.held.is_empty());
        let idle_cpus = idle
            .filter_map(|m| self.cap(&m.kind))
            .map(|cap| cap.cpus)
            .sum();
        let longest_keep = self
            .types
            .values()
            .map(|t| t.boot_s * cheapness(t, true))
            .fold(0.0, f64::max);
        self.fleet
            .forget_arrivals(now - longest_keep * self.setup.keep_boots);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            if m.releasing {
                continue;
            }
            let boot = self.types.get(&m.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s);
            let cheapness = self
                .types
                .get(&m.kind)
                .map_or(1.0, |t| cheapness(t, m.spot));
            if !m.tasks.is_empty()
                || !m.held.is_empty()
                || !m.quiet
                || blocked
                || self.fleet.kept.contains(&name)
            {
                m.idle_since = now;
            }
            let keep = boot * self.setup.keep_boots * cheapness;
            let keep = keep * self.fleet.demand_share(now - keep, idle_cpus);
            let for_gangs = warm.get(&(m.kind.clone(), m.spot)).copied().unwrap_or(0.0);
            let keep = keep.max(for_gangs).max(self.setup.report_s * REPORTS_KEPT);
            let faulty = m.failed_jobs.len() >= 2;
            let lost = m.lapsed_at.is_some_and(|at| now - at > boot);
            if (lost || m.rostered == Rostered::Yes && (now - m.idle_since > keep || faulty))
                && !m.drain
            {
                log::info!(
                    "event=drain machine={name} idle_s={:.0} faulty={faulty} lost={lost}",
                    now - m.idle_since
                );
                m.drain = true;
                self.tell_usable(&name);
                continue;
            }
            // Also of a lost machine its owner must show first that it places nothing there: it
            // may have come back meanwhile, and what is placed on a returned machine is lost.
            if m.drain
                && m.closed
                && m.reconciled
                && m.quiet
                && m.tasks.is_empty()
                && m.held.is_empty()
            {
                m.releasing = true;
                release.push(name);
            }
        }
        // Nearly all were heard and the last of them a while ago, long enough for a worker whose report
        // was lost to try again: the few that are left are dead, and all work would wait for them.
        let few = self.unknown.len() as f64 <= self.machines.len() as f64 * FEW_UNKNOWN;
        let heard = now - self.known_at.max(self.epoch_at) <= wire::ANSWER_DROPPED_S * 1.25;
        let long = now - self.epoch_at > 2.0 * wire::ANSWER_DROPPED_S + 1.5 * self.setup.report_s;
        if blocked && (long || few && !heard) {
            // Long enough for a worker to give up twice on a controller that does not answer.
            // Work waits for machines that do not report: once returned they are reconciled.
            let silent: Vec<String> = self
                .machines
                .iter()
                .filter(|(_, m)| m.unknown && !m.releasing)
                .map(|(n, _)| n.clone())
                .collect();
            for name in silent {
                log::info!("event=unheard machine={name}");
                if let Some(m) = self.machines.get_mut(&name) {
                    m.releasing = true;
                }
                // It may be heard after all before it is gone; nothing is to be placed on it.
                self.tell_usable(&name);
                release.push(name);
            }
        }
        let late: Vec<String> = self
            .fleet
            .booting
            .iter()
            .filter(|(_, b)| {
                now - b.hired_at
                    > BOOTS_TO_WAIT * self.types.get(&b.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s)
            })
            .map(|(n, _)| n.clone())
            .collect();
        for name in late {
            log::info!("event=never_booted machine={name}");
            release.push(name);
        }
        release.retain(|n| self.fleet.releasing.insert(n.clone()));
        for names in release.chunks(MOST_RELEASED) {
            self.actions.push(Action::Release(names.to_vec()));
        }
    }
}
