//! Client of the key-value store.

use crate::etcd::{
    Base64Text, Compare, DeleteRangeRequest, KeyValueMessage, Number, PutRequest, RANGE_PATH,
    RangeRequest, RangeResponse, RequestOperation, TXN_PATH, TxnRequest, TxnResponse, WATCH_PATH,
    WatchCreateRequest, WatchRequest, prefix_end,
};
use hyper::Method;
use loftdrift_configuration::{KeyValue, StoreCondition, StoreReply, StoreRequest, StoreWrite};
use loftdrift_http::{HttpClient, HttpError, LineStream};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const EQUAL: &str = "EQUAL";
const MOD: &str = "MOD";

/// Why a request to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The request failed; it may have taken effect.
    #[error("key-value store: {0}")]
    Http(#[from] HttpError),
}

/// A client of the key-value store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
}

impl StoreClient {
    /// A client of the store at `server`.
    pub fn new(server: SocketAddr) -> Self {
        StoreClient { http: HttpClient::without_connection_reuse(server, REQUEST_TIMEOUT) }
    }

    /// Bytes sent to and received from the store so far.
    pub fn bytes(&self) -> u64 {
        self.http.transferred_bytes()
    }

    /// Sends a core's request and returns the store's reply.
    pub async fn send(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        match request {
            StoreRequest::ReadPrefix { prefix } => self.read_prefix(prefix).await,
            StoreRequest::Transaction { conditions, writes } => {
                let request = TxnRequest {
                    compare: conditions.iter().map(compare).collect(),
                    success: writes.iter().map(operation).collect(),
                    failure: Vec::new(),
                };
                let answer: TxnResponse =
                    self.http.send_json(Method::POST, TXN_PATH, &request).await?;
                Ok(StoreReply::Transacted { succeeded: answer.succeeded })
            }
        }
    }

    async fn read_prefix(&self, prefix: &str) -> Result<StoreReply, StoreError> {
        let request = RangeRequest {
            key: Base64Text(prefix.to_owned()),
            range_end: Base64Text(prefix_end(prefix)),
        };
        let answer: RangeResponse = self.http.send_json(Method::POST, RANGE_PATH, &request).await?;
        let keys = answer.kvs.into_iter().map(key_value).collect();
        Ok(StoreReply::Keys { keys, revision: answer.header.revision.0 })
    }

    /// Opens a watch on the keys that begin with `prefix`, starting at store revision `from`.
    pub async fn watch(&self, prefix: &str, from: u64) -> Result<LineStream, StoreError> {
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key: Base64Text(prefix.to_owned()),
                range_end: Base64Text(prefix_end(prefix)),
                start_revision: Number(from),
            },
        };
        Ok(self.http.open_stream(WATCH_PATH, &request).await?)
    }
}

pub(crate) fn key_value(message: KeyValueMessage) -> KeyValue {
    KeyValue { key: message.key.0, value: message.value.0, mod_revision: message.mod_revision.0 }
}

fn compare(condition: &StoreCondition) -> Compare {
    let StoreCondition::ModRevision { key, equals } = condition;
    Compare {
        key: Base64Text(key.clone()),
        target: MOD.to_owned(),
        result: EQUAL.to_owned(),
        mod_revision: Number(*equals),
    }
}

fn operation(write: &StoreWrite) -> RequestOperation {
    match write {
        StoreWrite::Put { key, value } => RequestOperation {
            request_put: Some(PutRequest {
                key: Base64Text(key.clone()),
                value: Base64Text(value.clone()),
                lease: Number(0),
            }),
            request_delete_range: None,
        },
        StoreWrite::Delete { key } => RequestOperation {
            request_put: None,
            request_delete_range: Some(DeleteRangeRequest {
                key: Base64Text(key.clone()),
                range_end: Base64Text::default(),
            }),
        },
    }
}
