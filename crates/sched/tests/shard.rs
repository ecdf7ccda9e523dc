//! The assignment of machines to controllers when a controller is lost.

use sched::shard::owner;

#[test]
fn a_lost_member_moves_only_its_own_machines() {
    let all: Vec<String> = ["rung-0", "rung-1", "rung-2"].map(String::from).to_vec();
    let rest = vec![all[0].clone(), all[2].clone()];
    let mut moved = 0;
    for i in 0..300 {
        let machine = format!("host-{i:06}");
        let (before, after) = (
            owner(&machine, &all).unwrap(),
            owner(&machine, &rest).unwrap(),
        );
        if before == "rung-1" {
            moved += 1;
        } else {
            assert_eq!(before, after, "{machine} moved although its owner remained");
        }
    }
    assert!(
        (60..140).contains(&moved),
        "rung-1 must own at least 60 and fewer than 140 of 300 machines, but owned {moved}"
    );
}
