//! Stops work without losing a result that has already arrived.

use std::future::Future;

use tokio::sync::Notify;
use tokio::task::yield_now;

/// Scheduler yields between the stop signal and its effect: one to poll the sockets, one for the
/// task that reads the connection, one for the task that waits for the result.
const YIELDS: usize = 3;

/// Runs a future until it completes or is stopped; `None` if it was stopped.
///
/// Results that have arrived by then still count. Otherwise, when an endpoint answers that an item
/// can never succeed and the run is preempted while the answer is still in the socket, the item
/// would be sent again and again for the same answer.
pub async fn unless_stopped<T>(future: impl Future<Output = T>, stop: &Notify) -> Option<T> {
    let stopped = async {
        stop.notified().await;
        for _ in 0..YIELDS {
            yield_now().await;
        }
    };
    tokio::select! {
        biased;
        value = future => Some(value),
        () = stopped => None,
    }
}
