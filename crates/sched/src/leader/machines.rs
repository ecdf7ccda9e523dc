//! Machines join the roster, may be used or not, and are forgotten once they are certainly gone.

use super::{Action, Leader, Machine, Rostered};
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::ToOwner;

impl Leader {
    pub(crate) fn new_machine(&self, kind: &str, zone: &str, spot: bool, now: Secs) -> Machine {
        Machine {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            owner: String::new(),
            since: self.token,
            reconciled: false,
            unknown: false,
            lapsed_at: None,
            notice_until: None,
            rostered: Rostered::No,
            usable_sent: false,
            confirmed_unusable: false,
            is_idle: true,
            unreachable: false,
            has_unknown_jobs: false,
            drain: false,
            releasing: false,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            reserved: BTreeMap::new(),
            idle_since: now,
            seen_at: now,
            images: Vec::new(),
            failed_jobs: BTreeSet::new(),
            cleared: BTreeSet::new(),
        }
    }

    /// The roster record of a machine is durable (or dropped), or could not be written.
    pub fn roster_result(&mut self, machine: &str, put: bool, written: bool) {
        let Some(m) = self.cluster.machines.get_mut(machine) else {
            return;
        };
        if !put {
            return;
        }
        m.rostered = if written { Rostered::Yes } else { Rostered::No };
        self.cluster.dirty_machines.insert(machine.into());
        if written {
            self.send_usable(machine);
            self.wake = true;
        }
    }

    /// Tells the owner whether it may place tasks on a machine.
    pub(crate) fn send_usable(&mut self, machine: &str) {
        let Some(m) = self.cluster.machines.get_mut(machine) else {
            return;
        };
        let usable = m.rostered == Rostered::Yes && !m.drain && !m.releasing;
        if usable != m.usable_sent {
            m.usable_sent = usable;
            self.cluster.dirty_machines.insert(machine.into());
            let owner = m.owner.clone();
            self.send(
                &owner,
                ToOwner::SetUsable {
                    machine: machine.into(),
                    usable,
                },
            );
        }
    }

    /// A machine is certainly gone.
    pub(crate) fn forget_machine(&mut self, name: &str) {
        let Some(m) = self.cluster.machines.get(name) else {
            return;
        };
        for (id, i) in m.tasks.keys().cloned().collect::<Vec<_>>() {
            self.requeue_task(&id, i);
        }
        self.cluster.machines.remove(name);
        self.cluster.dirty_machines.insert(name.into());
        self.cluster.unknown.remove(name);
        self.actions.push(Action::Roster(name.into(), None));
        self.reconcile();
        self.wake = true;
    }
}
