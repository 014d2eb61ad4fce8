//! Follows the command channel: asks again and again for what came after the last event, and connects anew after a
//! break, a silence or a move.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail, ensure};
use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_gateway::net::{Stream, connect, micros};
use cedarpulley_platform::channel::{ASKED_WAIT, Answers};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::node::Node;

/// An answer that is so late beyond the wait asked for will not come: the channel has stopped.
const LATE: Micros = 500_000;
/// Between two attempts to connect; growing up to the second, as the channel is the only source of news.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LAST_PAUSE: Duration = Duration::from_millis(320);
/// Pieces in which an answer is read.
const PIECE: usize = 4 << 10;

pub async fn follow(node: Rc<Node>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let before = node.follower.borrow().last();
        let moved = async {
            node.channel_moved.heard().await;
            true
        };
        let broken = async {
            if let Err(why) = ask(&node).await {
                tracing::debug!("command channel: {why:#}");
            }
            false
        };
        if moved.or(broken).await {
            pause = FIRST_PAUSE;
            continue;
        }
        if node.follower.borrow().last() != before {
            pause = FIRST_PAUSE;
        }
        let moved = async {
            node.channel_moved.heard().await;
        };
        let paused = async {
            Timer::after(pause).await;
        };
        moved.or(paused).await;
        pause = (pause * 2).min(LAST_PAUSE);
    }
}

/// Asks on one connection for as long as it holds.
async fn ask(node: &Rc<Node>) -> Result<()> {
    let address = node.channel.get();
    let mut stream = connect(address, None, ASKED_WAIT).await?;
    let mut answers = Answers::default();
    loop {
        let question = node.follower.borrow().ask(&address.to_string());
        stream.write_all(&question).await?;
        let late = async {
            Timer::after(micros(ASKED_WAIT + LATE)).await;
            bail!("no answer in time")
        };
        let batch = answer(&mut stream, &mut answers).or(late).await?;
        let news = node.follower.borrow_mut().batch(&batch, &node.names)?;
        for news in news {
            node.tell(news);
        }
    }
}

async fn answer(stream: &mut Stream, answers: &mut Answers) -> Result<cedarpulley_platform::channel::Batch> {
    let mut piece = [0; PIECE];
    loop {
        if let Some(batch) = answers.whole()? {
            return Ok(batch);
        }
        let n = stream.read(&mut piece).await?;
        ensure!(n > 0, "it was closed");
        answers.put(&piece[..n]);
    }
}
