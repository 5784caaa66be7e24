//! Batch runs that are preempted while their answer arrives.

use std::io::Write;
use std::time::Duration;

use bramleyseam::serve::cancellation::unless_stopped;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, LocalSet};

/// Runs a future as a serving process does: on one thread, with sockets and timers.
fn run<T>(what: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, what)
}

// The answer is in the socket, but no task has read it when the run is preempted. The answer still
// counts. Otherwise an item that is always rejected can be sent to engines without end, when each
// run is preempted just as its answer arrives.
#[test]
fn answer_has_come() {
    let answer = run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (server, _) = listener.accept().await.unwrap();
        let (sender, read) = oneshot::channel();
        spawn_local(async move {
            let mut answer = [0; 3];
            client.read_exact(&mut answer).await.unwrap();
            sender.send(answer).unwrap();
        });
        let stop = Notify::new();
        let waiting = unless_stopped(read, &stop);
        tokio::pin!(waiting);
        let before_stop = tokio::time::timeout(Duration::from_millis(20), &mut waiting).await;
        assert!(before_stop.is_err());
        server.into_std().unwrap().write_all(b"422").unwrap();
        stop.notify_one();
        waiting.await
    });
    assert_eq!(answer, Some(Ok(*b"422")));
}

// Without an answer in the socket, a stop ends the run at once.
#[test]
fn nothing_has_come() {
    let answer = run(async {
        let stop = Notify::new();
        stop.notify_one();
        unless_stopped(std::future::pending::<()>(), &stop).await
    });
    assert_eq!(answer, None);
}
