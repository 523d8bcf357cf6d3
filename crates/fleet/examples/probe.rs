//! Smallest program that a fleet can run: answers every request on `--listen` and `--admin` with
//! its arguments. With `--not-ready` the status is 503, with `--fail` it ends at once.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    println!("started with {}", arguments.join(" "));
    let has = |flag: &str| arguments.iter().any(|argument| argument == flag);
    if has("--fail") {
        return Err(io::Error::other("told to fail"));
    }
    let status = if has("--not-ready") {
        "503 Late"
    } else {
        "200 OK"
    };
    let flags = arguments.windows(2);
    let listens = flags.filter(|pair| pair[0] == "--listen" || pair[0] == "--admin");
    let servers: Vec<_> = listens
        .map(|pair| TcpListener::bind(&pair[1]))
        .map(|listener| thread::spawn(move || serve(listener?, status)))
        .collect();
    for server in servers {
        server
            .join()
            .map_err(|_| io::Error::other("server failed"))??;
    }
    Ok(())
}

fn serve(listener: TcpListener, status: &str) -> io::Result<()> {
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    loop {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 1024];
        let received = stream.read(&mut request);
        if received.is_ok_and(|length| length > 0) {
            // A client that asked while the program was paused may have left.
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}
