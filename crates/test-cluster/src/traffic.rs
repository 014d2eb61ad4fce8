//! The invocations of a day, all drawn by its seed, and the clients that send them and collect the answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cedarpulley_emulators::lock;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;
use smol::Task;

use crate::client::{Answers, Arrival, Asks, Client, Turn};
use crate::fleet::{Fleet, queue};
use crate::plan::{Day, Way, What};
use crate::rest_client::Callers;
use crate::until;

const CLIENTS: u32 = 3;
/// An answer is listened for so long after its caller has given up, to see that none comes.
const LISTENS_ON: Duration = Duration::from_secs(1);
/// Tells the draw of the front apart from the others of the same seed.
const CALLS: u64 = 0xca11;
const FLOODS: u64 = 0xf100d << 8;
const SESSIONS: u64 = 0x5e55_1011;

/// The day's clients at work, until dropped.
pub struct Traffic {
    pub began: Instant,
    pub sent: Vec<Arrival>,
    pub answers: Answers,
    _tasks: Vec<Task<()>>,
}

impl Traffic {
    pub fn begin(day: &Day, fleet: &Fleet) -> Traffic {
        Self::begin_asking(day, fleet, None)
    }

    /// All clients alike ask for what `asks` says, where it is given.
    pub fn begin_asking(day: &Day, fleet: &Fleet, asks: Option<Asks>) -> Traffic {
        let (began, sent, answers) = (Instant::now(), arrivals(day), Answers::default());
        let mut clients: Vec<Vec<Arrival>> = (0..CLIENTS).map(|_| Vec::new()).collect();
        let mut calls = Vec::new();
        for (n, arrival) in sent.iter().cloned().enumerate() {
            match arrival.calls {
                true => calls.push(arrival),
                false => clients[n % CLIENTS as usize].push(arrival),
            }
        }
        let callers = Callers {
            routers: fleet.listens(),
            from: [127, 0, 2, 200].into(),
            log: fleet.log.clone(),
            listens_on: LISTENS_ON + Duration::from_millis(day.leeway_ms),
            began,
            answers: Some(answers.clone()),
            asks: asks.clone(),
        };
        let executor = &fleet.ground.executor;
        let mut tasks = vec![executor.spawn(Arc::new(callers).run(executor.clone(), calls))];
        for (n, arrivals) in clients.into_iter().enumerate() {
            let client = Client {
                broker: fleet.broker.address,
                from: [127, 0, 2, 1 + n as u8].into(),
                replies: format!("replies-{n}"),
                began,
                arrivals,
                times: None,
                answers: Some(answers.clone()),
                asks: asks.clone(),
            };
            tasks.push(executor.spawn(client.run()));
        }
        Traffic {
            began,
            sent,
            answers,
            _tasks: tasks,
        }
    }

    /// Until each of the invocations is answered; false if some are not in this time.
    pub fn is_answered(&self, patience: Duration) -> bool {
        let last = self.sent.last().map_or(Duration::ZERO, |a| a.at);
        until(last.saturating_sub(self.began.elapsed()) + patience, || {
            let answers = lock(&self.answers);
            self.sent.iter().all(|a| answers.contains_key(&a.id))
        })
    }
}

/// What they send, and when.
pub fn arrivals(day: &Day) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(day.seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    let body: Arc<str> =
        r#"{"inputs":[{"name":"drawing","shape":[4],"datatype":"FP32","data":[0.1,0.2,0.3,0.4]}]}"#
            .into();
    let pick = |random: &mut Pcg64Mcg, parts: &[f64]| {
        let mut left = random.random::<f64>() * parts.iter().sum::<f64>();
        parts.iter().position(|p| {
            left -= p;
            left <= 0.0
        })
    };
    let triggers: Vec<f64> = day.triggers.iter().map(|t| t.part).collect();
    let accounts: Vec<f64> = day.accounts.iter().map(|a| a.part).collect();
    let mut ways = Pcg64Mcg::seed_from_u64(day.seed ^ CALLS);
    loop {
        let now = |what: What| {
            day.troubles
                .iter()
                .find(|t| t.what == what && (t.at_s..t.at_s + t.for_s).contains(&at))
        };
        let rate = day.rate_per_s * now(What::TrafficShift).map_or(1.0, |t| t.size);
        let Ok(gap) = Exp::new(rate) else { break };
        let (hot, scan, abuse) = (
            now(What::HotFunction),
            now(What::Scan),
            now(What::RetryAbuse),
        );
        let retries = abuse.map_or(0, |t| t.size as u32);
        let t = &day.triggers[pick(&mut random, &triggers).unwrap_or(0)];
        let account = &day.accounts[pick(&mut random, &accounts).unwrap_or(0)];
        let rank =
            Zipf::new(f64::from(t.functions), t.skew).map_or(1.0, |z| z.sample(&mut random)) as u64;
        let draw: f64 = random.random();
        let number = match (hot, scan) {
            (Some(h), _) if draw < h.part => 1,
            (_, Some(s)) if draw < s.part => 1_000_000 + random.next_u64() % 1_000_000,
            _ => rank,
        };
        at += gap.sample(&mut random);
        if at >= day.seconds {
            break;
        }
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            id: format!("i{:06}", all.len()),
            kind: t.name.clone(),
            function: format!("{}:{number}", t.name),
            account: account.name.clone(),
            calls: ways.random::<f64>() < day.kserve_part,
            queue: queue(&account.name),
            timeout_ms: t.client_timeout_ms,
            copy_mb: t.copy_mb,
            lanes: t.lanes,
            body: body.clone(),
            retries,
            turn: None,
        });
    }
    if day.triggers.iter().any(|t| t.sessions > 0.0) {
        all = with_sessions(day, all);
    }
    // Floods have draws of their own: taken away, the rest of the day stays as it is.
    let usual = all.clone();
    for (n, flood) in day
        .troubles
        .iter()
        .enumerate()
        .filter(|(_, t)| t.what == What::Flood)
    {
        let mut random = Pcg64Mcg::seed_from_u64(day.seed ^ FLOODS ^ n as u64);
        let calls = flood.front == Some(Way::Kserve);
        let part = if calls {
            day.kserve_part
        } else {
            1.0 - day.kserve_part
        };
        // Its share is there already.
        let Ok(gap) = Exp::new(day.rate_per_s * part * (flood.size - 1.0)) else {
            continue;
        };
        let mut at = flood.at_s;
        loop {
            at += gap.sample(&mut random);
            if at >= (flood.at_s + flood.for_s).min(day.seconds) {
                break;
            }
            // Alike in all to one of the day's, but for its front and account.
            let like = usual[random.random_range(0..usual.len())].clone();
            let account = flood.account.clone().unwrap_or(like.account);
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                id: format!("i{:06}", all.len()),
                queue: queue(&account),
                account,
                calls,
                turn: None,
                ..like
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

/// Of the arrivals that belong to sessions, one in so many as a session has turns begins one; the others make room
/// for the turns that follow, so that the rate stays what it was. Days without sessions draw nothing here.
fn with_sessions(day: &Day, usual: Vec<Arrival>) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(day.seed ^ SESSIONS);
    let (mut all, mut begun) = (Vec::new(), 0);
    for first in usual {
        let kind = day.triggers.iter().find(|t| t.name == first.kind);
        let Some(t) = kind.filter(|t| random.random::<f64>() < t.sessions) else {
            all.push(first);
            continue;
        };
        if random.random_range(0..t.turns) > 0 {
            continue;
        }
        begun += 1;
        let (session, turns) = (format!("s{begun:05}"), random.random_range(1..2 * t.turns));
        let mut at = first.at;
        for turn in 0..turns {
            // The day may end before the session does.
            if at.as_secs_f64() >= day.seconds {
                break;
            }
            let turn = Turn {
                session: session.clone(),
                start: turn == 0,
                end: turn + 1 == turns,
            };
            all.push(Arrival {
                at,
                turn: Some(turn),
                ..first.clone()
            });
            at += Duration::from_millis(t.pause_ms).mul_f64(random.random_range(0.5..1.5));
        }
    }
    all.sort_by_key(|a| a.at);
    (0..)
        .zip(&mut all)
        .for_each(|(n, a)| a.id = format!("i{n:06}"));
    all
}
