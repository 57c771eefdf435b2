//! Whether a backend server still listens after it has ended a connection. Guards against responses
//! that are cut off by a crash and taken for complete, because a forwarder accepts connections for the
//! backend server that has ended.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold_relay::connections::Connections;
use test_case::test_case;
use tokio::net::TcpListener;

#[derive(Debug, Clone, Copy)]
enum Port {
    Refuses,
    AcceptsAndCloses,
    AcceptsAndKeeps,
    AcceptsAndResets,
    /// Connections wait to be accepted.
    AcceptsNone,
}

async fn open(port: Port) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    match port {
        Port::Refuses => return address,
        Port::AcceptsNone => drop(tokio::spawn(async move {
            let _listener = listener;
            std::future::pending::<()>().await;
        })),
        Port::AcceptsAndCloses | Port::AcceptsAndKeeps | Port::AcceptsAndResets => {
            drop(tokio::spawn(async move {
                let mut kept = Vec::new();
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    match port {
                        Port::AcceptsAndKeeps => kept.push(stream),
                        Port::AcceptsAndResets => stream.set_zero_linger().unwrap(),
                        _ => {}
                    }
                }
            }))
        }
    }
    address
}

#[test_case(Port::Refuses, false, false; "it refuses connections")]
#[test_case(Port::AcceptsAndCloses, true, false; "a forwarder closes them")]
#[test_case(Port::AcceptsAndKeeps, true, true; "it accepts them")]
#[test_case(Port::AcceptsAndResets, true, true; "it has no room for them")]
#[test_case(Port::AcceptsNone, true, true; "it is silent")]
#[tokio::test]
async fn a_port_shows_whether_its_process_has_ended(port: Port, listens: bool, keeps: bool) {
    let address = open(port).await;
    let backend = BackendId::try_from("b").unwrap();
    let connections = Connections::default();
    assert_eq!(connections.is_listening(&backend, address).await, listens);
    assert_eq!(
        connections.keeps_connections(&backend, address).await,
        keeps
    );
}

/// Guards against streams that are cut off by a crash and taken for whole, because the end of a process
/// closes its listener last and resets the connections that it has not accepted.
#[test_case(0 ; "before the connection is seen to be open")]
#[test_case(10 ; "after it is open")]
#[tokio::test]
async fn a_process_that_ends_while_it_is_checked_keeps_no_connections(ends_after_ms: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let backend = BackendId::try_from("b").unwrap();
    let connections = Connections::default();
    let end = async {
        if ends_after_ms > 0 {
            tokio::time::sleep(Duration::from_millis(ends_after_ms)).await;
        }
        drop(listener);
    };
    let (keeps, ()) = tokio::join!(connections.keeps_connections(&backend, address), end);
    assert!(!keeps);
}
