//! A watch of the key-value store whose connection stops carrying data without being closed, while
//! new connections work. A client that only waits for the watch would miss every later change.

use loftdrift_configuration::{Configuration, Documents, StoreReply, StoreRequest};
use loftdrift_http::HttpClient;
use loftdrift_standin::platform::{Faults, serve};
use loftdrift_standin::relay::Relay;
use loftdrift_store::{StoreClient, follow_configuration};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Required maximum time from a configuration change until every node has it.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(18);

fn revision(number: u64) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.version.revision = number;
    configuration
}

async fn commit_change(store: &StoreClient, before: &Configuration, after: &Configuration) {
    let writes = Documents::writes(before, after, &format!("command-{}", after.version.revision));
    let request = StoreRequest::Transaction { conditions: Vec::new(), writes };
    let reply = store.send(&request).await.unwrap();
    assert_eq!(reply, StoreReply::Transacted { succeeded: true });
}

async fn wait_for_watch(platform: SocketAddr) {
    let client = HttpClient::new(platform, PROPAGATION_TIMEOUT);
    while client.get_json::<u64>("/standin/watchers").await.unwrap() == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_change_is_received_in_time_although_the_watch_connection_carries_no_data() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, Faults::default()));
    let relay = Relay::start(address).await.unwrap();
    let operators = StoreClient::new(address);
    commit_change(&operators, &Configuration::default(), &revision(1)).await;
    let (configuration_sender, mut configurations) = watch::channel(None);
    tokio::spawn(follow_configuration(StoreClient::new(relay.address), 1, configuration_sender));
    configurations.changed().await.unwrap();
    wait_for_watch(address).await;
    relay.blackhole_connections();
    commit_change(&operators, &revision(1), &revision(2)).await;
    let changed = tokio::time::timeout(PROPAGATION_TIMEOUT, configurations.changed()).await;
    assert!(matches!(changed, Ok(Ok(()))), "{changed:?}");
    assert_eq!(configurations.borrow().as_ref().unwrap().version.revision, 2);
}
