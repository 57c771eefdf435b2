//! An instance may apply a change and then fail before its answer arrives complete. The client must
//! report such a change as possibly in force, not as without effect.

use foxtailhold_operator::client::OperatorClient;
use foxtailhold_operator::error::OperatorError;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const OVERSIZED_BYTES: usize = 2 << 20;

/// How the instance fails after it has read a call.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Closes the connection before the answer.
    ResetBefore,
    /// Closes the connection in the middle of the answer.
    ResetAfter,
    /// Answers with a body that is not JSON.
    Malformed,
    /// Answers with a body above the client's size limit.
    Oversized,
}

async fn answer(listener: TcpListener, fault: Fault) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).await;
        let text = match fault {
            Fault::ResetBefore => continue,
            Fault::ResetAfter => "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{".to_owned(),
            Fault::Malformed => "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\noops".to_owned(),
            Fault::Oversized => {
                let body = " ".repeat(OVERSIZED_BYTES);
                format!("HTTP/1.1 200 OK\r\ncontent-length: {OVERSIZED_BYTES}\r\n\r\n{body}")
            }
        };
        let _ = stream.write_all(text.as_bytes()).await;
    }
}

#[test_case(Fault::ResetBefore; "reset before the first byte")]
#[test_case(Fault::ResetAfter; "reset after the first byte")]
#[test_case(Fault::Malformed; "malformed")]
#[test_case(Fault::Oversized; "oversized")]
#[tokio::test]
async fn change_whose_answer_is_lost_is_reported_as_possibly_effective(fault: Fault) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = OperatorClient::new(listener.local_addr().unwrap(), "token-of-tests");
    let server = tokio::spawn(answer(listener, fault));
    let customer = "c".try_into().unwrap();
    let set = client.set_contract(&customer, 0, "").await;
    let removed = client.remove_contract(&customer, 1).await;
    for failed in [set, removed] {
        let error = failed.unwrap_err();
        assert!(
            matches!(error, OperatorError::AnswerLost { .. }),
            "{error:?}"
        );
    }
    if !matches!(fault, Fault::Oversized) {
        let read = client.jobs().await.unwrap_err();
        assert!(
            matches!(read, OperatorError::Unreachable { .. }),
            "{read:?}"
        );
    }
    server.abort();
}

#[tokio::test]
async fn change_that_was_not_sent_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = OperatorClient::new(address, "token-of-tests");
    let error = client.set_contract(&"c".try_into().unwrap(), 0, "").await;
    let error = error.unwrap_err();
    assert!(
        matches!(error, OperatorError::Unreachable { .. }),
        "{error:?}"
    );
    assert!(!format!("{client:?}").contains("token-of-tests"));
}
