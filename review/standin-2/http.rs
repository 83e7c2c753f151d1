//! HTTP/1.1 with a thread for each connection: a server and a client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> String {
        let mut pairs =
            self.query.split('&').filter_map(|p| p.split_once('='));
        let value = pairs.find(|(n, _)| *n == name).map(|(_, value)| value);
        decoded(value.unwrap_or_default())
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex =
                std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Answer {
    Json(u16, String),
    /// The connection says nothing further.
    Silence,
    /// The connection is closed without an answer.
    Reset,
}

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A limit of connections at a time; one that is over it is closed at once.
#[derive(Clone, Default)]
pub struct Connections {
    pub limit: Option<usize>,
    pub open: Arc<AtomicUsize>,
    pub most: Arc<AtomicUsize>,
    pub refused: Arc<AtomicUsize>,
}

pub fn serve(
    listener: TcpListener,
    connections: Connections,
    handler: Handler,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let open = connections.open.fetch_add(1, Ordering::SeqCst) + 1;
            if connections.limit.is_some_and(|limit| open > limit) {
                connections.open.fetch_sub(1, Ordering::SeqCst);
                connections.refused.fetch_add(1, Ordering::SeqCst);
                drop(stream);
                continue;
            }
            connections.most.fetch_max(open, Ordering::SeqCst);
            let (handler, connections) =
                (handler.clone(), connections.clone());
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(
                move || {
                    let _ = converse(stream, &handler);
                    connections.open.fetch_sub(1, Ordering::SeqCst);
                },
            );
        }
    });
}

fn converse(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Answer::Json(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Answer::Silence => {
                // Reads on until the other end gives the connection up.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            }
            Answer::Reset => return Ok(()),
        }
    }
    Ok(())
}

fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
) -> std::io::Result<String> {
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

/// Sends one request over a connection of its own; `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    max_wait: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, max_wait).ok()?;
    stream.set_read_timeout(Some(max_wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ndeadline-ms: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        max_wait.as_millis(),
        body.len()
    );
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, body))
}
