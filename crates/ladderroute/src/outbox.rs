//! Messages that wait for a connection between controllers. What keeps authority alive goes
//! before bulk, and what waits is bounded in bytes.

use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// What one write takes at most, so that an urgent message never waits behind more.
pub const WRITE_AT_ONCE: usize = 64 << 10;

#[derive(Default)]
struct Queue {
    urgent: Vec<u8>,
    bulk: VecDeque<Vec<u8>>,
    bytes: usize,
    most: usize,
}

/// The sending side of a connection; clones share one queue.
#[derive(Clone)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    wake: (Sender<()>, Receiver<()>),
}

impl Outbox {
    /// At most so many bytes wait.
    pub fn new(most: usize) -> Outbox {
        let queue = Queue {
            most,
            ..Queue::default()
        };
        Outbox {
            queue: Rc::new(RefCell::new(queue)),
            wake: smol::channel::bounded(1),
        }
    }

    pub fn close(&self) {
        self.wake.0.close();
    }

    pub fn is_closed(&self) -> bool {
        self.wake.0.is_closed()
    }

    /// Queues frames that keep their order.
    pub fn send(&self, bytes: Vec<u8>) {
        {
            let mut q = self.queue.borrow_mut();
            q.bytes += bytes.len();
            if q.bytes > q.most {
                // What is lost on the way would leave the two with different pictures.
                log::info!("event=link_overflow bytes={}", q.bytes);
                self.close();
                return;
            }
            match q.bulk.back_mut() {
                Some(last) if last.len() + bytes.len() <= WRITE_AT_ONCE => {
                    last.extend_from_slice(&bytes)
                }
                _ => q.bulk.push_back(bytes),
            }
        }
        let _ = self.wake.0.try_send(());
    }

    /// Queues a frame that goes before all others: pings and grants, which depend on no order.
    pub fn send_first(&self, bytes: &[u8]) {
        self.queue.borrow_mut().urgent.extend_from_slice(bytes);
        let _ = self.wake.0.try_send(());
    }

    /// What is to be written next; waits for it. None once it is closed.
    pub async fn next(&self) -> Option<Vec<u8>> {
        loop {
            if self.is_closed() {
                return None;
            }
            if let Some(bytes) = self.take() {
                return Some(bytes);
            }
            self.wake.1.recv().await.ok()?;
        }
    }

    /// What is queued and may be written at once; none if nothing is queued.
    pub fn take(&self) -> Option<Vec<u8>> {
        let mut q = self.queue.borrow_mut();
        let mut out = std::mem::take(&mut q.urgent);
        if let Some(bulk) = q.bulk.pop_front() {
            q.bytes -= bulk.len();
            if out.is_empty() {
                return Some(bulk);
            }
            out.extend_from_slice(&bulk);
        }
        (!out.is_empty()).then_some(out)
    }
}
