//! What happens to a request's bytes when its connection is dropped.

use std::io::{ErrorKind, Read};
use std::net::TcpListener;

use bramleyseam::serve::pool::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

// The path to an engine is cut, so a request is answered by a second engine. With a graceful close
// the kernel keeps sending: once the path is restored, the first engine receives the request too, 3
// s after it announced that it leaves. A dropped connection must be reset, so that none of its data
// is sent any more.
#[test]
fn reset_when_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut connection = Connection::open(&address).await.unwrap();
        let request = Request::new(Full::new(Bytes::from_static(b"a question")));
        let sent = connection.send(request);
        // The engine accepts the connection and sends nothing.
        let given_up = tokio::time::timeout(std::time::Duration::from_millis(200), sent).await;
        assert!(given_up.is_err());
        drop(connection);
        // The task that holds the socket ends when it is next polled.
        tokio::task::yield_now().await;
    });
    drop(runtime);
    let (mut stream, _) = listener.accept().unwrap();
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    assert_eq!(
        ended.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
}
