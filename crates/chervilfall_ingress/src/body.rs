//! Bodies of requests.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use tokio::time::{timeout_at, Instant};

use crate::connections::{Connection, NoMemory, Phase, Reservation};

/// Memory that is reserved at a time for a body whose length is not declared, in bytes, at least.
const STEP_BYTES: usize = 4_096;

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("has more than {max_bytes} bytes")]
    TooLarge {
        /// Largest allowed size, in bytes.
        max_bytes: usize,
    },
    /// It was not whole in time.
    #[error("was not complete in time")]
    TooSlow,
    /// There is no memory for it.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
    /// The connection broke, or the body is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// A body that is still to be received.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    connection: Connection,
    pause: Duration,
}

/// A whole body, and the memory that is reserved for it.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// The memory.
    pub reservation: Reservation,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, connection: Connection, pause: Duration) -> Self {
        Self {
            incoming,
            connection,
            pause,
        }
    }

    /// Receives the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger than `max_bytes`, is not whole `within` this time,
    /// pauses for longer than a connection may be idle, breaks off, or if there is no memory for it.
    pub async fn receive(self, max_bytes: usize, within: Duration) -> Result<HeldBody, BodyError> {
        let connection = self.connection.clone();
        connection.set_phase(Phase::Body);
        let received = self.collect(max_bytes, within).await;
        // Also a refusal is an answer that must be sent.
        connection.set_phase(Phase::Handling);
        received
    }

    async fn collect(mut self, max_bytes: usize, within: Duration) -> Result<HeldBody, BodyError> {
        let declared_bytes = self.incoming.size_hint().exact();
        let declared_bytes =
            declared_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
            return Err(BodyError::TooLarge { max_bytes });
        }
        let capacity = declared_bytes.unwrap_or(0);
        let mut held = HeldBody {
            reservation: self.connection.reserve(capacity as u64)?,
            bytes: Vec::with_capacity(capacity),
        };
        let until = Instant::now() + within;
        while let Some(data) = self.next(until).await? {
            held.append(&data, max_bytes)?;
        }
        Ok(held)
    }

    /// Receives the next part; none at the end.
    async fn next(&mut self, until: Instant) -> Result<Option<Bytes>, BodyError> {
        loop {
            let until = until.min(Instant::now() + self.pause);
            let frame = timeout_at(until, self.incoming.frame()).await;
            let Some(frame) = frame.map_err(|_| BodyError::TooSlow)? else {
                return Ok(None);
            };
            // Trailers are of no use here.
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

impl HeldBody {
    fn append(&mut self, data: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        let wanted = self.bytes.len() + data.len();
        if wanted > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        if wanted > self.bytes.capacity() {
            let step = self.bytes.len().max(STEP_BYTES);
            let capacity = wanted.max((self.bytes.len() + step).min(max_bytes));
            self.reservation.resize(capacity as u64)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
