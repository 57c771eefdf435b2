//! Whether a response that ends with its connection is whole.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use foxtailhold_http::paced::PacedStream;
use foxtailhold_http::response_end::{UnprovedEnd, WatchedStream};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

async fn is_pending(stream: &mut WatchedStream) -> bool {
    poll_fn(|context| {
        let mut bytes = [0];
        let read = Pin::new(&mut *stream).poll_read(context, &mut ReadBuf::new(&mut bytes));
        Poll::Ready(read.is_pending())
    })
    .await
}

/// Guards against responses that are cut by a reset and taken for whole, because the look at the companion
/// has cleared the error of the connection.
#[tokio::test]
async fn a_reset_that_the_companion_is_looked_at_after_is_not_an_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connected = TcpStream::connect(address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    let mut stream = WatchedStream::from(PacedStream::from(connected));
    let companion = TcpStream::connect(address).await.unwrap();
    stream.witness().accompany(companion).unwrap();
    let _kept = listener.accept().await.unwrap();
    assert!(is_pending(&mut stream).await);
    server.set_zero_linger().unwrap();
    drop(server);
    // The runtime has not seen the reset yet.
    assert!(is_pending(&mut stream).await);
    let read = stream.read(&mut [0]).await;
    let checked = stream.witness().check().await;
    assert!(
        read.is_err() || checked == Err(UnprovedEnd::Reset),
        "{read:?}, {checked:?}"
    );
}
