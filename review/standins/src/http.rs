//! HTTP/1.1 with `Content-Length`: a server with a thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Status and body of an answer.
pub struct Reply(pub u16, pub String);

/// Serves requests at an address in threads of their own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader) {
        let Reply(status, body) = handle(request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers.get("content-length");
    let length: usize = length.map_or(Some(0), |length| length.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_headers(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let query = pairs.map(|pair| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (decode(name), decode(value))
    });
    let (path, query) = (path.to_owned(), query.collect());
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

/// Decodes a part of a URL.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3);
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
                continue;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a connection of its own; returns status and body, or none without a whole
/// answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_headers(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
