//! `redwinglatch customers`: reads the caps of customers from the metrics pages of core processes.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{command_error::CommandError, output::Output};

/// Time limit for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest page that is read.
const MAX_PAGE_BYTES: u64 = 4 << 20;
/// The metric with the caps.
const TOKENS_METRIC: &str = "redwinglatch_customer_tokens{customer=\"";

/// What one core process grants of a cap.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Share {
    cap_per_s: i64,
    level: i64,
    granted: i64,
}

/// The shares of the caps at each core process, by customer.
type Shares = BTreeMap<String, BTreeMap<SocketAddr, Share>>;

pub(crate) async fn customers(addresses: &[SocketAddr]) -> miette::Result<Output> {
    let mut shares = Shares::new();
    let mut unreachable = Vec::new();
    for address in addresses {
        match timeout(PAGE_TIMEOUT, fetch(*address)).await {
            Ok(Ok(page)) => add_page(&mut shares, *address, &page),
            Ok(Err(error)) => unreachable.push((*address, error.to_string())),
            Err(_) => unreachable.push((*address, "no answer in time".to_owned())),
        }
    }
    if unreachable.len() == addresses.len() {
        let faults: Vec<String> =
            unreachable.iter().map(|(address, error)| format!("{address}: {error}")).collect();
        let message = format!("no metrics page can be read: {}", faults.join("; "));
        let remedy = "name the metrics addresses of core processes, port 9465 by default";
        return Err(CommandError::new(message, remedy).into());
    }
    Ok(Output::new(text(&shares, &unreachable), document(&shares, &unreachable)))
}

async fn fetch(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.take(MAX_PAGE_BYTES).read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    match answer.split_once("\r\n\r\n") {
        Some((head, page)) if head.starts_with("HTTP/1.1 200") => Ok(page.to_owned()),
        _ => Err(std::io::Error::other("the answer is no metrics page")),
    }
}

fn add_page(shares: &mut Shares, address: SocketAddr, page: &str) {
    for line in page.lines() {
        let Some(labels) = line.strip_prefix(TOKENS_METRIC) else { continue };
        // Names are escaped, so a quotation mark in one doesn't end its label.
        let Some((customer, rest)) = labels.split_once("\",state=\"") else { continue };
        let Some((state, value)) = rest.split_once("\"} ") else { continue };
        let Ok(value) = value.trim().parse() else { continue };
        let at_process = shares.entry(customer.to_owned()).or_default();
        let share = at_process.entry(address).or_default();
        match state {
            "cap_per_s" => share.cap_per_s = value,
            "level" => share.level = value,
            "granted" => share.granted = value,
            _ => {}
        }
    }
}

/// Returns the sum of the shares of one cap.
fn total(shares: &BTreeMap<SocketAddr, Share>) -> Share {
    shares.values().fold(Share::default(), |sum, share| Share {
        cap_per_s: sum.cap_per_s + share.cap_per_s,
        level: sum.level + share.level,
        granted: sum.granted + share.granted,
    })
}

fn text(shares: &Shares, unreachable: &[(SocketAddr, String)]) -> String {
    let mut text = String::new();
    // Writing into a string can't fail.
    for (customer, at_processes) in shares {
        let Share { cap_per_s, level, granted } = total(at_processes);
        let _ = writeln!(text, "{customer}: {cap_per_s} a second, {level} left, {granted} granted");
        for (address, share) in at_processes.iter().filter(|(_, share)| share.cap_per_s > 0) {
            let Share { cap_per_s, level, granted } = share;
            let _ = writeln!(
                text,
                "  {address}: {cap_per_s} a second, {level} left, {granted} granted"
            );
        }
    }
    if shares.is_empty() {
        text.push_str("no core process has caps\n");
    }
    for (address, error) in unreachable {
        let _ = writeln!(text, "{address} can't be read: {error}");
    }
    text
}

fn document(shares: &Shares, unreachable: &[(SocketAddr, String)]) -> Value {
    let share_json = |share: &Share| json!({ "cap_per_s": share.cap_per_s, "left": share.level, "granted": share.granted });
    let customers = shares.iter().map(|(customer, at_processes)| {
        let processes: Vec<Value> = at_processes
            .iter()
            .map(|(address, share)| json!({ "address": address, "share": share_json(share) }))
            .collect();
        json!({ "customer": customer, "total": share_json(&total(at_processes)), "processes": processes })
    });
    let unreachable =
        unreachable.iter().map(|(address, error)| json!({ "address": address, "error": error }));
    json!({
        "customers": customers.collect::<Vec<_>>(),
        "unreachable": unreachable.collect::<Vec<_>>(),
    })
}
