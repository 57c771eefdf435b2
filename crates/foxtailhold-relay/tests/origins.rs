//! Origins of streams among many instances in one process: handed on, asked for, and unknown.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxtailhold::ids::InstanceId;
use foxtailhold::origin_history::OriginRecord;
use foxtailhold::stream_origins::{AttemptHash, StreamOrigin};
use foxtailhold_http::clock::Clock;
use foxtailhold_relay::peers::{Datagram, FoundOrigin, Member, OriginSource, PeerMessage, Peers};
use foxtailhold_relay::tables::{TableStatus, TableVersions};
use test_case::test_case;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

const ROUTE: &str = "chat";
/// Time for messages, and for instances to hear of each other.
const SETTLED: Duration = Duration::from_millis(1_500);
const STREAMS: usize = 40;

struct Instances {
    peers: Vec<Peers>,
    tasks: Vec<JoinHandle<()>>,
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "writers".try_into().unwrap(),
        version: version.try_into().unwrap(),
    }
}

fn member(number: usize, peer_address: SocketAddr) -> Member {
    Member {
        instance: InstanceId::try_from(format!("edge-{number}")).unwrap(),
        peer_address,
        caller_address: peer_address,
        zone: "a".try_into().unwrap(),
        core_permille: 1_000,
        is_leaving: false,
    }
}

fn attempt(number: usize) -> AttemptHash {
    AttemptHash::from(format!("attempt-{number}").as_str())
}

impl Instances {
    /// Instances that know each other and two versions.
    async fn start(count: usize) -> Self {
        let mut sockets = Vec::new();
        for _ in 0..count {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses: Vec<SocketAddr> = sockets
            .iter()
            .map(|socket| socket.local_addr().unwrap())
            .collect();
        let (mut all, mut tasks) = (Vec::new(), Vec::new());
        for (number, socket) in sockets.into_iter().enumerate() {
            let me = member(number, addresses[number]);
            let tables = TableStatus::default();
            let peers = Peers::new(me.instance, me.zone, socket, Clock::default(), tables);
            for (other, address) in addresses.iter().enumerate() {
                let version = other as u64 + 1;
                peers.members().put(version, member(other, *address));
            }
            let possible = BTreeSet::from([origin("v1"), origin("v2")]);
            peers.set_possible_origins(HashMap::from([(ROUTE.to_owned(), possible)]));
            tasks.push(tokio::spawn(peers.clone().run()));
            all.push(peers);
        }
        tokio::time::sleep(SETTLED).await;
        Instances { peers: all, tasks }
    }

    /// Ends an instance; its socket stays open and answers nothing.
    fn kill(&self, number: usize) {
        self.tasks[number].abort();
    }
}

#[test_case(2 ; "two instances")]
#[test_case(3 ; "three instances")]
#[test_case(16 ; "all others are asked")]
#[test_case(40 ; "the first ones are asked")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_origin_outlives_the_instance_that_recorded_it(count: usize) {
    let instances = Instances::start(count).await;
    let first = &instances.peers[0];
    for number in 0..STREAMS {
        first.record_origin(attempt(number), &origin("v1"), ROUTE);
    }
    assert_eq!(first.origin_counts().handed_on, STREAMS as u64);
    instances.kill(0);
    let mut found = [0, 0];
    for number in 0..STREAMS {
        let asked = &instances.peers[1 + number % (count - 1)];
        let known = asked.find_origin(attempt(number), ROUTE).await;
        let (known, source) = known.expect("the origin is not known");
        assert_eq!(known, origin("v1"));
        found[usize::from(source == OriginSource::Peer)] += 1;
    }
    println!(
        "{count} instances: {} known at once, {} asked for",
        found[0], found[1]
    );
    assert!(count <= 5 || found[1] > 0);
}

#[test_case(1 ; "alone")]
#[test_case(3 ; "three instances")]
#[test_case(24 ; "many instances")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_origin_is_given_up_soon(count: usize) {
    let instances = Instances::start(count).await;
    let mut shortest = Duration::MAX;
    for number in 0..5 {
        let started = Instant::now();
        let found = instances.peers[0].find_origin(attempt(number), ROUTE).await;
        assert_eq!(found, None);
        shortest = shortest.min(started.elapsed());
    }
    assert!(shortest < Duration::from_millis(70), "{shortest:?}");
}

/// An instance that has ended does not answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_does_not_answer_holds_a_lookup_up_for_its_time_only() {
    let instances = Instances::start(3).await;
    instances.kill(1);
    let started = Instant::now();
    let found = instances.peers[0].find_origin(attempt(1), ROUTE).await;
    assert_eq!(found, None);
    let took = started.elapsed();
    assert!(
        took >= Duration::from_millis(75) && took < Duration::from_millis(300),
        "{took:?}"
    );
}

/// The first streams of a version wait for the record, but not all of them while it cannot be written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_is_not_recorded_delays_its_first_streams_only() {
    let instances = Instances::start(1).await;
    let peers = &instances.peers[0];
    let record = |versions: &[&str]| OriginRecord {
        origins: versions.iter().map(|version| origin(version)).collect(),
        is_complete: true,
    };
    let waited = async |version: &str| {
        let started = Instant::now();
        peers.wait_origin_recorded(&origin(version)).await;
        started.elapsed() >= Duration::from_millis(150)
    };
    peers.set_origin_record(1, Some(record(&["v1"])));
    assert!(!waited("v1").await);
    assert!(waited("v2").await);
    assert!(!waited("v2").await);
    peers.set_origin_record(2, Some(record(&["v1", "v3"])));
    assert!(waited("v2").await);
    let written = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        peers.set_origin_record(3, Some(record(&["v1", "v2", "v4"])));
    };
    let (is_late, ()) = tokio::join!(waited("v4"), written);
    assert!(!is_late);
}

/// The build before reads every row of the table as one of an instance, and skips those that are none.
#[test]
fn the_row_of_the_record_is_none_of_an_instance() {
    let record = OriginRecord {
        origins: BTreeSet::from([origin("v1")]),
        is_complete: true,
    };
    let row = serde_json::to_vec(&record).unwrap();
    assert!(serde_json::from_slice::<Member>(&row).is_err());
}

/// The previous version also names the only origin that it has seen, which others may have ceased to
/// be; its answers have no table versions.
#[test_case(None, false ; "previous version")]
#[test_case(Some(TableVersions::default()), true ; "this version")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_counts_only_if_the_origin_is_remembered(
    tables: Option<TableVersions>,
    is_found: bool,
) {
    let instances = Instances::start(1).await;
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let answering = member(1, other.local_addr().unwrap());
    let instance = answering.instance.clone();
    instances.peers[0].members().put(9, answering);
    let answers = tokio::spawn(async move {
        let mut buffer = vec![0; 60_000];
        loop {
            let (length, from) = other.recv_from(&mut buffer).await.unwrap();
            let asked = Datagram::decode(&buffer[..length]).unwrap().message;
            let PeerMessage::FindOrigin { number, .. } = asked else {
                continue;
            };
            let found = PeerMessage::FoundOrigin(FoundOrigin {
                number,
                instance: instance.clone(),
                origin: Some(origin("v1")),
            });
            let bytes = Datagram::encode(&found, tables.as_ref()).unwrap();
            other.send_to(&bytes, from).await.unwrap();
        }
    });
    let found = instances.peers[0].find_origin(attempt(1), ROUTE).await;
    answers.abort();
    let expected = is_found.then(|| (origin("v1"), OriginSource::Peer));
    assert_eq!(found, expected);
}
