//! Prints the bytes that instances exchange per request when the coordinator is another instance,
//! the placement time, and the size of an engine's report.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use redwinglatch_core::Revision;
use redwinglatch_fakes::CallerRequest;
use redwinglatch_local::{Deployment, Fakes, FakesOptions, Timing};
use redwinglatch_metrics::{Counter, Timing as Histogram};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

const CUSTOMER: &str = "lakeshore";
const REQUESTS: u32 = 500;
const IDLE: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> io::Result<()> {
    let dir = std::env::temp_dir().join(format!("redwinglatch-traffic-{}", std::process::id()));
    let result = measure(&dir).await;
    let _ = std::fs::remove_dir_all(&dir);
    result
}

async fn measure(dir: &std::path::Path) -> io::Result<()> {
    let options = FakesOptions { step_ms: 1, slots: 8, ..FakesOptions::default() };
    let deployment = Deployment::start(dir, 3, 1, Timing::default(), options).await?;
    for number in 0..8 {
        deployment.fakes.weight_store.add(format!("wall-{number}"), 1);
    }
    let operator = deployment.operator();
    let contract = Deployment::contract(CUSTOMER, "wall-");
    while operator.apply_contract("first", Revision(0), &contract).await.is_err() {
        sleep(Duration::from_millis(200)).await;
    }
    let caller = deployment.caller(CUSTOMER);
    let status = operator.status().await.map_err(io::Error::other)?;
    let coordinator = status.coordinators.first().map_or(1, |cell| cell.instance.0) as usize - 1;
    let position = (coordinator + 1) % 3;
    let entry = deployment.callers_address(position);
    let request = |number: u32| {
        let adapter = format!("wall-{}", number % 8);
        CallerRequest::completion(
            Fakes::MODEL,
            &adapter,
            1,
            "a report of 40 bytes, more or less",
            4,
            false,
        )
    };
    for number in 0..8 {
        caller.send(entry, &request(number)).await?;
    }
    let bytes = || {
        let metrics = deployment.instance(position).map(|instance| instance.metrics());
        metrics.map_or(0, |metrics| {
            metrics.counter(Counter::ControlBytesSent)
                + metrics.counter(Counter::ControlBytesReceived)
        })
    };
    let before = bytes();
    sleep(IDLE).await;
    let idle_per_s = (bytes() - before) as f64 / IDLE.as_secs_f64();
    let (before, started_at) = (bytes(), Instant::now());
    for number in 0..REQUESTS {
        let response = caller.send(entry, &request(number)).await?;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let request_bytes = ((bytes() - before) as f64 - idle_per_s * elapsed_s) / f64::from(REQUESTS);
    println!(
        "idle: {idle_per_s:.0} bytes/s; each request: {request_bytes:.0} bytes between instances"
    );
    let coordinator = deployment.instance(coordinator).map(|instance| instance.metrics());
    if let Some(metrics) = coordinator {
        let p99 = metrics.quantile(Histogram::Decision, 0.99);
        println!("placement decision in the daemon: p99 {:.1} us", p99.as_secs_f64() * 1e6);
    }
    let report_size = report_bytes(deployment.fakes.engines[0].address()).await?;
    println!("an engine's report with idle slots: {report_size} bytes with HTTP headers");
    Ok(())
}

async fn report_bytes(address: SocketAddr) -> io::Result<usize> {
    let mut stream = TcpStream::connect(address).await?;
    let request =
        format!("GET /v1/report HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    Ok(request.len() + response.len())
}
