//! Tests that replace log replicas whose disks are lost, including one right after the other.

mod support;

use std::time::Duration;

use redwinglatch_core::{ReplicaId, Revision};
use redwinglatch_fakes::CallerRequest;
use redwinglatch_local::{Fakes, FakesOptions};
use support::Cluster;
use tokio::time::{Instant, sleep};

const CUSTOMER: &str = "lakeshore";
const REPAIR_TIMEOUT: Duration = Duration::from_secs(30);

async fn dispatch(cluster: &Cluster, position: usize, key: &str) -> u16 {
    let path = format!("/v1/services/{}/crews", Fakes::SERVICE);
    let request = CallerRequest::new(hyper::Method::POST, path, key.to_owned())
        .header("idempotency-key", key)
        .header("x-redwinglatch-once", "true");
    let caller = cluster.caller(CUSTOMER);
    let deadline = Instant::now() + REPAIR_TIMEOUT;
    loop {
        match caller.send(cluster.callers_address(position), &request).await {
            Ok(response) if response.status == 200 => return response.status,
            Ok(response) if deadline < Instant::now() => return response.status,
            Ok(_) | Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

/// Replaces the log replica of the instance at `position` by one with a new id and an empty disk.
async fn replace_log_replica(cluster: &mut Cluster, position: usize) {
    cluster.kill(position);
    let new_id = cluster.layout.replace_replica(position);
    // The new settings are rolled out one instance at a time, as the operators' guide requires.
    for other in (0..cluster.layout.instance_count()).filter(|other| *other != position) {
        cluster.kill(other);
        cluster.spawn(other);
        cluster.wait_until_serving(&[other]).await;
    }
    cluster.spawn_new(position);
    cluster.wait_until_serving(&[position]).await;
    let new_id = ReplicaId(u32::try_from(new_id).unwrap());
    let deadline = Instant::now() + REPAIR_TIMEOUT;
    loop {
        let replica = cluster.status(position).await.and_then(|status| status.replica);
        let members = replica.map(|replica| (replica.voters, replica.learners));
        if let Some((voters, learners)) = &members
            && voters.contains(&new_id)
            && voters.len() == 3
            && learners.is_empty()
        {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "replica {new_id} did not replace the old voter: {members:?}"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against the loss of accepted changes and idempotency records when every disk of the
/// deployment is lost in turn, each right after the previous one has been replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn state_survives_the_loss_of_every_disk_in_turn() {
    let mut cluster = Cluster::start("repair", 3, 3, FakesOptions::default()).await;
    let revision = cluster.apply_first_contract(&Cluster::contract(CUSTOMER, "a-")).await;
    cluster.wait_until_serving(&[0, 1, 2]).await;
    assert_eq!(dispatch(&cluster, 0, "crew-1").await, 200);
    for position in 0..3 {
        replace_log_replica(&mut cluster, position).await;
    }
    let current = cluster.operator(0).contract(CUSTOMER).await.unwrap().unwrap();
    assert_eq!(current.revision, revision);
    assert_eq!(dispatch(&cluster, 2, "crew-1").await, 200);
    assert_eq!(cluster.fakes.services[0].run_counts()["crew-1"], 1);
    let mut contract = Cluster::contract(CUSTOMER, "b-");
    contract.request_rate_per_s = 7;
    let change = cluster.operator(1).apply_contract("after", revision, &contract).await.unwrap();
    assert!(Revision(0) < revision && revision < change.revision);
}

/// Guards against a replica that lost its disk, and with it its votes and log entries, and votes
/// again under its old id.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_empty_data_folder_is_refused_without_init() {
    let mut cluster = Cluster::start("empty", 3, 3, FakesOptions::default()).await;
    cluster.apply_first_contract(&Cluster::contract(CUSTOMER, "a-")).await;
    cluster.kill(1);
    std::fs::remove_dir_all(cluster.layout.data_dir(2)).unwrap();
    cluster.spawn(1);
    assert_eq!(cluster.exit_code(1).await, Some(1));
}
