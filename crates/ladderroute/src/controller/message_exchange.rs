//! Message routing between this controller's shard owner, its leader and the other controllers.

use super::{Controller, ReplicaJobs, State};
use sched::leader::Action;
use sched::Secs;
use wire::peers::{encode_frame, ToOwner};

impl Controller {
    /// Routes the pending messages of the owner and the pending actions of the leader until neither
    /// has any left.
    pub fn exchange_messages(&self, state: &mut State) {
        let now = self.now();
        loop {
            let owner_sent = self.route_owner_messages(state, now);
            if state.shared.leadership.is_none() {
                return;
            }
            let leader_acted = self.route_leader_actions(state, now);
            if !owner_sent && !leader_acted {
                return;
            }
        }
    }

    /// Passes the owner's messages to the leader, in this process or over the link. Returns whether
    /// there were any.
    fn route_owner_messages(&self, state: &mut State, now: Secs) -> bool {
        let State { owner, shared } = state;
        let mut any = false;
        for message in owner.take_messages() {
            any = true;
            match (&mut shared.leadership, &shared.leader_outbox) {
                (Some(leadership), _) => {
                    let leader = &mut leadership.leader;
                    leader.on_owner_message(&self.settings.member, message, now);
                }
                (None, Some(link)) => link.send(encode_frame(&message)),
                (None, None) => {}
            }
        }
        any
    }

    /// Passes the leader's actions to the owners, the store writer and provisioning. Returns
    /// whether there were any.
    fn route_leader_actions(&self, state: &mut State, now: Secs) -> bool {
        let State { owner, shared } = state;
        let Some(leadership) = &mut shared.leadership else {
            return false;
        };
        let mut any = false;
        for action in leadership.leader.take_actions() {
            any = true;
            match action {
                Action::Send(to, message) if to == self.settings.member => match message {
                    ToOwner::RunningCounts { running } => {
                        shared.running = running.into_iter().collect();
                    }
                    message => {
                        let jobs = ReplicaJobs(shared.view.replica());
                        owner.on_leader_message(message, now, &jobs);
                    }
                },
                Action::Send(to, message) => {
                    if let Some(link) = leadership.links.get(&to) {
                        link.send(&message);
                    }
                }
                Action::ConfirmCancellations { requester, jobs } => {
                    // Only the leader may confirm, since a later leader need not know of the
                    // cancellation. Without a confirmation the requester waits for longer.
                    if now >= owner.authority.until() {
                        continue;
                    }
                    if requester == self.settings.member {
                        shared.cancellations.on_confirmed(&jobs, now);
                    } else if let Some(link) = leadership.links.get(&requester) {
                        link.send(&ToOwner::CancellationsConfirmed { jobs });
                    }
                }
                action @ (Action::Provision(_) | Action::Deprovision(_)) => {
                    leadership.cloud_requests.push_back(action);
                    let _ = self.provisioning_wake.0.try_send(());
                }
                action => {
                    leadership.pending_writes.push_back(action);
                    let _ = self.writer_wake.0.try_send(());
                }
            }
        }
        any
    }
}
