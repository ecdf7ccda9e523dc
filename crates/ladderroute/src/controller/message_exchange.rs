//! Messages between this controller's owner, its leader and the other controllers.

use super::{Controller, ReplicaJobs, State};
use sched::leader::Action;
use wire::peers::{frame, ToOwner};

impl Controller {
    /// Moves what the owner and the leader have to say to each other and outside.
    pub fn exchange_messages(&self, state: &mut State) {
        let now = self.now();
        let State { owner, shared } = state;
        loop {
            let mut idle = true;
            for message in owner.drain() {
                match (&mut shared.leadership, &shared.to_leader) {
                    (Some(leadership), _) => {
                        leadership
                            .leader
                            .on_owner_message(&self.settings.member, message, now)
                    }
                    (None, Some(link)) => link.send(frame(&message)),
                    _ => {}
                }
                idle = false;
            }
            let Some(leadership) = &mut shared.leadership else {
                return;
            };
            for action in leadership.leader.drain() {
                idle = false;
                match action {
                    Action::Send(to, message) if to == self.settings.member => {
                        if let ToOwner::RunningCounts { running } = message {
                            shared.running = running.into_iter().collect();
                        } else {
                            owner.on_leader_message(
                                message,
                                now,
                                &ReplicaJobs(shared.view.replica()),
                            );
                        }
                    }
                    Action::Send(to, message) => {
                        if let Some(link) = leadership.links.get(&to) {
                            link.outbox.send(frame(&message));
                        }
                    }
                    action @ (Action::Provision(_) | Action::Deprovision(_)) => {
                        leadership.cloud.push_back(action);
                        let _ = self.provisioning_wake.0.try_send(());
                    }
                    action => {
                        leadership.writes.push_back(action);
                        let _ = self.writer_wake.0.try_send(());
                    }
                }
            }
            if idle {
                return;
            }
        }
    }
}
