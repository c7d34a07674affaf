//! Instances are cut off from each other, in parts or one from all and from the store, while callers and endpoints reach
//! them.

use std::time::Duration;

use async_std::task;

use crate::fleet::{Fleet, ENDPOINTS};
use crate::paths::Manner;
use crate::peer_paths::PeerCut;
use crate::press::play_in_turn;

/// A seed of its own, beside those that are played meanwhile.
const UNHEARD: u64 = 121;
/// Time before anything happens.
const CALM: Duration = Duration::from_millis(1500);
/// Time for which it is looked whether an instance hears anything.
const LOOKED: Duration = Duration::from_secs(1);
/// Time after a cut within which it hears its peers again.
const HEARD: Duration = Duration::from_millis(500);
const REPORTS_HEARD: &str = "oxbow_reports_total{direction=\"in\"}";

async fn start(seed: u64) -> Fleet {
    let fleet = Fleet::start_with_peer_paths(seed, ["v1"; ENDPOINTS]).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    task::sleep(CALM).await;
    fleet
}

/// What passes around a proxy would make all else here prove nothing.
#[test]
fn a_daemon_that_is_cut_off_hears_nobody() {
    let broken = play_in_turn([UNHEARD].into_iter().map(|seed| async move {
        let fleet = start(seed).await;
        let mut broken = Vec::new();
        for cut in
            [PeerCut::from_all(Manner::Silent, &[1]), PeerCut::from_all(Manner::Reset, &[0, 1])]
        {
            fleet.cut_peers(Some(cut.clone()));
            task::sleep(HEARD).await;
            let before = fleet.daemons[1].metric(REPORTS_HEARD).await;
            task::sleep(LOOKED).await;
            let heard = fleet.daemons[1].metric(REPORTS_HEARD).await - before;
            fleet.cut_peers(None);
            task::sleep(HEARD).await;
            let heard_after = fleet.daemons[1].metric(REPORTS_HEARD).await - before - heard;
            println!("seed {seed}: {heard} reports heard in a cut, {heard_after} after it");
            if heard > 0 || heard_after == 0 {
                broken.push(format!(
                    "{heard} reports heard in a cut, {heard_after} after it: {cut:?}"
                ));
            }
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
