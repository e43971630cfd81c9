//! The mesh lets peers hear of each other as its links allow.

use std::sync::Arc;

use fleet::config::Revision;
use fleet::time::Time;
use peer::Spread;
use peer::Status;
use standin::mesh::Mesh;

#[test]
fn a_member_that_stops_is_dead_in_time_and_alive_again_after() {
    let mesh = Mesh::new();
    let one = mesh.join("one", "porto");
    mesh.join("two", "porto");
    mesh.tick(Time::ZERO);
    assert_eq!(one.members(Time::ZERO)[0].status, Status::Alive);
    mesh.stop("two");
    mesh.tick(Time::from_secs(2));
    assert_eq!(one.members(Time::from_secs(1))[0].status, Status::Suspect);
    assert_eq!(one.members(Time::from_secs(2))[0].status, Status::Dead);
    mesh.resume("two");
    mesh.tick(Time::from_secs(3));
    assert_eq!(one.members(Time::from_secs(3))[0].status, Status::Alive);
}

#[test]
fn a_cut_link_is_gone_around_and_documents_only_rise() {
    let mesh = Mesh::new();
    let [one, two, three] = ["one", "two", "three"].map(|name| mesh.join(name, "porto"));
    mesh.cut("one", "two");
    one.offer(Revision(2), Arc::from("second"));
    three.offer(Revision(1), Arc::from("first"));
    mesh.tick(Time::ZERO);
    mesh.tick(Time::ZERO);
    let adopted = two.adopted();
    let mut last = Revision(0);
    while let Ok((revision, _)) = adopted.try_recv() {
        assert!(revision > last);
        last = revision;
    }
    assert_eq!(last, Revision(2));
}
