//! HTTP/1.1 over blocking sockets: a thread for each connection.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// By name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Json {
        let text = String::from_utf8_lossy(&self.body);
        Json::parse(&text).unwrap_or(Json::Null)
    }
}

/// A response; none closes the connection without one.
pub type Response = Option<(u16, Json)>;

/// A listener and its connections.
#[derive(Clone)]
pub struct Server {
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
}

impl Server {
    /// Serves an address from now on.
    pub fn open(
        address: &str,
        handler: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let server = Self {
            open: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
            address: listener.local_addr().expect("a bound address"),
        };
        let (serving, handler) = (server.clone(), Arc::new(handler));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !serving.open.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().expect("no panic").push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    // A connection that has broken is of no interest.
                    let _ = serve(stream, &*handler);
                });
            }
        });
        server
    }

    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Closes the listener and all connections, as the end of a process does.
    pub fn close(&self) {
        self.open.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, so that the listener is dropped.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(request) else {
            return Ok(());
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        body: read_body(reader, &headers)?,
        headers,
    }))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, left)) = rest.split_first() {
        rest = left;
        let code = left
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match (
            first,
            code.and_then(|code| u8::from_str_radix(code, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &left[2..];
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes a call over a connection of its own; none if there is no whole answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: Option<&Json>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.map(Json::to_string).unwrap_or_default();
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    Some((status, body))
}
