//! Messages that wait for a connection between controllers. What keeps authority alive goes before bulk, and
//! what waits is bounded in bytes.

use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// What one write takes of bulk at most, so that an urgent message never waits behind more.
pub const MAX_WRITE_BYTES: usize = 64 << 10;

#[derive(Default)]
struct Queue {
    urgent: Vec<u8>,
    /// Frames that keep their order, joined to writes.
    bulk: VecDeque<Vec<u8>>,
    bulk_bytes: usize,
    max_bulk_bytes: usize,
}

/// The sending side of a connection; clones share one queue.
#[derive(Clone)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    wake: (Sender<()>, Receiver<()>),
}

impl Outbox {
    /// An empty queue, in which so many bytes may wait; more close it.
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

    /// Ends the connection: nothing more is taken out of the queue.
    pub fn close(&self) {
        self.wake.0.close();
    }

    /// Whether the connection has to end, or has ended.
    pub fn is_closed(&self) -> bool {
        self.wake.0.is_closed()
    }

    /// Queues frames that keep their order.
    pub fn send(&self, bytes: Vec<u8>) {
        {
            let mut queue = self.queue.borrow_mut();
            queue.bulk_bytes += bytes.len();
            if queue.bulk_bytes > queue.max_bulk_bytes {
                // What is lost on the way would leave the two with different pictures.
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

    /// Queues a frame that goes before all others: pings and grants, which depend on no order.
    pub fn send_urgent(&self, bytes: &[u8]) {
        self.queue.borrow_mut().urgent.extend_from_slice(bytes);
        let _ = self.wake.0.try_send(());
    }

    /// What is to be written next; waits for it. None once the queue is closed.
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

    /// What is queued and may be written at once; none if nothing is queued.
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
