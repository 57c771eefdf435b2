//! Crowds of clients that send large bodies, most of which never end, to each listener of an entry
//! instance.
//!
//! The instance has the limits of a small machine. The tests run one at a time.

mod common;
#[path = "../../../platform/tests/common/crowd.rs"]
mod crowd;

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use common::{Deployment, TOKEN};
use crowd::{Crowd, CrowdRequest, Form, Watch};
use foxtailhold_peer::codec::MAX_MESSAGE_BYTES;
use foxtailhold_standin::demo::API_KEY;
use http::{Method, Request};
use serde_json::{Value, json};
use test_case::test_case;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Memory of the smallest machine of the deployments.
const MEMORY_MB: u64 = 88;
/// Descriptors of the machine, fewer than at any deployment.
const MAX_DESCRIPTORS: usize = 600;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Limit of the bodies of requests.
const BODY_BYTES: usize = 4 << 20;
/// Clients that send bodies: together almost three times the memory of the machine.
const BODY_CROWD: usize = 60;
/// Clients that only open connections: more than the machine has descriptors for.
const CONNECTION_CROWD: usize = 500;
/// Items of a job, each with a body of the largest size.
const LARGE_ITEMS: usize = 12;
/// Longest time for such a job, on any machine.
const LARGE_JOB_TIME: Duration = Duration::from_secs(120);
/// Messages of peers that are sent at the same time.
const PEER_MESSAGES: usize = 6;
/// Time for which a crowd that ends nothing is held.
const HOLDING_TIME: Duration = Duration::from_secs(4);
/// Time for which a crowd of peers sends its messages.
const MESSAGES_TIME: Duration = Duration::from_secs(12);
const FORM_BOUNDARY: &str = "crowd-boundary";

static TURN: Mutex<()> = Mutex::const_new(());

static LARGEST_BODY: LazyLock<Bytes> = LazyLock::new(|| {
    let start = r#"{"model":"ranger","max_tokens":2,"messages":[{"role":"user","content":""#;
    let end = r#""}]}"#;
    let content = "x".repeat(BODY_BYTES - start.len() - end.len());
    format!("{start}{content}{end}").into()
});

static LARGEST_UPLOAD: LazyLock<Bytes> = LazyLock::new(|| {
    let start = format!(
        "--{FORM_BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{FORM_BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n\r\n"
    );
    let end = format!("\r\n--{FORM_BOUNDARY}--\r\n");
    let content = "x".repeat(BODY_BYTES - start.len() - end.len());
    format!("{start}{content}{end}").into()
});

/// A way into the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entrance {
    Chat,
    Service,
    BatchJob,
    Upload,
    Models,
    Unauthorized,
    Contract,
    Order,
}

impl Entrance {
    fn address(self, deployment: &Deployment) -> SocketAddr {
        let field = match self {
            Entrance::Contract | Entrance::Order => "operator_address",
            _ => "caller_address",
        };
        deployment.entries[0].address(field)
    }

    fn line(self) -> &'static str {
        match self {
            Entrance::Chat | Entrance::Unauthorized => "POST /v1/chat/completions",
            Entrance::Service => "POST /v1/services/portal/a",
            Entrance::BatchJob => "POST /v1/batches",
            Entrance::Upload => "POST /v1/files",
            Entrance::Models => "GET /v1/models",
            Entrance::Contract => "PUT /v1/contracts/granite-trail",
            Entrance::Order => "PUT /v1/orders/engine-0",
        }
    }

    fn request(self) -> CrowdRequest {
        let token = match self {
            Entrance::Contract | Entrance::Order => TOKEN,
            Entrance::Unauthorized => "unknown",
            _ => API_KEY,
        };
        let line = self.line();
        let body = match self {
            Entrance::Upload => LARGEST_UPLOAD.clone(),
            _ => LARGEST_BODY.clone(),
        };
        CrowdRequest {
            head: format!(
                "{line} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n\
                 Content-Type: multipart/form-data; boundary={FORM_BOUNDARY}\r\n\
                 foxtailhold-expected-version: 1\r\nfoxtailhold-deadline-ms: 20000\r\n"
            ),
            body,
        }
    }
}

/// An entry instance on a small machine, with an engine and a plain service.
struct SmallMachine {
    deployment: Deployment,
    watch: Watch,
    _turn: MutexGuard<'static, ()>,
}

impl SmallMachine {
    async fn start() -> Self {
        let turn = TURN.lock().await;
        let limits = [
            ("FOXTAILHOLD_MEMORY_MB", MEMORY_MB.to_string()),
            ("FOXTAILHOLD_MAX_DESCRIPTORS", MAX_DESCRIPTORS.to_string()),
        ];
        let deployment = Deployment::start_with_environment(1, 1, &limits).await;
        deployment.set_demo_contract().await;
        let entry = &deployment.entries[0];
        let fields = ["caller_address", "operator_address", "peer_address"];
        let ports = fields.map(|field| entry.address(field).port()).to_vec();
        let watch = Watch::start(entry.id(), ports);
        SmallMachine {
            deployment,
            watch,
            _turn: turn,
        }
    }

    /// Checks that an ordinary request is answered, and what the instance held up to now.
    async fn check(mut self, crowd: &str) {
        let address = self.deployment.caller_address(0);
        let chat = json!({
            "model": "ranger", "max_tokens": 2,
            "messages": [{"role": "user", "content": "hello"}],
        });
        let caller = &self.deployment.caller;
        let reply = caller.json(address, Method::POST, "/v1/chat/completions", &chat);
        let reply = reply.await;
        let entry = &mut self.deployment.entries[0];
        assert!(entry.exit_status().is_none(), "the instance has ended");
        let held = self.watch.close();
        println!("{crowd}: held {held:?}");
        assert!(held.memory_mb <= MEMORY_MB, "{held:?}");
        let sockets = MAX_DESCRIPTORS - FILE_DESCRIPTORS;
        assert!(held.sockets <= sockets, "{held:?}");
        assert!(
            reply.is_ok(),
            "ordinary request beside the crowd: {reply:?}"
        );
    }
}

/// Guards against clients that together fill the memory of an instance with bodies.
#[test_case(Entrance::Chat, Form::AtOnce; "chats at once")]
#[test_case(Entrance::Chat, Form::InPieces; "chats in pieces")]
#[test_case(Entrance::Chat, Form::LargeChunks; "chats in large chunks")]
#[test_case(Entrance::Chat, Form::SmallChunks; "chats in small chunks")]
#[test_case(Entrance::Chat, Form::Dripped; "chats dripped")]
#[test_case(Entrance::Chat, Form::Whole; "chats whole")]
#[test_case(Entrance::Chat, Form::Announced; "chats announced over the limit")]
#[test_case(Entrance::Chat, Form::Endless; "chats without end")]
#[test_case(Entrance::Service, Form::AtOnce; "services at once")]
#[test_case(Entrance::Service, Form::InPieces; "services in pieces")]
#[test_case(Entrance::Service, Form::LargeChunks; "services in large chunks")]
#[test_case(Entrance::Service, Form::Whole; "services whole")]
#[test_case(Entrance::Service, Form::Endless; "services without end")]
#[test_case(Entrance::BatchJob, Form::AtOnce; "batch jobs at once")]
#[test_case(Entrance::BatchJob, Form::LargeChunks; "batch jobs in large chunks")]
#[test_case(Entrance::BatchJob, Form::Endless; "batch jobs without end")]
#[test_case(Entrance::Upload, Form::AtOnce; "uploads at once")]
#[test_case(Entrance::Upload, Form::InPieces; "uploads in pieces")]
#[test_case(Entrance::Upload, Form::LargeChunks; "uploads in large chunks")]
#[test_case(Entrance::Upload, Form::SmallChunks; "uploads in small chunks")]
#[test_case(Entrance::Upload, Form::Whole; "uploads whole")]
#[test_case(Entrance::Upload, Form::Announced; "uploads announced over the limit")]
#[test_case(Entrance::Models, Form::AtOnce; "reads at once")]
#[test_case(Entrance::Models, Form::LargeChunks; "reads in large chunks")]
#[test_case(Entrance::Models, Form::Endless; "reads without end")]
#[test_case(Entrance::Unauthorized, Form::AtOnce; "unauthorized at once")]
#[test_case(Entrance::Unauthorized, Form::Endless; "unauthorized without end")]
#[test_case(Entrance::Contract, Form::AtOnce; "contracts at once")]
#[test_case(Entrance::Contract, Form::LargeChunks; "contracts in large chunks")]
#[test_case(Entrance::Contract, Form::Endless; "contracts without end")]
#[test_case(Entrance::Order, Form::AtOnce; "orders at once")]
#[test_case(Entrance::Order, Form::Announced; "orders announced over the limit")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_a_crowd_are_bounded_at_an_entry_instance(entrance: Entrance, form: Form) {
    let machine = SmallMachine::start().await;
    let address = entrance.address(&machine.deployment);
    let requests = vec![entrance.request(); BODY_CROWD];
    let mut crowd = Crowd::start(address, form, requests);
    machine.watch.settle(&mut crowd).await;
    let statuses = crowd.statuses();
    machine
        .check(&format!("{entrance:?} {form:?} {statuses:?}"))
        .await;
    crowd.close().await;
}

/// Guards against clients that take all descriptors of an instance.
#[test_case(Entrance::Chat; "chats")]
#[test_case(Entrance::Upload; "uploads")]
#[test_case(Entrance::Contract; "contracts")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_a_crowd_are_bounded_at_an_entry_instance(entrance: Entrance) {
    let machine = SmallMachine::start().await;
    let address = entrance.address(&machine.deployment);
    let requests = vec![entrance.request(); CONNECTION_CROWD];
    let mut crowd = Crowd::start(address, Form::HeadOnly, requests);
    machine.watch.settle(&mut crowd).await;
    let statuses = crowd.statuses();
    machine.check(&format!("{entrance:?} {statuses:?}")).await;
    crowd.close().await;
}

/// Opens a connection of a peer and sends nothing on it.
async fn hold_peer_connection(address: SocketAddr) {
    let Ok(stream) = TcpStream::connect(address).await else {
        return;
    };
    let Ok((_sender, connection)) = h2::client::handshake(stream).await else {
        return;
    };
    let _ = connection.await;
}

/// Guards against connections to the listener of peers that take all descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_a_crowd_are_bounded_at_the_listener_of_peers() {
    let machine = SmallMachine::start().await;
    let address = machine.deployment.entries[0].address("peer_address");
    let mut crowd = JoinSet::new();
    for _ in 0..CONNECTION_CROWD {
        crowd.spawn(hold_peer_connection(address));
    }
    tokio::time::sleep(HOLDING_TIME).await;
    machine.check("connections of peers").await;
    crowd.shutdown().await;
}

/// Sends a message of the largest size but for its last byte, in a connection of its own.
async fn hold_message(address: SocketAddr) {
    let stream = TcpStream::connect(address).await.unwrap();
    let Ok((sender, connection)) = h2::client::handshake(stream).await else {
        return;
    };
    tokio::spawn(connection);
    let Ok(mut sender) = sender.ready().await else {
        return;
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("http://peer/")
        .body(())
        .unwrap();
    let Ok((_response, mut body)) = sender.send_request(request, false) else {
        return;
    };
    let mut left = MAX_MESSAGE_BYTES - 1;
    while left > 0 {
        body.reserve_capacity(left.min(64 << 10));
        let Some(Ok(capacity)) = std::future::poll_fn(|cx| body.poll_capacity(cx)).await else {
            break;
        };
        let piece = capacity.min(left);
        if body.send_data(vec![0; piece].into(), false).is_err() {
            break;
        }
        left -= piece;
    }
    std::future::pending::<()>().await;
}

/// Guards against messages of peers that together fill the memory of an instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_of_a_crowd_of_peers_are_bounded() {
    let machine = SmallMachine::start().await;
    let address = machine.deployment.entries[0].address("peer_address");
    let mut crowd = JoinSet::new();
    for _ in 0..PEER_MESSAGES {
        crowd.spawn(hold_message(address));
    }
    tokio::time::sleep(MESSAGES_TIME).await;
    machine.check("messages of peers").await;
    crowd.shutdown().await;
}

/// Guards against responses that are kept for clients which do not read them. The plain service
/// returns the body that it receives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_that_a_crowd_does_not_read_are_bounded_at_an_entry_instance() {
    let machine = SmallMachine::start().await;
    let address = machine.deployment.caller_address(0);
    let mut crowds = Vec::new();
    for _ in 0..BODY_CROWD {
        let body = LARGEST_BODY.slice(..BODY_BYTES / 2);
        let requests = vec![CrowdRequest {
            body,
            ..Entrance::Service.request()
        }];
        let mut crowd = Crowd::start_without_reading(address, Form::Whole, requests);
        crowd.settle().await;
        crowds.push(crowd);
    }
    tokio::time::sleep(HOLDING_TIME).await;
    machine.check("unread responses").await;
    for crowd in crowds {
        crowd.close().await;
    }
}

/// Guards against jobs whose chunks together fill the memory of an instance while they run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_items_of_a_job_are_bounded_and_done() {
    let machine = SmallMachine::start().await;
    let address = machine.deployment.caller_address(0);
    let caller = &machine.deployment.caller;
    let body = std::str::from_utf8(&LARGEST_BODY).unwrap();
    let lines = (0..LARGE_ITEMS).map(|number| {
        format!(
            "{{\"custom_id\":\"large-{number}\",\"method\":\"POST\",\
             \"url\":\"/v1/chat/completions\",\"body\":{body}}}\n"
        )
    });
    let file = caller.upload(address, &lines.collect::<String>()).await;
    let request = json!({
        "input_file_id": file.unwrap(), "endpoint": "/v1/chat/completions", "completion_window": "1h",
    });
    let batch = caller.json(address, Method::POST, "/v1/batches", &request);
    let batch = batch.await.unwrap();
    let path = format!("/v1/batches/{}", batch["id"].as_str().unwrap());
    let done = async {
        loop {
            let batch = caller.json(address, Method::GET, &path, &Value::Null).await;
            if let Some(batch) = batch.ok().filter(|batch| batch["status"] == "completed") {
                return batch;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let done = tokio::time::timeout(LARGE_JOB_TIME, done).await;
    machine.check("job of large items").await;
    let counts = &done.expect("the job is not completed")["request_counts"];
    assert_eq!(counts["completed"], LARGE_ITEMS, "{counts}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_chat_of_the_largest_size_is_served() {
    let machine = SmallMachine::start().await;
    let address = machine.deployment.caller_address(0);
    let caller = &machine.deployment.caller;
    let body = LARGEST_BODY.clone();
    let reply = caller.send(
        address,
        Method::POST,
        "/v1/chat/completions",
        body,
        "application/json",
    );
    let reply = reply.await;
    assert!(reply.is_ok(), "{reply:?}");
    machine.check("largest chat").await;
}
