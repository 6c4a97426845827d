//! What becomes of a process when one of its tasks panics.

use loftdrift_carried::{
    Incarnation, NodeRole, PlainFormat, Position, Segment, SegmentError, SegmentFormat,
};
use loftdrift_node::{
    Consistency, Member, MemberList, NodeSettings, OperatorChange, OperatorState, Request,
    RequestDecoder, RequestKind, SharedStore, StoreFailure, run,
};
use loftdrift_settings::Overrides;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::Duration;

/// Limits every wait; reaching it fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The datagram that makes the core panic.
const DEADLY: &[u8] = b"deadly";

/// A format whose parser panics at one datagram.
struct PanickingFormat;

impl SegmentFormat for PanickingFormat {
    fn parse(&self, datagram: &[u8]) -> Result<Segment, SegmentError> {
        assert_ne!(datagram, DEADLY, "a fault of the core");
        PlainFormat.parse(datagram)
    }

    fn reset(&self, answered: &Segment) -> Vec<u8> {
        PlainFormat.reset(answered)
    }

    fn clear_returned(&self, datagram: &mut [u8]) {
        PlainFormat.clear_returned(datagram);
    }
}

#[derive(Clone)]
struct NoRequests;

impl RequestDecoder for NoRequests {
    fn decode(&self, _: Request<'_>) -> RequestKind {
        RequestKind::Unknown
    }
}

/// A store that never answers.
#[derive(Clone)]
struct SilentStore;

impl SharedStore for SilentStore {
    async fn read_operator_state(&self, _: Consistency) -> Result<OperatorState, StoreFailure> {
        std::future::pending().await
    }

    async fn wait_for_change(
        &self,
        _: Position,
        _: Duration,
    ) -> Result<OperatorChange, StoreFailure> {
        std::future::pending().await
    }

    async fn write_member(&self, _: &Member) -> Result<Position, StoreFailure> {
        std::future::pending().await
    }

    async fn remove_member(&self, _: &Member, _: u64) -> Result<Position, StoreFailure> {
        std::future::pending().await
    }

    async fn write_departures(&self, _: &str, _: &[Incarnation]) -> Result<(), StoreFailure> {
        std::future::pending().await
    }

    async fn read_departures(&self, _: &str) -> Result<Vec<Incarnation>, StoreFailure> {
        std::future::pending().await
    }

    async fn read_members(&self, _: NodeRole, _: Consistency) -> Result<MemberList, StoreFailure> {
        std::future::pending().await
    }
}

/// A UDP port that is free.
fn free_port() -> u16 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// Guards against a process that answers readiness probes and does nothing else for good: its core
/// had panicked.
#[tokio::test]
async fn a_process_whose_core_panics_ends() {
    let (messages, ingress) = (free_port(), free_port());
    let text = format!(
        r#"role = "carried-balancer"
name = "front-1"
zone = "a"
region = "r"
messages = "127.0.0.1:{messages}"
ingress = "127.0.0.1:{ingress}"
store = "127.0.0.1:9"
seeds = []
"#
    );
    let settings = NodeSettings::read("node.toml", &text, &Overrides::default(), 1).unwrap();
    let node = run(PathBuf::new(), settings, PanickingFormat, NoRequests, SilentStore);
    let send_until_cancelled = async {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        loop {
            let _ = socket.send_to(DEADLY, ("127.0.0.1", ingress)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(WAIT_TIMEOUT, node) => outcome,
        () = send_until_cancelled => unreachable!("it goes on for ever"),
    };
    let error = outcome.expect("the process ends").expect_err("it reports why");
    assert!(error.to_string().contains("a fault of the core"), "{error}");
}
