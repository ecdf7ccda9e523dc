//! The network between controllers: a proxy for each direction of each pair, which holds packets while one
//! of its ends is cut off, and delivers them in order afterwards.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The controllers that are cut off from the others.
pub type Cut = Arc<Mutex<BTreeSet<usize>>>;

/// Opens the way from a controller to another one's port for controllers; returns its address.
pub fn open(from: usize, to: usize, target: SocketAddr, cut: &Cut) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let cut = cut.clone();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || {
                hold(&cut, from, to);
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone())
                else {
                    return;
                };
                let back = cut.clone();
                std::thread::spawn(move || carry(client_in, server, &cut, from, to));
                carry(server_in, client, &back, from, to);
            });
        }
    });
    addr
}

fn hold(cut: &Cut, from: usize, to: usize) {
    loop {
        let is_cut = cut
            .lock()
            .is_ok_and(|cut| cut.contains(&from) || cut.contains(&to));
        if !is_cut {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn carry(mut source: TcpStream, mut sink: TcpStream, cut: &Cut, from: usize, to: usize) {
    let mut buffer = [0u8; 16384];
    loop {
        let count = source.read(&mut buffer).unwrap_or(0);
        hold(cut, from, to);
        if count == 0 || sink.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = source.shutdown(std::net::Shutdown::Both);
    let _ = sink.shutdown(std::net::Shutdown::Both);
}
