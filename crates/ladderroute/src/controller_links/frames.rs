//! Frames on a connection between controllers: a length of four bytes, then as many bytes of body.

use crate::outbox::Outbox;
use http::with_timeout;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::time::Duration;
use wire::peers::FRAME_LIMIT;

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Reading side of a connection. Reads are buffered, so that one read returns many small frames.
pub struct FrameReader {
    stream: TcpStream,
    /// Maximum time to wait for a frame before the connection is ended.
    idle_timeout: Duration,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that were already returned as frames.
    consumed: usize,
    chunk: Vec<u8>,
}

/// The peer sent data that is not a frame of this protocol.
struct MalformedFrame;

impl FrameReader {
    /// Creates a reader for a stream from which nothing has been read yet.
    pub fn new(stream: TcpStream, idle_timeout: Duration) -> FrameReader {
        FrameReader {
            stream,
            idle_timeout,
            buffer: Vec::new(),
            consumed: 0,
            chunk: vec![0; READ_CHUNK_BYTES],
        }
    }

    /// Returns the body of the next frame (version and message), or `None` at the end of the
    /// stream, after the idle timeout, or for data that is not a frame.
    pub async fn next(&mut self) -> Option<Vec<u8>> {
        with_timeout(self.idle_timeout, self.next_frame()).await?
    }

    async fn next_frame(&mut self) -> Option<Vec<u8>> {
        loop {
            match self.take_buffered() {
                Ok(Some(body)) => return Some(body),
                Ok(None) => self.read_more().await?,
                Err(MalformedFrame) => return None,
            }
        }
    }

    /// Returns the body of the next frame if it has arrived completely.
    fn take_buffered(&mut self) -> Result<Option<Vec<u8>>, MalformedFrame> {
        let rest = &self.buffer[self.consumed..];
        let Some((head, body)) = rest.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length == 0 || length > FRAME_LIMIT {
            return Err(MalformedFrame);
        }
        if body.len() < length {
            return Ok(None);
        }
        let body = body[..length].to_vec();
        self.consumed += head.len() + length;
        Ok(Some(body))
    }

    /// Waits for more bytes. Returns `None` at the end of the stream or if the read fails.
    async fn read_more(&mut self) -> Option<()> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        // The buffer grows only with received data, so that a false length allocates no memory.
        let read = self.stream.read(&mut self.chunk).await;
        let count = read.ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&self.chunk[..count]);
        Some(())
    }
}

/// Writes queued frames until the queue is closed, the connection fails, or a write times out.
pub async fn write_frames(mut stream: TcpStream, queue: Outbox, write_timeout: Duration) {
    while let Some(bytes) = queue.next().await {
        let written = with_timeout(write_timeout, stream.write_all(&bytes)).await;
        if !matches!(written, Some(Ok(()))) {
            break;
        }
    }
    queue.close();
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
