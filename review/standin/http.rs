//! HTTP/1.1 over TCP, as much as the stand-ins need.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request to a stand-in.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// An answer of a stand-in.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn of(status: u16, body: String) -> Answer {
        Answer { status, body }
    }
}

/// Answers requests; with `None` the connection ends without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Answer> + Send + Sync>;

/// Serves a listener, each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve_connection(stream, handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: Handler,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some((line, headers)) = read_head(&mut reader)? else {
            return Ok(());
        };
        let body = read_body(&mut reader, &headers)?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query =
            query.map(|(name, value)| (name.to_owned(), decode(value)));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.collect(),
            headers,
            body,
        };
        let Some(answer) = handler(&request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        );
        writer.write_all((head + &answer.body).as_bytes())?;
    }
}

type Head = (String, HashMap<String, String>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let header = header.trim_end();
        if header.is_empty() {
            return Ok(Some((line.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(
    reader: &mut impl Read,
    headers: &HashMap<String, String>,
) -> std::io::Result<String> {
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn decode(text: &str) -> String {
    let (bytes, mut at, mut out) = (text.as_bytes(), 0, Vec::new());
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call over a connection of its own; `None` without a complete answer
/// in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader).ok()??;
    let body = read_body(&mut reader, &headers).ok()?;
    if Instant::now() > until {
        return None;
    }
    Some((line.split(' ').nth(1)?.parse().ok()?, body))
}
