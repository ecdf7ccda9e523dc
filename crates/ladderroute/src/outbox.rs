//! The send queue of a connection between controllers. Frames that renew a controller's authority
//! to answer workers overtake bulk frames, and the bulk queue is bounded in bytes.

use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum size to which bulk frames are combined into one write, so that an urgent frame never
/// waits behind a longer combined write.
pub const MAX_WRITE_BYTES: usize = 64 << 10;

#[derive(Default)]
struct Queue {
    /// Urgent frames, which overtake all bulk frames.
    urgent: Vec<u8>,
    /// Frames that are sent in order, combined into writes.
    bulk: VecDeque<Vec<u8>>,
    bulk_bytes: usize,
    max_bulk_bytes: usize,
}

/// The send queue of a connection; clones share one queue.
#[derive(Clone)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    wake: (Sender<()>, Receiver<()>),
}

impl Outbox {
    /// Creates an empty queue. It is closed once more than `max_bulk_bytes` of bulk frames are
    /// queued.
    pub fn new(max_bulk_bytes: usize) -> Outbox {
        let queue = Queue {
            max_bulk_bytes,
            ..Queue::default()
        };
        Outbox {
            queue: Rc::new(RefCell::new(queue)),
            wake: smol::channel::bounded(1),
        }
    }

    /// Closes the queue and with it the connection: nothing more is sent.
    pub fn close(&self) {
        self.wake.0.close();
    }

    /// Returns whether the queue has been closed.
    pub fn is_closed(&self) -> bool {
        self.wake.0.is_closed()
    }

    /// Queues bulk frames, which are sent in order. Closes the queue if it overflows.
    pub fn send(&self, bytes: Vec<u8>) {
        {
            let mut queue = self.queue.borrow_mut();
            queue.bulk_bytes += bytes.len();
            if queue.bulk_bytes > queue.max_bulk_bytes {
                // Dropping frames instead would leave the two controllers with different states.
                log::info!("event=link_overflow bytes={}", queue.bulk_bytes);
                self.close();
                return;
            }
            match queue.bulk.back_mut() {
                Some(last) if last.len() + bytes.len() <= MAX_WRITE_BYTES => {
                    last.extend_from_slice(&bytes)
                }
                _ => queue.bulk.push_back(bytes),
            }
        }
        let _ = self.wake.0.try_send(());
    }

    /// Queues a frame that overtakes all bulk frames: for pings and grants of authority, which do
    /// not depend on the order of frames.
    pub fn send_urgent(&self, bytes: &[u8]) {
        self.queue.borrow_mut().urgent.extend_from_slice(bytes);
        let _ = self.wake.0.try_send(());
    }

    /// Waits for and returns the bytes to write next; `None` once the queue is closed.
    pub async fn next(&self) -> Option<Vec<u8>> {
        loop {
            if self.is_closed() {
                return None;
            }
            if let Some(bytes) = self.try_next() {
                return Some(bytes);
            }
            self.wake.1.recv().await.ok()?;
        }
    }

    /// Returns the bytes to write next without waiting; `None` if nothing is queued.
    pub fn try_next(&self) -> Option<Vec<u8>> {
        let mut queue = self.queue.borrow_mut();
        let mut write = std::mem::take(&mut queue.urgent);
        if let Some(bulk) = queue.bulk.pop_front() {
            queue.bulk_bytes -= bulk.len();
            if write.is_empty() {
                return Some(bulk);
            }
            write.extend_from_slice(&bulk);
        }
        (!write.is_empty()).then_some(write)
    }
}
