//! The store that workers fetch functions from. It slows when crowded and turns away past a limit.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use hyper::StatusCode;
use serde_json::json;

use crate::http::{Cut, Server, full};
use crate::{Ground, Log, lock};

/// A body sent for each fetch: the time stands for the size, as sending it whole would only heat the machine.
const TOKEN_BODY: usize = 1024;

#[derive(Clone, Copy, Debug)]
pub struct Nature {
    /// One fetch alone gets so much.
    pub mb_per_s: f64,
    /// With more fetches than this they share what these would get.
    pub abreast: usize,
    pub most: usize,
}

pub struct Store {
    pub server: Server,
    log: Log,
    slow: Arc<Mutex<f64>>,
    pub fetches: Arc<AtomicU64>,
}

/// A change of its pace is heard within this time.
const STEP: Duration = Duration::from_millis(50);

impl Store {
    pub fn start(
        ground: &Ground,
        name: &str,
        address: SocketAddr,
        nature: Nature,
    ) -> std::io::Result<Store> {
        let log = ground.log(name)?;
        let slow = Arc::new(Mutex::new(1.0));
        let (now, fetches) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU64::new(0)));
        let (its_log, its_slow, count) = (log.clone(), slow.clone(), fetches.clone());
        let handle = move |from: SocketAddr, request: hyper::Request<hyper::body::Incoming>| {
            let (log, slow, now, count) = (
                its_log.clone(),
                its_slow.clone(),
                now.clone(),
                count.clone(),
            );
            async move {
                let crowd = now.fetch_add(1, Ordering::SeqCst) + 1;
                let mb: f64 = request
                    .uri()
                    .query()
                    .and_then(|q| q.strip_prefix("mb=")?.parse().ok())
                    .unwrap_or(1.0);
                let turned_away = crowd > nature.most;
                let path = request.uri().path().to_owned();
                log.write(
                    "fetch",
                    json!({"path": path, "from": from.ip().to_string(), "away": turned_away}),
                );
                if !turned_away {
                    count.fetch_add(1, Ordering::SeqCst);
                    let share = (crowd as f64 / nature.abreast as f64).max(1.0);
                    let mut left = mb / nature.mb_per_s * share;
                    // What is under way becomes slow, and quick again, with the rest.
                    while left > 0.0 {
                        let times = *lock(&slow);
                        let step = (left * times).min(STEP.as_secs_f64());
                        Timer::after(Duration::from_secs_f64(step)).await;
                        left -= step / times;
                    }
                }
                now.fetch_sub(1, Ordering::SeqCst);
                match turned_away {
                    true => full(StatusCode::SERVICE_UNAVAILABLE, ""),
                    false => full(StatusCode::OK, vec![0u8; TOKEN_BODY]),
                }
            }
        };
        let server = Server::start(ground, address, Cut::default(), handle)?;
        Ok(Store {
            server,
            log,
            slow,
            fetches,
        })
    }

    /// So many times its usual time.
    pub fn slow(&self, times: f64) {
        *lock(&self.slow) = times;
    }

    pub fn flush(&self) {
        self.log.flush();
    }
}
