//! How a leadership ends: what a leader takes for the loss of its leadership, and which rights it and the owners
//! still have when its lease ends.

// Clippy allows `unwrap` in test functions, but not in their helpers. An `unwrap` that panics makes the test
// fail at the call that failed.
#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod stand_in;

use ladderroute::controller::Controller;
use sched::leader::Action;
use stand_in::links::{has_authority, wait_until, with_link, LinkedControllers};
use std::time::Duration;
use wire::store::RosterRecord;

/// Adds a decision to write while the leader can't learn what the leader's key holds.
fn add_pending_write(leader: &Controller) {
    let mut state = leader.lock();
    let leadership = state.shared.leadership.as_mut().unwrap();
    let record = RosterRecord {
        kind: "g8".into(),
        zone: "a".into(),
        spot: false,
    };
    let action = Action::UpdateRoster("host-000001".into(), Some(record));
    leadership.pending_writes.push_back(action);
    let _ = leader.writer_wake.0.try_send(());
}

/// Ends the owner's link, so that the leader has to issue a new token, and hides the leader's key from the leader
/// from then on.
async fn hide_leader_key_and_change_owners(linked: &LinkedControllers) {
    let LinkedControllers {
        leader,
        owner,
        leader_store,
        ..
    } = linked;
    wait_until("the owner is granted authority", || has_authority(owner)).await;
    leader_store.hides_leader_key.set(true);
    owner.lock().shared.leader_outbox.as_ref().unwrap().close();
    smol::Timer::after(Duration::from_millis(100)).await;
    add_pending_write(leader);
}

/// A leader took the conflict that its own token write caused for another controller's election: the answers to the
/// write and to the read of the key were lost, so it ended its lease while it could still answer workers.
#[test]
fn own_token_write_is_not_taken_for_loss() {
    with_link(|linked| async move {
        wait_until("the owner is granted authority", || {
            has_authority(&linked.owner)
        })
        .await;
        let token = linked.leader.lock().owner.token();
        hide_leader_key_and_change_owners(&linked).await;
        smol::Timer::after(Duration::from_millis(500)).await;
        linked.leader_store.hides_leader_key.set(false);
        wait_until("the owner joins the next epoch", || {
            linked.owner.lock().owner.token() > token && has_authority(&linked.owner)
        })
        .await;
        assert_eq!(linked.leader_store.revocations.get(), 0);
        assert!(linked.leader.lock().shared.leadership.is_some());
    });
}

/// Guards against `ran_twice`: a leader revoked its lease, so that another one could be elected, while it and its
/// owners went on answering workers.
#[test]
fn lease_is_revoked_only_after_all_authority_has_ended() {
    with_link(|linked| async move {
        hide_leader_key_and_change_owners(&linked).await;
        wait_until("the leader revokes its lease", || {
            linked.leader_store.revocations.get() > 0
        })
        .await;
        assert!(!has_authority(&linked.leader));
        assert!(!has_authority(&linked.owner));
    });
}
