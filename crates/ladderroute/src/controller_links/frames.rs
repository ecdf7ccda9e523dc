//! Frames on a stream between controllers: the length in four bytes, then as many bytes.

use crate::outbox::Outbox;
use http::with_timeout;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::time::Duration;
use wire::peers::FRAME_LIMIT;

/// What one read takes at most.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The reading side of a connection: one read brings many small frames.
pub struct FrameReader {
    stream: TcpStream,
    /// The connection ends when nothing comes for so long.
    idle_timeout: Duration,
    buffer: Vec<u8>,
    /// How much of the buffer was handed out already.
    consumed: usize,
    chunk: Vec<u8>,
}

/// The peer sent something that is not a frame of this protocol.
struct MalformedFrame;

impl FrameReader {
    /// Reads frames from a stream, of which nothing was read so far.
    pub fn new(stream: TcpStream, idle_timeout: Duration) -> FrameReader {
        FrameReader {
            stream,
            idle_timeout,
            buffer: Vec::new(),
            consumed: 0,
            chunk: vec![0; READ_CHUNK_BYTES],
        }
    }

    /// The next frame's body (version and message); none at the end, after too long a silence, or for
    /// anything that is not a frame.
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

    /// The next frame's body, if all of it has arrived.
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

    /// Waits for more bytes; none at the end of the stream or if it fails.
    async fn read_more(&mut self) -> Option<()> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        // The buffer grows with what arrives, so that a false length costs nothing.
        let read = self.stream.read(&mut self.chunk).await;
        let count = read.ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&self.chunk[..count]);
        Some(())
    }
}

/// Writes what is queued until the queue is closed, the connection fails, or a write takes too long.
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
