//! How far a connection's next request has come.

use httparse::{Request, Status, EMPTY_HEADER};

/// Largest header that is passed on, in bytes.
const MAX_HEADER_BYTES: usize = 65_536;
/// Most lines of a header that are read here; the server refuses one with more.
const MAX_HEADER_LINES: usize = 100;

/// What a client owes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// Nothing.
    Nothing,
    /// The rest of a header.
    Header,
    /// The rest of a body.
    Body,
}

/// Why a request is refused before it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The header is too large.
    #[error("the header is too large")]
    HeaderTooLarge,
    /// The length of the body is not told, so that its end can't be seen.
    #[error("the length of the body is not told")]
    LengthRequired,
}

/// Where a connection stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Between two requests.
    Idle,
    /// In a header.
    Header(Header),
    /// In a body of which this many bytes are left.
    Body(u64),
    /// Waiting for an answer.
    Served,
}

/// A part of a header.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Header {
    bytes: Vec<u8>,
    /// Whether the present line holds anything.
    in_line: bool,
    /// Whether any line held anything: empty lines before a request are allowed.
    begun: bool,
}

impl Header {
    /// Takes a byte; returns whether the header is complete.
    fn take(&mut self, byte: u8) -> bool {
        self.bytes.push(byte);
        match byte {
            b'\r' => {}
            b'\n' if self.begun && !self.in_line => return true,
            b'\n' => self.in_line = false,
            _ => {
                self.in_line = true;
                self.begun = true;
            }
        }
        false
    }
}

/// Follows the bytes of a connection, to tell what its client owes.
///
/// A request that comes before the answer to the one before it counts as part of that one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProgress {
    stage: Stage,
}

impl Default for RequestProgress {
    /// Returns the progress of a fresh connection, whose first header is due at once.
    fn default() -> Self {
        Self {
            stage: Stage::Header(Header::default()),
        }
    }
}

impl RequestProgress {
    /// Takes bytes of the client.
    ///
    /// # Errors
    ///
    /// Returns an error if the request must not be passed on.
    pub fn client_sent(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        for (index, byte) in bytes.iter().enumerate() {
            if self.stage == Stage::Idle {
                self.stage = Stage::Header(Header::default());
            }
            match &mut self.stage {
                Stage::Header(header) => {
                    if header.take(*byte) {
                        self.stage = after_header(&header.bytes)?;
                    } else if header.bytes.len() > MAX_HEADER_BYTES {
                        return Err(Refused::HeaderTooLarge);
                    }
                }
                Stage::Body(left) => {
                    let rest = bytes.len() - index;
                    *left = left.saturating_sub(rest as u64);
                    if *left == 0 {
                        self.stage = Stage::Served;
                    }
                    return Ok(());
                }
                Stage::Idle | Stage::Served => return Ok(()),
            }
        }
        Ok(())
    }

    /// Takes bytes of the server: the answer has begun, and what the client sends next is another
    /// request.
    pub fn server_sent(&mut self) {
        if matches!(self.stage, Stage::Served | Stage::Body(_)) {
            self.stage = Stage::Idle;
        }
    }

    /// Returns what the client owes.
    #[must_use]
    pub const fn due(&self) -> Due {
        match self.stage {
            Stage::Header(_) => Due::Header,
            Stage::Body(_) => Due::Body,
            Stage::Idle | Stage::Served => Due::Nothing,
        }
    }
}

/// Returns the stage after a complete header.
fn after_header(bytes: &[u8]) -> Result<Stage, Refused> {
    let mut lines = [EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = Request::new(&mut lines);
    let Ok(Status::Complete(_)) = request.parse(bytes) else {
        // The server says what is wrong with it.
        return Ok(Stage::Served);
    };
    let mut left = 0;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Refused::LengthRequired);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = std::str::from_utf8(header.value).unwrap_or_default();
            left = value.trim().parse().unwrap_or(0);
        }
    }
    Ok(if left == 0 {
        Stage::Served
    } else {
        Stage::Body(left)
    })
}
