//! What becomes of a request's bytes when its connection is given up.

use std::io::{ErrorKind, Read};
use std::net::TcpListener;

use bramleyseam::serve::pool::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

// An applicant is answered by a second engine, since the way to the first one is cut. When it is back, the engine gets
// the request all the same, 3 s after it said that it leaves: the connection was closed in good order, and the
// kernel went on sending. A connection that is given up is reset, so that nothing of it is sent any more.
#[test]
fn reset_when_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut connection = Connection::open(&address).await.unwrap();
        let request = Request::new(Full::new(Bytes::from_static(b"a question")));
        let sent = connection.send(request);
        // The engine takes the connection and says nothing.
        let given_up = tokio::time::timeout(std::time::Duration::from_millis(200), sent).await;
        assert!(given_up.is_err());
        drop(connection);
        // The task that holds the socket ends at its next turn.
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
