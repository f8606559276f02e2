//! Readiness for the platform's balancer, and metrics.

use std::convert::Infallible;

use bamboocart_adapter::READY_PATH;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep, timeout};

use crate::site::driver::Driver;
use crate::site::metrics_page::MetricsPage;

/// The longest time that a connection is served; probes open a new one when they need it.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections.
pub async fn accept(driver: Driver, page: MetricsPage, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (handler, page) = (driver.clone(), page.clone());
        driver.spawn(async move {
            let service =
                service_fn(move |request| answer(handler.clone(), page.clone(), request));
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A probe that breaks off is repeated by its sender.
            let _ = timeout(CONNECTION_TIMEOUT, connection).await;
        });
    }
}

/// Answers a probe.
async fn answer(
    driver: Driver,
    page: MetricsPage,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, body) = match request.uri().path() {
        READY_PATH if driver.is_ready() => (StatusCode::OK, String::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => (StatusCode::OK, page.render(&driver)),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    Ok(response)
}
