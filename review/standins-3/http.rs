//! HTTP/1.1 as far as the stand-ins need it: a listener with a thread for each connection, and a client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Status and body of an answer.
pub type Answer = (u16, String);

/// A listener. Closing it is what the end of its process does: its port refuses connections, and open
/// ones are reset or closed.
pub struct Listener {
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Listener {
    /// Binds an address and answers requests with `handle`.
    pub fn open<H>(address: SocketAddr, handle: H) -> std::io::Result<Self>
    where
        H: Fn(Request) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let open = Arc::new(AtomicBool::new(true));
        let streams = Arc::new(Mutex::new(HashMap::new()));
        let (handle, next) = (Arc::new(handle), AtomicU64::new(0));
        let (goes_on, kept) = (Arc::clone(&open), Arc::clone(&streams));
        thread::spawn(move || {
            while goes_on.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let number = next.fetch_add(1, Ordering::Relaxed);
                stream.set_nonblocking(false).ok();
                stream.set_nodelay(true).ok();
                if let Ok(copy) = stream.try_clone() {
                    kept.lock().unwrap().insert(number, copy);
                }
                let (handle, kept) = (Arc::clone(&handle), Arc::clone(&kept));
                let goes_on = Arc::clone(&goes_on);
                thread::spawn(move || {
                    serve(stream, &*handle, &goes_on);
                    kept.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(Self { open, streams })
    }

    pub fn close(&self) {
        self.open.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().values() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

fn serve(stream: TcpStream, handle: &dyn Fn(Request) -> Answer, open: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = handle(request);
        if !open.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<String> {
    let length = headers.get("content-length");
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let target = first.split(' ').nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (decoded(name), decoded(value)));
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

/// Decodes a part of a query.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = match bytes[at] {
            b'%' => text
                .get(at + 1..at + 3)
                .and_then(|code| u8::from_str_radix(code, 16).ok()),
            _ => None,
        };
        match (code, bytes[at]) {
            (Some(byte), _) => {
                out.push(byte);
                at += 2;
            }
            (None, b'+') => out.push(b' '),
            (None, byte) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request over a connection of its own; none if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
